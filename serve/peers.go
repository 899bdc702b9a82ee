package serve

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
)

type (
	// entryRow is how an entry is listed for the others.
	entryRow struct {
		Address    string `json:"address"` // IP:port for messages
		DataCentre string `json:"data-centre"`
		// Cores is the share of a core that the entry's VM has.
		Cores float64 `json:"cores"`
	}
)

// introduce lists the entry for the others and learns who is there. The others
// learn of it by its messages.
func (entry *Entry) introduce(ctx context.Context) {
	value, err := json.Marshal(entryRow{Address: entry.node.Address(), DataCentre: entry.deployment.DataCentre, Cores: entry.deployment.Limits.CPUShare})
	if err != nil {
		entry.log.Error(err, "the entry can't be listed")
		return
	}
	for {
		_, err := entry.store.Commit(ctx, platform.Write{Table: entryTable, Key: entry.deployment.Name, Value: value, Unconditional: true})
		if err == nil {
			err = entry.learn(ctx)
		}
		if err == nil {
			close(entry.introduced)
			entry.learnAgain(ctx)
			return
		}
		entry.log.V(1).Info("entry not listed yet", "cause", err.Error())
		select {
		case <-ctx.Done():
			return
		case <-time.After(introduceEvery):
		}
	}
}

// learnAgain reads the list of entries once more, when those that started at the
// same time have written theirs. In a large fleet only the relays need to know all.
func (entry *Entry) learnAgain(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settleEntries + rand.N(settleEntries)):
		if !entry.node.IsRelay() {
			return
		}
		if err := entry.learn(ctx); err != nil {
			entry.log.Info("entries not read again", "cause", err.Error())
		}
	}
}

// introducedThen runs a loop once the entry knows who reads the store for it, or
// has not found out in time.
func (entry *Entry) introducedThen(loop func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-entry.introduced:
		case <-time.After(introduceWithin):
		}
		loop(ctx)
	}
}

func (entry *Entry) learn(ctx context.Context) error {
	rows, err := entry.store.Read(ctx, entryTable)
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		var listed entryRow
		if err := json.Unmarshal(row.Value, &listed); err != nil {
			entry.log.Error(err, "listed entry ignored", "row", row.Key)
			continue
		}
		entry.node.AddPeer(row.Key, listed.DataCentre, listed.Address, listed.Cores)
	}
	return nil
}

// Loads implements mesh.Source.
func (entry *Entry) Loads() []mesh.Load { return entry.callers.Tracker().Loads() }

// Lease implements mesh.Source.
func (entry *Entry) Lease() mesh.LeaseUpdate { return entry.lease.PeerUpdate() }

// HasTraffic implements mesh.Source.
func (entry *Entry) HasTraffic() bool { return entry.serving() }

// ReadsStore implements mesh.Source.
func (entry *Entry) ReadsStore() bool { return entry.source.ReadsStore() }

// TargetsLost implements mesh.Sink. The planner asks for itself before it acts;
// the others take the word of an entry for a replica that is silent here too.
func (entry *Entry) TargetsLost(_ string, lost []mesh.TargetInstance) {
	if entry.lease.PeerUpdate().Holder != "" {
		entry.prober.Confirm(lost)
		return
	}
	view := entry.directory.View()
	silent := slices.DeleteFunc(slices.Clone(lost), func(one mesh.TargetInstance) bool {
		target, listed := view.Targets[one.ID]
		return !listed || target.StartUnixMilli != one.StartUnixMilli || entry.callers.HasRecentActivity(target)
	})
	if len(silent) > 0 {
		entry.directory.MarkUnreachable(silent...)
	}
}

// TargetsSlow implements mesh.Sink.
func (entry *Entry) TargetsSlow(_ string, slow []mesh.TargetInstance) {
	if len(entry.directory.MarkSlow(slow...)) > 0 {
		entry.planner.Wake()
	}
}

// CrashesReported implements mesh.Sink.
func (entry *Entry) CrashesReported(_ string, crashes []mesh.CrashReport) {
	for _, report := range crashes {
		entry.callers.RecordCrash(report)
	}
}

// LeaseUpdated implements mesh.Sink.
func (entry *Entry) LeaseUpdated(news mesh.LeaseUpdate) { entry.lease.ReceiveUpdate(news) }
