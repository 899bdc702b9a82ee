package edge

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// crashCheckDelay is the time between a lost answer and the check of its target. A
// process that crashes closes its listener together with its connections.
const crashCheckDelay = 50 * time.Millisecond

const (
	// endedRowTime is how long the row of a target that may have ended is watched: rows lapse
	// within a few heartbeats.
	endedRowTime     = 8 * time.Second
	endedRowInterval = 100 * time.Millisecond
)

// checkQuarantine refuses requests that crash targets.
func checkQuarantine(_ context.Context, exchange *exchange) error {
	exchange.cause = greengageroute.BodyCause(exchange.Body, exchange.Workspace, exchange.Method, exchange.Host, exchange.URI)
	if parts := exchange.PromptParts; len(parts) > 0 {
		// The last part belongs to the request, and tells no more than its digest.
		for _, part := range parts[:len(parts)-1] {
			exchange.partCauses = append(exchange.partCauses, greengageroute.PromptPartCause(part))
		}
	}
	return exchange.quarantineError()
}

// quarantineError returns the refusal of a request that crashes targets, else nil.
func (exchange *exchange) quarantineError() error {
	service := exchange.service
	decision := service.quarantine.Check(exchange.cause, exchange.partCauses, service.MayTryQuarantined(), time.Now())
	if decision.State != greengageroute.QuarantineRefused {
		return nil
	}
	service.Counters.Add(CountQuarantined, 1)
	reason := "targets crashed while running this request"
	if index := slices.Index(exchange.partCauses, decision.Cause); index >= 0 {
		reason = "targets crashed while running requests with part " + strconv.Quote(exchange.PromptParts[index]) + " in their prompts"
	}
	return exchange.noAnswerError(http.StatusBadGateway, reason, decision.RetryAfter)
}

// checkCrash checks whether the target crashed while running the request. If so, and
// the request may be the cause, it reports the crash to the other entries. It waits for
// the result only if the request is suspected already, and not for one in doubt.
func (exchange *exchange) checkCrash(ctx context.Context, target greengageroute.Target, sentAt time.Time, progress greengageroute.AnswerProgress, cause error) {
	var lost *upstream.AnswerLostError
	if !errors.As(cause, &lost) || ctx.Err() != nil || errors.Is(cause, os.ErrDeadlineExceeded) {
		return // a target that is silent hasn't crashed
	}
	service, lostAt := exchange.service, time.Now()
	report := func() { exchange.reportCrash(target, sentAt, lostAt, progress) }
	checked := make(chan struct{})
	time.AfterFunc(crashCheckDelay, func() {
		defer close(checked)
		if service.Prober.AcceptsConnections(target) {
			return
		}
		service.probeHead(target)
		switch {
		case progress.IsSound() || !service.Prober.LinksWorkSince(target.Pool, time.Since(lostAt)):
		case service.Prober.LostPool(target.Pool):
			// A small pool, of which nothing responds: either all targets have ended, or the links are lost.
			go func() {
				if service.awaitEnd(target) {
					report()
				}
			}()
		default:
			report()
		}
	})
	if !progress.IsSound() && service.quarantine.Suspected(exchange.cause, exchange.partCauses) {
		// Decides about the next attempt.
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
}

// awaitEnd reports whether the list of targets shows within endedRowTime that a target has ended.
func (service *Service) awaitEnd(target greengageroute.Target) bool {
	for end := time.Now().Add(endedRowTime); time.Now().Before(end) && service.running.Err() == nil; {
		greengageroute.Sleep(service.running, endedRowInterval)
		if !service.Directory.Lists(target.Instance()) {
			return true
		}
	}
	return false
}

// reportCrash records that the target crashed while it ran the request, and tells the other entries.
func (exchange *exchange) reportCrash(target greengageroute.Target, sentAt, lostAt time.Time, progress greengageroute.AnswerProgress) {
	service := exchange.service
	service.Counters.Add(CountCrashReports, 1)
	suspects := service.quarantine.Suspects(exchange.partCauses, lostAt)
	service.Log.Info("target crashed while running a request", "id", exchange.ID, "target", target.ID, "born", target.StartUnixMilli, "digest", exchange.cause.String(),
		"prompt-parts", strings.Join(exchange.PromptParts, " "), "suspects", len(suspects), "events", progress.Pieces(),
		"sent-ms-before", lostAt.Sub(sentAt).Milliseconds(), "first-event-ms-before", progress.SinceFirst(lostAt).Milliseconds())
	crashID := target.ID + "/" + strconv.FormatInt(target.StartUnixMilli, 10)
	for _, report := range greengageroute.NewCrashReports(crashID, exchange.cause, suspects) {
		service.RecordCrash(report)
		service.Peers.ReportCrash(report)
	}
}

// probeHead requests a health check of the replica whose head can't be connected to.
func (service *Service) probeHead(head greengageroute.Target) {
	if replica, found := service.Directory.View().ReplicaOf(head); found {
		service.Prober.ProbeReplica(replica)
	}
}

// logQuarantine logs a change of what is refused.
func (service *Service) logQuarantine(change greengageroute.QuarantineChange) {
	if change.Refused {
		service.Counters.Add(CountCausesQuarantined, 1)
	} else {
		service.Counters.Add(CountCausesReleased, 1)
	}
	service.Log.Info("quarantine changed", "cause", change.Cause.String(), "refused", change.Refused, "reason", change.Reason, "crashes", change.Crashes, "requests", change.Requests)
}

// RecordCrash records that a target crashed while running a request.
func (service *Service) RecordCrash(report greengageroute.CrashReport) {
	if sound := service.quarantine.RecordCrash(report, time.Now()); len(sound) > 0 {
		service.Peers.ReportSound(sound...)
	}
}

// recordSound records that the request doesn't crash its target.
func (exchange *exchange) recordSound() {
	service := exchange.service
	if suspected := service.quarantine.RecordSound(exchange.cause, exchange.partCauses, time.Now()); len(suspected) > 0 {
		service.Peers.ReportSound(suspected...)
	}
}

// ClearCauses records that other entries found causes sound.
func (service *Service) ClearCauses(causes []greengageroute.CrashCause) {
	now := time.Now()
	for _, cause := range causes {
		service.quarantine.Clear(cause, now)
	}
}

// AdoptVerdicts adds the causes that another entry refuses, or that are stored.
func (service *Service) AdoptVerdicts(verdicts []greengageroute.QuarantineVerdict) {
	now := time.Now()
	for _, verdict := range verdicts {
		if service.quarantine.Adopt(verdict, now) {
			service.Peers.ReportSound(verdict.Cause)
		}
	}
}

// Verdicts returns the causes that this entry refuses.
func (service *Service) Verdicts() []greengageroute.QuarantineVerdict {
	return service.quarantine.Verdicts(time.Now())
}
