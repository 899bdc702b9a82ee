package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
)

type (
	// entryRow is the stored row by which other entries find an entry.
	entryRow struct {
		Address    string `json:"address"` // IP:port for messages from other entries
		DataCentre string `json:"data-centre"`
		// Cores is the CPU share of the entry's VM, in cores.
		Cores float64 `json:"cores"`
	}
)

// register writes the entry's row to the store and reads the rows of the other
// entries; it retries until both succeed. The other entries learn of this entry from
// its messages.
func (entry *Entry) register(ctx context.Context) {
	value, err := json.Marshal(entryRow{Address: entry.node.Address(), DataCentre: entry.deployment.DataCentre, Cores: entry.deployment.Limits.CPUShare})
	if err != nil {
		entry.log.Error(err, "entry not registered: its row can't be encoded")
		return
	}
	for {
		var era uint64
		if entry.deployment.FirstStart {
			era, err = entry.registerWithFleet(ctx, value)
		} else {
			era, err = entry.registerAlone(ctx, value)
		}
		if err == nil {
			close(entry.registered)
			entry.rereadPeers(ctx)
			entry.keepRegistered(ctx, value, era)
			return
		}
		entry.log.Info("entry not registered in the store yet; retrying", "cause", err.Error())
		greengageroute.Sleep(ctx, registerRetryInterval+rand.N(registerRetryInterval))
		if ctx.Err() != nil {
			return
		}
	}
}

// registerWithFleet registers the entry while all others start too. The writes are
// spread, since the store takes a limited number a second, and in a large fleet the
// entries are read once all have been written. It returns the store's era in which the row
// was written.
func (entry *Entry) registerWithFleet(ctx context.Context, value []byte) (era uint64, err error) {
	started := time.Now()
	greengageroute.Sleep(ctx, rand.N(registerSpread))
	if era, err = entry.writeRow(ctx, value); err != nil {
		return 0, err
	}
	greengageroute.Sleep(ctx, registerSpread-time.Since(started))
	if _, err := entry.readPeers(ctx); err != nil || entry.node.IsFullMesh() {
		return era, err
	}
	greengageroute.Sleep(ctx, fleetStartTime-time.Since(started))
	_, err = entry.readPeers(ctx)
	return era, err
}

// registerAlone registers the entry in a running fleet. The row of an entry that was
// restarted is often still there. It returns the store's era in which the row was.
func (entry *Entry) registerAlone(ctx context.Context, value []byte) (era uint64, err error) {
	rows, err := entry.readPeers(ctx)
	if err != nil {
		return 0, err
	}
	registered := slices.ContainsFunc(rows.Rows, func(row platform.Row) bool {
		return row.Key == entry.deployment.Name && bytes.Equal(row.Value, value)
	})
	if registered {
		return rows.Era, nil
	}
	return entry.writeRow(ctx, value)
}

// keepRegistered writes the entry's row again when the store was restored from a copy, which
// may lack it. All entries of the fleet do so, and spread their writes.
func (entry *Entry) keepRegistered(ctx context.Context, value []byte, era uint64) {
	for ctx.Err() == nil {
		greengageroute.Sleep(ctx, registerCheckInterval)
		if entry.source.Era() <= era {
			continue
		}
		greengageroute.Sleep(ctx, rand.N(registerSpread+time.Duration(entry.node.LiveEntries())*registerWriteTime))
		written, err := entry.writeRow(ctx, value)
		if err != nil {
			entry.log.Info("entry not registered again in the restored store; retrying", "cause", err.Error())
			continue
		}
		entry.log.Info("entry registered again in the restored store", "era", written)
		era = written
	}
}

// writeRow writes the entry's row and returns the store's era.
func (entry *Entry) writeRow(ctx context.Context, value []byte) (era uint64, err error) {
	revision, err := entry.store.Commit(ctx, platform.Write{Table: entryTable, Key: entry.deployment.Name, Value: value, Unconditional: true})
	return revision.Era, err
}

// rereadPeers reads the table of entries a second time, when entries that started at
// the same time have written their rows. Only relays do so: in a large fleet only
// they need to know all entries.
func (entry *Entry) rereadPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(peerRereadDelay + rand.N(peerRereadDelay)):
		if !entry.node.IsRelay() {
			return
		}
		if _, err := entry.readPeers(ctx); err != nil {
			entry.log.Info("table of entries not reread", "cause", err.Error())
		}
	}
}

// afterRegistration returns a function that runs the loop once the entry is
// registered and thus knows which entry reads the store for it, or after
// registerWait.
func (entry *Entry) afterRegistration(loop func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-entry.registered:
		case <-time.After(entry.registerWait()):
		}
		loop(ctx)
	}
}

// registerWait returns how long the reading of the config and the target list waits for
// the entry's registration.
func (entry *Entry) registerWait() time.Duration {
	if entry.deployment.FirstStart {
		return fleetStartTime + registerTimeout
	}
	return registerTimeout
}

// readPeers reads the table of entries and adds them to the node's peers. It returns
// the rows.
func (entry *Entry) readPeers(ctx context.Context) (platform.Rows, error) {
	rows, err := entry.store.Read(ctx, entryTable)
	if err != nil {
		return platform.Rows{}, err
	}
	for _, row := range rows.Rows {
		var peer entryRow
		if err := json.Unmarshal(row.Value, &peer); err != nil {
			entry.log.Error(err, "row of an entry ignored: it can't be decoded", "row", row.Key)
			continue
		}
		entry.node.AddPeer(row.Key, peer.DataCentre, peer.Address, peer.Cores)
	}
	entry.node.LoadChanged() // introduces this entry to its peers, which respond
	return rows, nil
}

