package control

import (
	"context"
	"math/rand/v2"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// awaitedTarget is an unreachable target that is probed until it responds.
type awaitedTarget struct {
	target greengageroute.Target
	since  time.Time
	// found is set if this entry found it unreachable, not only another entry. The probes that
	// the entries of a data centre share don't count.
	found bool
	// respondsToOther is set if another entry says that the target responds.
	respondsToOther bool
	// due has the target probed at once, which was last requested at requestedAt as others of its
	// data centre responded.
	due         chan struct{}
	requestedAt time.Time
}

// requestProbe has the target probed at once.
func (awaited *awaitedTarget) requestProbe() {
	select {
	case awaited.due <- struct{}{}:
	default:
	}
}

// awaitResponse probes a target that doesn't respond, in the background, until it does or its
// mark has ended. Found tells whether it didn't respond to this entry.
func (prober *Prober) awaitResponse(target greengageroute.Target, found bool) {
	instance := target.Instance()
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if awaited, underway := prober.awaited[instance]; underway {
		awaited.found = awaited.found || found
		return
	}
	if len(prober.awaited) >= maxAwaited {
		return
	}
	awaited := &awaitedTarget{target: target, since: prober.clock.Now(), found: found, due: make(chan struct{}, 1)}
	prober.awaited[instance] = awaited
	go func() {
		prober.probeUntilResponse(awaited)
		prober.mu.Lock()
		defer prober.mu.Unlock()
		delete(prober.awaited, instance)
	}()
}

// AwaitReported has the entry take part in the probes of targets that another entry found
// unreachable.
func (prober *Prober) AwaitReported(reported []mesh.TargetInstance) {
	absent := prober.directory.View().Absent
	for _, instance := range reported {
		if target, known := absent[instance.ID]; known && target.Instance() == instance {
			prober.awaitResponse(target, false)
		}
	}
}

// probeUntilResponse probes a target until it responds, and tells the other entries then, or
// until its mark has ended. While the target is listed and silent, the mark is renewed.
func (prober *Prober) probeUntilResponse(awaited *awaitedTarget) {
	target, instance := awaited.target, awaited.target.Instance()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		since, marked := prober.directory.UnreachableSince(instance)
		if !marked {
			return
		}
		now := prober.clock.Now()
		timer.Reset(min(prober.responseDelay(now.Sub(awaited.since)), max(since.Add(renewAfter).Sub(now), responseInterval)))
		requested := false
		select {
		case <-timer.C:
		case <-awaited.due:
			requested = true
		}
		if _, marked := prober.directory.UnreachableSince(instance); !marked {
			return
		}
		if !requested && !prober.hasProbeTurn(awaited) {
			continue
		}
		prober.counters.Add(CountProbes, 1)
		prober.counters.Add(CountAwaitProbes, 1)
		report, err := prober.reporter.Report(context.Background(), target, probeTimeout)
		if err != nil || report.StartUnixMilli != 0 && report.StartUnixMilli != target.StartUnixMilli {
			prober.renewMark(instance)
			continue
		}
		prober.requestProbes(target.DataCentre)
		if len(prober.directory.MarkResponding(instance)) > 0 {
			prober.counters.Add(CountTargetsResponding, 1)
			prober.log.Info("target responds again", "target", target.ID, "after", prober.clock.Now().Sub(awaited.since).String())
			prober.notifier.ReportResponding(instance)
		}
		return
	}
}

// responseDelay returns the time until the next probe of a target that has been probed for some
// time.
func (prober *Prober) responseDelay(elapsed time.Duration) time.Duration {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	delay := responseInterval
	if elapsed > fastResponseTime {
		delay = slowResponseInterval
	}
	return max(delay, time.Duration(len(prober.awaited))*responseSpacing)
}

// hasProbeTurn reports whether this entry probes an awaited target now. While few targets are
// awaited, each entry that found one of them probes it. Many fail together if a data centre is
// cut off or dark, and nearly all entries find them: then each entry of a data centre probes at
// random, so often that about probersPerTarget of them do in an interval. No entry depends on
// another one being live.
func (prober *Prober) hasProbeTurn(awaited *awaitedTarget) bool {
	prober.mu.Lock()
	many, found, respondsToOther := len(prober.awaited) > fewAwaited, awaited.found, awaited.respondsToOther
	prober.mu.Unlock()
	switch {
	case found && (respondsToOther || !many):
		return true
	case !many:
		return false
	}
	return prober.drawTurn(prober.notifier.EntriesSharingLinks())
}

// drawTurn reports at random whether this entry is one of about probersPerTarget of the given
// number.
func (*Prober) drawTurn(entries int) bool {
	return rand.Float64()*float64(entries) < probersPerTarget
}

// requestProbes has awaited targets of a data centre probed soon, as one of them responds: many
// failed for the same cause. This entry probes those that it found unreachable, and takes part
// in the probes of the others.
func (prober *Prober) requestProbes(dataCentre string) {
	entries := prober.notifier.EntriesSharingLinks()
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if len(prober.awaited) <= fewAwaited {
		return
	}
	now := prober.clock.Now()
	for _, awaited := range prober.awaited {
		if awaited.target.DataCentre != dataCentre || now.Sub(awaited.requestedAt) < responseInterval {
			continue
		}
		awaited.requestedAt = now
		if awaited.found || prober.drawTurn(entries) {
			time.AfterFunc(rand.N(probeSpread), awaited.requestProbe)
		}
	}
}

// renewMark renews the mark of a target before it expires, and tells the other entries unless
// one of them says that the target responds: then only this entry's link has failed.
func (prober *Prober) renewMark(instance mesh.TargetInstance) {
	since, marked := prober.directory.UnreachableSince(instance)
	if !marked {
		return
	}
	prober.mu.Lock()
	awaited, underway := prober.awaited[instance]
	respondsToOther := underway && awaited.respondsToOther
	after := renewAfter
	if len(prober.awaited) > fewAwaited {
		after = sharedRenewAfter
	}
	prober.mu.Unlock()
	if prober.clock.Now().Sub(since) < after || !prober.linksWork(prober.directory.View().Absent[instance.ID].Pool, renewLinkTTL) {
		return
	}
	renewed := prober.directory.RenewUnreachable(instance)
	if !respondsToOther {
		prober.notifier.ReportUnreachable(renewed...)
	}
}

// RecordResponding records that targets respond to another entry. One that this entry found
// unreachable stays marked until it responds here.
func (prober *Prober) RecordResponding(responding []mesh.TargetInstance) {
	var told []mesh.TargetInstance
	news := greengageroute.Set[string]{} // data centres of targets that weren't known to respond
	prober.mu.Lock()
	for _, instance := range responding {
		awaited, underway := prober.awaited[instance]
		switch {
		case !underway || !awaited.found:
			told = append(told, instance)
		case !awaited.respondsToOther:
			awaited.respondsToOther = true
			awaited.requestProbe()
			news.Add(awaited.target.DataCentre)
		}
	}
	prober.mu.Unlock()
	for _, instance := range prober.directory.MarkResponding(told...) {
		if target, listed := prober.directory.View().Target(instance.ID); listed {
			news.Add(target.DataCentre)
		}
	}
	for dataCentre := range news {
		prober.requestProbes(dataCentre)
	}
}
