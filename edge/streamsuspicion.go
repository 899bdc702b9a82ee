package edge

import (
	"slices"
	"time"
)

// settle ends a hedge: the attempt that has brought the next event goes on alone.
func (stream *hedgedStream) settle(winner *streamAttempt, now time.Time) {
	others := slices.DeleteFunc(stream.active(), func(other *streamAttempt) bool { return other == winner })
	for _, other := range others {
		other.abandon(nil)
	}
	if winner.suspicion == "" && len(others) == 0 {
		return
	}
	exchange := stream.exchange
	outcome, counter := "the suspected attempt goes on", CountStreamsRecovered
	if winner.suspicion == "" {
		outcome, counter = "the hedge goes on", CountHedgesWon
	}
	exchange.service.Counters.Add(counter, 1)
	if counter == CountHedgesWon && exchange.headerSent {
		exchange.service.Counters.Add(CountStreamsResumed, 1)
	}
	exchange.service.Log.Info("suspicion settled", "id", exchange.ID, "outcome", outcome, "target", winner.head().ID, "cancelled", len(others),
		"silent-ms", now.Sub(stream.lastEvent).Milliseconds(), "after-event", exchange.LastEventID)
	winner.suspicion = ""
}

// checkSilence updates what is suspected of the attempts that have been silent for too long.
func (stream *hedgedStream) checkSilence() {
	next := time.Hour
	for _, attempt := range stream.active() {
		if silent := time.Since(attempt.lastEvent); silent < attempt.unresponsiveAfter {
			next = min(next, attempt.unresponsiveAfter-silent)
			continue
		}
		next = silenceRecheck
		evidence, lost := attempt.assess()
		if lost {
			stream.recordLoss(attempt, evidence)
			continue
		}
		if evidence != "" && attempt.suspicion == "" {
			stream.recordSuspicion(attempt, evidence)
		}
		attempt.suspicion = evidence
		attempt.requestProbe()
	}
	if !stream.waitingSince.IsZero() {
		next = silenceRecheck
	}
	stream.silenceTimer.reset(next)
}

func (stream *hedgedStream) recordSuspicion(attempt *streamAttempt, evidence string) {
	exchange := stream.exchange
	exchange.service.Counters.Add(CountStreamsSuspected, 1)
	exchange.service.Log.Info("stream's replica suspected", "id", exchange.ID, "evidence", evidence, "replica", attempt.source.replica.Name,
		"epoch", attempt.source.replica.Epoch, "head", attempt.head().ID, "silent-ms", time.Since(attempt.lastEvent).Milliseconds(), "after-event", exchange.LastEventID)
}

// recordLoss ends an attempt at a replica that can't go on.
func (stream *hedgedStream) recordLoss(attempt *streamAttempt, evidence string) {
	exchange := stream.exchange
	exchange.service.Counters.Add(CountReplicasLost, 1)
	exchange.service.Log.Info("stream's replica lost", "id", exchange.ID, "evidence", evidence, "replica", attempt.source.replica.Name,
		"epoch", attempt.source.replica.Epoch, "head", attempt.head().ID, "silent-ms", time.Since(attempt.lastEvent).Milliseconds(), "after-event", exchange.LastEventID)
	stream.reason = errReplicaLost.Error()
	exchange.mayHaveRun = true
	attempt.abandon(errReplicaLost)
}
