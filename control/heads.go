package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

const (
	// headsPrefix begins the keys of the rows that store each pool's heads for the
	// next planner. A head may be cut off from the store, and therefore unlisted,
	// while it serves.
	headsPrefix = "heads-"
	// headsWriteInterval is the minimum interval between writes of heads; a repair
	// takes two to four steps.
	headsWriteInterval = 250 * time.Millisecond
)

type (
	// oddHeads is a row of heads that no planner has written.
	oddHeads struct {
		version uint64
		since   time.Time // when it was first read
	}

	// storedRelease is a member that the stored heads name as released from a replica.
	storedRelease struct {
		target string
		key    greengageroute.ReplicaKey
	}
)

// readHeads returns the heads that the previous planner stored. If they can't be decoded, it
// returns an error until every head whose members a planner released by then is broken, and
// no heads later.
func (planner *Planner) readHeads(ctx context.Context, pool string) ([]greengageroute.ReplicaHead, error) {
	rows, err := planner.Lease.store.Read(ctx, controlTable)
	if err != nil {
		return nil, err
	}
	planner.mu.Lock()
	planner.headsVersions[pool] = headsVersion(rows, pool)
	planner.mu.Unlock()
	for _, row := range rows.Rows {
		if row.Key != headsPrefix+pool {
			continue
		}
		var heads []greengageroute.ReplicaHead
		err := json.Unmarshal(row.Value, &heads)
		if err == nil {
			return heads, nil
		}
		if !planner.outlastsStall(pool, row.Version) {
			return nil, trace.Wrap(err, "decoding the heads of pool %q", pool)
		}
		planner.Log.Error(err, "stored replica heads ignored: the row can't be decoded", "pool", pool)
	}
	return nil, nil
}

// outlastsStall reports whether a row that can't be decoded has stood for longer than heads
// without one of their members go on.
func (planner *Planner) outlastsStall(pool string, version uint64) bool {
	planner.mu.Lock()
	stall := planner.StallTimeout
	planner.mu.Unlock()
	now := planner.Clock.Now()
	odd, known := planner.oddHeads[pool]
	if !known || odd.version != version {
		odd = oddHeads{version, now}
		planner.oddHeads[pool] = odd
	}
	return stall > 0 && now.Sub(odd.since) > greengageroute.TimeToBreak(stall)
}

// recordUnknownHeads keeps the addresses of heads that this entry hasn't seen listed.
func (planner *Planner) recordUnknownHeads(heads []greengageroute.ReplicaHead, view greengageroute.PoolView) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	for _, head := range heads {
		if _, listed := view.Targets[head.ID]; !listed {
			target := greengageroute.Target{ID: head.ID, Address: head.Address, DataCentre: head.DataCentre, Pool: view.Pool}
			planner.unknownHeads[head.ID] = datedTarget{target, view.Now}
		}
	}
}

// storeHeads writes the heads for the next planner when they have changed. It
// doesn't wait for the write, and retries one that fails: the row is only read once
// another planner takes over. It writes them again if the store was restored from a copy.
func (planner *Planner) storeHeads(ctx context.Context, view greengageroute.PoolView, formation *greengageroute.Formation) {
	heads := formation.Heads(view)
	encoded, err := json.Marshal(heads)
	if err != nil {
		planner.Log.Error(err, "replica heads not encoded", "pool", view.Pool)
		return
	}
	now, era := planner.Clock.Now(), planner.Lease.Era()
	planner.mu.Lock()
	if planner.headsWriteFailed && now.Sub(planner.headsStoredAt) < headsWriteInterval {
		planner.mu.Unlock()
		return
	}
	if planner.headsWriteFailed || era != planner.storedHeadsEra {
		clear(planner.storedHeads)
		clear(planner.storedReleases)
		planner.headsWriteFailed, planner.storedHeadsEra = false, era
	}
	releases := map[storedRelease]bool{}
	isUrgent := false // orders wait for the write
	for _, head := range heads {
		for _, member := range head.Released {
			release := storedRelease{member.ID, greengageroute.ReplicaKey{Name: head.Replica, Epoch: head.Epoch}}
			isUrgent = isUrgent || !planner.storedReleases[view.Pool][release]
			releases[release] = true
		}
	}
	if planner.headsWriting || planner.storedHeads[view.Pool] == string(encoded) || !isUrgent && now.Sub(planner.headsStoredAt) < headsWriteInterval {
		planner.mu.Unlock()
		return
	}
	planner.headsWriting = true
	term := planner.headsTerm
	planner.mu.Unlock()
	planner.storedHeads[view.Pool], planner.headsStoredAt = string(encoded), now
	go func() {
		err := planner.writeHeads(ctx, view.Pool, encoded)
		planner.mu.Lock()
		defer planner.mu.Unlock()
		planner.headsWriting = false
		if term != planner.headsTerm {
			return
		}
		if err != nil {
			planner.Log.Info("replica heads not stored; trying again", "pool", view.Pool, "cause", err.Error())
			planner.headsWriteFailed = true
			return
		}
		planner.storedReleases[view.Pool] = releases
		if isUrgent {
			planner.Wake()
		}
	}()
}

// writeHeads writes a pool's row of heads over the version that this planner knows. A write that
// was given up may arrive late: it must not replace a later one.
func (planner *Planner) writeHeads(ctx context.Context, pool string, encoded []byte) error {
	planner.mu.Lock()
	version, known := planner.headsVersions[pool]
	delete(planner.headsVersions, pool)
	planner.mu.Unlock()
	if !known {
		rows, err := planner.Lease.store.Read(ctx, controlTable)
		if err != nil {
			return err
		}
		version = headsVersion(rows, pool)
	}
	revision, err := planner.Lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: headsPrefix + pool, Value: encoded, ExpectedVersion: version})
	if err != nil {
		return err
	}
	planner.mu.Lock()
	defer planner.mu.Unlock()
	planner.headsVersions[pool] = revision.Version
	return nil
}

// headsVersion returns the version of a pool's row of heads, 0 if there is none.
func headsVersion(rows platform.Rows, pool string) uint64 {
	for _, row := range rows.Rows {
		if row.Key == headsPrefix+pool {
			return row.Version
		}
	}
	return 0
}

// maySend reports whether an order may be sent. A member is released, or joins again under a newer
// epoch, only after the next planner can know of it: the list then shows that it isn't in the replica
// of before, whose head may still serve.
func (planner *Planner) maySend(order greengageroute.TargetOrder, formation *greengageroute.Formation, pool string) bool {
	released := formation.ReleasedBy(order)
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return !slices.ContainsFunc(released, func(key greengageroute.ReplicaKey) bool {
		return !planner.storedReleases[pool][storedRelease{order.Target.ID, key}]
	})
}

// forgetFindings forgets what earlier orders told of absent heads and their members, since
// another planner may have opened the heads and had the members join again, and the heads that the
// formations of before were restored with. Orders to open that may still be carried out stay.
func (planner *Planner) forgetFindings() {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	clear(planner.absentHeads)
	clear(planner.unknownHeads)
	clear(planner.lostMembers)
	clear(planner.left)
	clear(planner.loaded)
	clear(planner.storedHeads)
	clear(planner.storedReleases)
	clear(planner.headsVersions)
	planner.headsTerm++
}
