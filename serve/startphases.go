package serve

import (
	"context"
	"expvar"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/edge"
)

const (
	// GaugeStartPhase begins the names of gauges: how many milliseconds after its start an
	// entry reached a phase. A phase that wasn't reached yet has none.
	GaugeStartPhase = "start-ms-"
	// phaseCheckInterval is how often the phases are checked at first, and phaseCheckPart the
	// part of the time since the start that is the interval later.
	phaseCheckInterval = 20 * time.Millisecond
	phaseCheckPart     = 20
)

// startPhase is a phase of an entry's start that it reaches once.
type startPhase struct {
	name    string
	reached func() bool
}

// startPhases returns the phases in the order in which an entry usually reaches them.
func (entry *Entry) startPhases() []startPhase {
	return []startPhase{
		{"registered", func() bool {
			select {
			case <-entry.registered:
				return true
			default:
				return false
			}
		}},
		{"config-known", func() bool { return entry.follower.Routes() != nil }},
		{"list-known", func() bool { return entry.directory.View().Listed }},
		{"ready", entry.isReady},
		{"planner-known", func() bool { return entry.plannerKnown.Load() || entry.holdsLease() }},
		{"replica-open", entry.seesOpenReplica},
		{"answered", func() bool { return entry.counters.Get(edge.CountAnswered) != nil }},
	}
}

// seesOpenReplica reports whether any replica of a model is open.
func (entry *Entry) seesOpenReplica() bool {
	routes, view := entry.follower.Routes(), entry.directory.View()
	if routes == nil {
		return false
	}
	for name, pool := range routes.Pools {
		if pool.Engine != nil && slices.ContainsFunc(pool.Engine.Models, func(model greengageroute.EngineModel) bool { return len(view.Replicas(name, model.Name)) > 0 }) {
			return true
		}
	}
	return false
}

// followStart logs and records when the entry reaches the phases, until it has reached all.
func (entry *Entry) followStart(ctx context.Context, phases []startPhase) {
	for len(phases) > 0 && ctx.Err() == nil {
		after := time.Since(entry.startedAt)
		phases = slices.DeleteFunc(phases, func(phase startPhase) bool {
			if !phase.reached() {
				return false
			}
			gauge := new(expvar.Int)
			gauge.Set(after.Milliseconds())
			entry.counters.Set(GaugeStartPhase+phase.name, gauge)
			entry.log.Info("start phase reached", "phase", phase.name, "after-ms", after.Milliseconds())
			return true
		})
		greengageroute.Sleep(ctx, max(phaseCheckInterval, after/phaseCheckPart))
	}
}