// RecordAvailability implements platform.Notices.
func (entry *Entry) RecordAvailability(target greengageroute.Target, answer greengageroute.AnswerHead) {
	entry.service.RecordAvailability(target, answer)
}

// RecordFault implements platform.Notices.
func (entry *Entry) RecordFault(target greengageroute.Target, cause error) {
	entry.service.RecordFault(target, cause)
}

// Backoff implements control.Backoffs.
func (entry *Entry) Backoff(target greengageroute.Target) greengageroute.TargetBackoff {
	return entry.service.Backoff(target)
}

// Loads implements mesh.Source.
func (entry *Entry) Loads() []mesh.Load { return entry.service.Tracker().Loads() }

// Limits implements mesh.Source.
func (entry *Entry) Limits() []mesh.TargetLimit { return entry.service.Tracker().Limits() }

// Lease implements mesh.Source.
func (entry *Entry) Lease() mesh.LeaseUpdate { return entry.lease.PeerUpdate() }

// HasTraffic implements mesh.Source.
func (entry *Entry) HasTraffic() bool { return entry.systemHasTraffic() }

// ReadsStore implements mesh.Source.
func (entry *Entry) ReadsStore() bool { return entry.source.ReadsStore() }

// Isolated implements mesh.Source.
func (entry *Entry) Isolated() bool { return entry.prober.Isolated() }

// LostPools implements mesh.Source.
func (entry *Entry) LostPools() []string { return entry.prober.LostPools() }

// ConfigVersion implements mesh.Source.
func (entry *Entry) ConfigVersion() uint64 {
	if routes := entry.follower.Routes(); routes != nil {
		return routes.Version
	}
	return 0
}

// TargetsUnreachable implements mesh.Sink. The entry that holds the planner's lease probes
// the reported targets itself before it acts. Other entries mark a target as
// unreachable without a probe, unless it was active here recently.
func (entry *Entry) TargetsUnreachable(_ string, reported []mesh.TargetInstance) {
	if entry.holdsLease() {
		entry.prober.ConfirmReports(reported)
		return
	}
	entry.directory.RenewUnreachable(reported...)
	view := entry.directory.View()
	inactive := slices.DeleteFunc(slices.Clone(reported), func(instance mesh.TargetInstance) bool {
		target, listed := view.Target(instance.ID)
		return !listed || target.StartUnixMilli != instance.StartUnixMilli || entry.service.HasRecentActivity(target) || entry.directory.RespondedLately(instance)
	})
	if len(inactive) > 0 {
		entry.directory.MarkUnreachable(inactive...)
		entry.prober.AwaitReported(inactive)
	}
}

// TargetsResponding implements mesh.Sink.
func (entry *Entry) TargetsResponding(_ string, responding []mesh.TargetInstance) {
	entry.prober.RecordResponding(responding)
}

// ReplicasSuspected implements mesh.Sink.
func (entry *Entry) ReplicasSuspected(_ string, heads []mesh.TargetInstance) {
	entry.service.RecordSuspected(heads)
}

// TargetsSlow implements mesh.Sink.
func (entry *Entry) TargetsSlow(_ string, slow []mesh.TargetInstance) {
	if len(entry.directory.MarkSlow(slow...)) > 0 {
		entry.planner.Wake()
	}
}

// TargetsLeaving implements mesh.Sink.
func (entry *Entry) TargetsLeaving(_ string, leaving []mesh.TargetInstance) {
	entry.directory.MarkLeaving(leaving...)
}

// TargetsCold implements mesh.Sink.
func (entry *Entry) TargetsCold(_ string, cold []mesh.ColdReport) { entry.service.AdoptCold(cold) }

// CrashesReported implements mesh.Sink.
func (entry *Entry) CrashesReported(_ string, crashes []greengageroute.CrashReport) {
	for _, report := range crashes {
		entry.service.RecordCrash(report)
	}
}

// CausesFoundSound implements mesh.Sink.
func (entry *Entry) CausesFoundSound(_ string, causes []greengageroute.CrashCause) {
	entry.service.ClearCauses(causes)
}

// CausesQuarantined implements mesh.Sink.
func (entry *Entry) CausesQuarantined(_ string, verdicts []greengageroute.QuarantineVerdict) {
	entry.service.AdoptVerdicts(verdicts)
}

// Quarantined implements mesh.Source.
func (entry *Entry) Quarantined() []greengageroute.QuarantineVerdict { return entry.service.Verdicts() }

// LeaseUpdated implements mesh.Sink.
func (entry *Entry) LeaseUpdated(update mesh.LeaseUpdate) {
	if update.Holder != "" {
		entry.plannerKnown.Store(true)
	}
	entry.lease.ReceiveUpdate(update)
}

// TotalLoads implements control.DemandSource.
func (entry *Entry) TotalLoads() map[string]greengageroute.EngineLoad { return entry.node.TotalLoads() }

// RequestedRanks implements control.DemandSource.
func (entry *Entry) RequestedRanks(pool string) map[string]int {
	return entry.service.RequestedRanks(pool)
}
