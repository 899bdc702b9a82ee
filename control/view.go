package control

import (
	"cmp"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// viewShards is the number of parts of a view's targets. A change copies only the
// parts that it touches.
const viewShards = 64

type (
	// View is an immutable snapshot of the directory. Consecutive views share what
	// did not change.
	View struct {
		Listed bool                             // the list has been read and has targets
		Absent map[string]greengageroute.Target // no longer listed, or found unreachable
		// AbsentSince is since when the absent targets have been neither listed nor responding.
		AbsentSince map[string]time.Time
		evacuations Evacuations
		targets     [viewShards]map[string]*greengageroute.Target
		replicas    map[string]map[string][]greengageroute.Replica // open replicas by pool and model

		mu    sync.Mutex
		pools map[string][]greengageroute.Target // pools listed so far
	}

	// replicaID identifies a replica among those of all pools.
	replicaID struct {
		pool string
		greengageroute.ReplicaKey
	}
)

var viewSeed = maphash.MakeSeed()

func shardOf(id string) int { return int(maphash.String(viewSeed, id) % viewShards) }

// Target returns a target that is listed and not found unreachable, or that has
// Unlisted set.
func (view *View) Target(id string) (greengageroute.Target, bool) {
	target, found := view.targets[shardOf(id)][id]
	if !found {
		return greengageroute.Target{}, false
	}
	return *target, true
}

// Pool returns the targets of a pool, including those in no replica. Callers must not
// change it.
func (view *View) Pool(name string) []greengageroute.Target {
	view.mu.Lock()
	defer view.mu.Unlock()
	if pool, known := view.pools[name]; known {
		return pool
	}
	var pool []greengageroute.Target
	for _, shard := range view.targets {
		for _, target := range shard {
			if target.Pool == name {
				pool = append(pool, *target)
			}
		}
	}
	if view.pools == nil {
		view.pools = map[string][]greengageroute.Target{}
	}
	view.pools[name] = pool
	return pool
}

// All returns all targets that are listed and not found unreachable, or have Unlisted set.
func (view *View) All() (targets []greengageroute.Target) {
	for _, shard := range view.targets {
		for _, target := range shard {
			targets = append(targets, *target)
		}
	}
	return targets
}

// Replicas returns the open replicas of a pool's model, sorted by name. Callers must
// not change it.
func (view *View) Replicas(pool, model string) []greengageroute.Replica {
	return view.replicas[pool][model]
}

// ReplicaOf returns the open replica that a target is a member of.
func (view *View) ReplicaOf(target greengageroute.Target) (greengageroute.Replica, bool) {
	member := target.Membership
	for _, replica := range view.Replicas(target.Pool, member.Model) {
		if member.BelongsTo(replica.Name, replica.Epoch) {
			return replica, true
		}
	}
	return greengageroute.Replica{}, false
}

// Evacuated returns the data centres to which no requests are sent; nil without any. Callers
// must not change it.
func (view *View) Evacuated() greengageroute.Set[string] { return view.evacuations.current }

// EvacuationEndedAt returns when the last evacuation of a data centre ended, if this entry has
// seen that and no other one has begun since.
func (view *View) EvacuationEndedAt(dataCentre string) (time.Time, bool) {
	at, ended := view.evacuations.endedAt[dataCentre]
	return at, ended
}

// nextView returns the view after an update that changed the touched targets. The
// caller holds the lock.
func (directory *Directory) nextView() *View {
	previous := directory.view.Load()
	view := &View{
		Listed: len(directory.targets) > 0, Absent: directory.absentTargets(), evacuations: directory.evacuations,
		targets: previous.targets, replicas: maps.Clone(previous.replicas), pools: map[string][]greengageroute.Target{},
	}
	if view.replicas == nil {
		view.replicas = map[string]map[string][]greengageroute.Replica{}
	}
	previous.mu.Lock()
	maps.Copy(view.pools, previous.pools)
	previous.mu.Unlock()
	for id := range directory.touched {
		directory.recordAbsence(id, view.Absent)
	}
	view.AbsentSince = maps.Clone(directory.absentSince)
	copied := greengageroute.Set[int]{}
	changed := map[replicaID]bool{}
	for id := range directory.touched {
		shard := shardOf(id)
		if copied.Add(shard) {
			view.targets[shard] = maps.Clone(view.targets[shard])
			if view.targets[shard] == nil {
				view.targets[shard] = map[string]*greengageroute.Target{}
			}
		}
		if old, found := view.targets[shard][id]; found {
			delete(view.targets[shard], id)
			delete(view.pools, old.Pool)
			directory.leaveReplica(old, changed)
		}
		if target, present := directory.present(id); present {
			view.targets[shard][id] = &target
			delete(view.pools, target.Pool)
			directory.joinReplica(&target, changed)
		}
	}
	directory.updateReplicas(view, changed)
	return view
}

// present returns a target as the view shows it, and whether it does.
func (directory *Directory) present(id string) (greengageroute.Target, bool) {
	target, listed := directory.targets[id]
	if !listed {
		removed, kept := directory.unlisted[id]
		if !kept {
			return greengageroute.Target{}, false
		}
		target = removed.target
		target.Unlisted = true
	}
	if _, leaving := directory.leaving[target.Instance()]; leaving {
		target.State = greengageroute.TargetLeaving
	}
	return directory.withColdCentre(target), !directory.isUnreachable(target)
}

func (directory *Directory) isUnreachable(target greengageroute.Target) bool {
	_, unreachable := directory.unreachable[target.Instance()]
	return unreachable
}

func (directory *Directory) absentTargets() map[string]greengageroute.Target {
	absent := map[string]greengageroute.Target{}
	for id, removed := range directory.absent {
		absent[id] = removed.target
	}
	for instance := range directory.unreachable {
		if directory.lists(instance) {
			absent[instance.ID] = directory.targets[instance.ID]
		}
	}
	return absent
}

// recordAbsence records since when a target has been absent, if it is. All entries know it, so
// that one that takes the planner's lease does.
func (directory *Directory) recordAbsence(id string, absent map[string]greengageroute.Target) {
	_, isAbsent := absent[id]
	_, present := directory.present(id)
	_, known := directory.absentSince[id]
	switch {
	case present || !isAbsent:
		delete(directory.absentSince, id)
	case !known:
		directory.absentSince[id] = directory.clock.Now()
	}
}

func replicaIDOf(target *greengageroute.Target) replicaID {
	return replicaID{target.Pool, greengageroute.ReplicaKey{Name: target.Membership.Replica, Epoch: target.Membership.Epoch}}
}

func (directory *Directory) leaveReplica(target *greengageroute.Target, changed map[replicaID]bool) {
	id := replicaIDOf(target)
	delete(directory.memberships[id], target.ID)
	if len(directory.memberships[id]) == 0 {
		delete(directory.memberships, id)
	}
	changed[id] = true
}

func (directory *Directory) joinReplica(target *greengageroute.Target, changed map[replicaID]bool) {
	id := replicaIDOf(target)
	if id.Name == "" {
		return
	}
	if directory.memberships[id] == nil {
		directory.memberships[id] = map[string]*greengageroute.Target{}
	}
	directory.memberships[id][target.ID] = target
	changed[id] = true
}

// updateReplicas assembles the changed replicas again and lists the open ones of
// their pools and models.
func (directory *Directory) updateReplicas(view *View, changed map[replicaID]bool) {
	pools := greengageroute.Set[string]{}
	for id := range changed {
		replica, open := directory.assemble(id)
		_, wasOpen := directory.open[id]
		delete(directory.open, id)
		if open {
			directory.open[id] = replica
		}
		if open || wasOpen {
			pools.Add(id.pool)
		}
	}
	for pool := range pools {
		view.replicas[pool] = map[string][]greengageroute.Replica{}
	}
	for id, replica := range directory.open {
		if pools.Has(id.pool) {
			view.replicas[id.pool][replica.Model] = append(view.replicas[id.pool][replica.Model], replica)
		}
	}
	for pool := range pools {
		for _, replicas := range view.replicas[pool] {
			slices.SortFunc(replicas, func(a, b greengageroute.Replica) int {
				return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
			})
		}
	}
}

// assemble returns a replica and whether it is complete and open.
func (directory *Directory) assemble(id replicaID) (greengageroute.Replica, bool) {
	if directory.routes == nil || directory.routes.Pools[id.pool].Engine == nil {
		return greengageroute.Replica{}, false
	}
	members := make([]greengageroute.Target, 0, len(directory.memberships[id]))
	for _, member := range directory.memberships[id] {
		members = append(members, *member)
	}
	complete, _ := greengageroute.AssembleReplicas(members)
	if len(complete) == 0 {
		return greengageroute.Replica{}, false
	}
	model, known := directory.routes.Pools[id.pool].Engine.Model(complete[0].Model)
	return complete[0], known && complete[0].IsOpen(model.Size)
}
