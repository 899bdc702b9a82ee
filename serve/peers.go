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
		_, err := entry.store.Commit(ctx, platform.Write{Table: entryTable, Key: entry.deployment.Name, Value: value, Unconditional: true})
		if err == nil {
			err = entry.readPeers(ctx)
		}
		if err == nil {
			close(entry.registered)
			entry.rereadPeers(ctx)
			return
		}
		entry.log.V(1).Info("entry not registered in the store yet; retrying", "cause", err.Error())
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetryInterval + rand.N(registerRetryInterval)):
		}
	}
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
		if err := entry.readPeers(ctx); err != nil {
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
		case <-time.After(registerWait):
		}
		loop(ctx)
	}
}

// readPeers reads the table of entries and adds them to the node's peers.
func (entry *Entry) readPeers(ctx context.Context) error {
	rows, err := entry.store.Read(ctx, entryTable)
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		var peer entryRow
		if err := json.Unmarshal(row.Value, &peer); err != nil {
			entry.log.Error(err, "row of an entry ignored: it can't be decoded", "row", row.Key)
			continue
		}
		entry.node.AddPeer(row.Key, peer.DataCentre, peer.Address, peer.Cores)
	}
	return nil
}

// Loads implements mesh.Source.
func (entry *Entry) Loads() []mesh.Load { return entry.service.Tracker().Loads() }

// Lease implements mesh.Source.
func (entry *Entry) Lease() mesh.LeaseUpdate { return entry.lease.PeerUpdate() }

// HasTraffic implements mesh.Source.
func (entry *Entry) HasTraffic() bool { return entry.systemHasTraffic() }

// ReadsStore implements mesh.Source.
func (entry *Entry) ReadsStore() bool { return entry.source.ReadsStore() }

// TargetsUnreachable implements mesh.Sink. The entry that holds the planner's lease probes
// the reported targets itself before it acts. Other entries mark a target as
// unreachable without a probe, unless it was active here recently.
func (entry *Entry) TargetsUnreachable(_ string, reported []mesh.TargetInstance) {
	if entry.lease.PeerUpdate().Holder != "" {
		entry.prober.Confirm(reported)
		return
	}
	view := entry.directory.View()
	inactive := slices.DeleteFunc(slices.Clone(reported), func(instance mesh.TargetInstance) bool {
		target, listed := view.Target(instance.ID)
		return !listed || target.StartUnixMilli != instance.StartUnixMilli || entry.service.HasRecentActivity(target)
	})
	if len(inactive) > 0 {
		entry.directory.MarkUnreachable(inactive...)
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
		entry.service.RecordCrash(report)
	}
}

// LeaseUpdated implements mesh.Sink.
func (entry *Entry) LeaseUpdated(update mesh.LeaseUpdate) { entry.lease.ReceiveUpdate(update) }
