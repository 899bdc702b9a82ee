// Package control keeps an entry's view of the operator's config and of the targets
// up to date, and plans the replicas while the entry holds the planner's lease.
package control

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	// unreachableTTL is how long an unreachable target is left out although it is
	// listed: the list drops it after three heartbeats.
	unreachableTTL = 5 * time.Second
	// respondedTTL is how long other entries may repeat that a target is unreachable which
	// responds again.
	respondedTTL = 1500 * time.Millisecond
	// unlistedGrace is how long a member that is no longer listed, but responds, may
	// stay in its replica: partitions from the store alone last about ten seconds.
	unlistedGrace = 12 * time.Second
	// slowTTL is how long a target counts as slow after it reported so. While its
	// replica serves, the target is probed repeatedly.
	slowTTL = 5 * time.Second
	// absentTTL is how long a target that is no longer listed is remembered: its
	// replica's members may have to be released from it.
	absentTTL = time.Minute
	// outdatedTTL is how long a row doesn't count that its target wrote before what this entry
	// knows of it: one of a restored store, or one that arrived late. A live target writes its
	// row again meanwhile, and the row of one that has ended lapses.
	outdatedTTL = 5 * time.Second
	// leavingTTL is how long an unlisted target counts as leaving: longer than it may go on
	// serving, cut off from the store.
	leavingTTL = 10 * time.Minute
)

type (
	// Directory holds the listed targets, without those found unreachable. Callers
	// read immutable views.
	Directory struct {
		clock greengageroute.Clock

		mu      sync.Mutex
		targets map[string]greengageroute.Target
		dropAt  map[string]time.Time // when to drop targets that a store outage may have unlisted
		absent  map[string]datedTarget
		// absentSince is since when targets have been unlisted or unreachable.
		absentSince map[string]time.Time
		// unlisted are members that are no longer listed. This also happens to targets
		// that only lost the store: their replicas may still be complete.
		unlisted      map[string]datedTarget
		outdated      map[string]datedTarget // as rows show them that are older than what is known, and don't count yet
		unreachable   map[mesh.TargetInstance]time.Time
		responded     map[mesh.TargetInstance]time.Time // when targets that were found unreachable responded again
		slow          map[mesh.TargetInstance]time.Time
		leaving       map[mesh.TargetInstance]time.Time // when they were last listed, or said so
		coldCentres   map[string]time.Time              // since when the targets of data centres count as cold
		routes        *greengageroute.RouteTable
		watchers      map[uint64]func()
		lastWatcherID uint64

		touched     greengageroute.Set[string]                      // ids of targets that the current update may have changed
		memberships map[replicaID]map[string]*greengageroute.Target // present members of each replica
		open        map[replicaID]greengageroute.Replica

		evacuations Evacuations

		view atomic.Pointer[View]
	}

	// datedTarget is a target that has been absent, or whose row hasn't counted, since a time.
	datedTarget struct {
		target greengageroute.Target
		since  time.Time
	}
)

// NewDirectory returns an empty directory.
func NewDirectory(clock greengageroute.Clock) *Directory {
	directory := &Directory{
		clock: clock, targets: map[string]greengageroute.Target{}, dropAt: map[string]time.Time{},
		absent: map[string]datedTarget{}, absentSince: map[string]time.Time{}, unlisted: map[string]datedTarget{}, outdated: map[string]datedTarget{},
		unreachable: map[mesh.TargetInstance]time.Time{}, responded: map[mesh.TargetInstance]time.Time{}, slow: map[mesh.TargetInstance]time.Time{}, leaving: map[mesh.TargetInstance]time.Time{}, coldCentres: map[string]time.Time{}, watchers: map[uint64]func(){},
		touched: greengageroute.Set[string]{}, memberships: map[replicaID]map[string]*greengageroute.Target{}, open: map[replicaID]greengageroute.Replica{},
	}
	directory.view.Store(&View{Absent: map[string]greengageroute.Target{}, AbsentSince: map[string]time.Time{}})
	return directory
}

// View returns the current view.
func (directory *Directory) View() *View { return directory.view.Load() }

// Serving returns the view's targets whose services the config names; all of them while
// no config is known. Rows of other services say nothing about this entry's links.
func (directory *Directory) Serving() []greengageroute.Target {
	directory.mu.Lock()
	routes := directory.routes
	directory.mu.Unlock()
	targets := directory.View().All()
	if routes == nil {
		return targets
	}
	return slices.DeleteFunc(targets, func(target greengageroute.Target) bool {
		_, named := routes.Pools[target.Pool]
		return !named
	})
}

// Watch calls changed after each change of the directory until stop is called.
// changed must not block.
func (directory *Directory) Watch(changed func()) (stop func()) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.lastWatcherID++
	id := directory.lastWatcherID
	directory.watchers[id] = changed
	return func() {
		directory.mu.Lock()
		defer directory.mu.Unlock()
		delete(directory.watchers, id)
	}
}

// SetRoutes sets the routes, which name the pools' engines.
func (directory *Directory) SetRoutes(routes *greengageroute.RouteTable) {
	directory.update(func() {
		directory.routes = routes
		for id := range directory.targets {
			directory.touched.Add(id)
		}
		for id := range directory.unlisted {
			directory.touched.Add(id)
		}
	})
}

// SetEvacuations replaces the evacuations of data centres. The targets of those whose evacuation
// has ended count as cold in the same view that lets requests through to them.
func (directory *Directory) SetEvacuations(evacuations Evacuations) {
	directory.update(func() {
		for dataCentre, endedAt := range evacuations.endedAt {
			if !endedAt.Equal(directory.evacuations.endedAt[dataCentre]) {
				directory.markCold(dataCentre, endedAt)
			}
		}
		directory.evacuations = evacuations
	})
}

// Replace applies a complete read of the list. Targets that are missing from it
// are dropped at the given time, except those whose rows are there but can't be decoded.
func (directory *Directory) Replace(targets []greengageroute.Target, dropAt time.Time, undecodable ...string) {
	directory.update(func() {
		listed := greengageroute.NewSet(undecodable...)
		for _, target := range targets {
			listed.Add(target.ID)
			directory.putUnlessOutdated(target)
		}
		for id := range directory.targets {
			if !listed.Has(id) {
				directory.scheduleDrop(id, dropAt)
			}
		}
		maps.DeleteFunc(directory.outdated, func(id string, _ datedTarget) bool { return !listed.Has(id) })
	})
}

// Apply applies changes of the list: targets that were written, and ids that were
// removed, which are dropped at the given time.
func (directory *Directory) Apply(written []greengageroute.Target, removed []string, dropAt time.Time) {
	directory.update(func() {
		for _, target := range written {
			directory.putUnlessOutdated(target)
		}
		for _, id := range removed {
			delete(directory.outdated, id)
			directory.scheduleDrop(id, dropAt)
		}
	})
}

// DropUnlessWritten drops listed targets at the given time unless they have written their
// rows again by then.
func (directory *Directory) DropUnlessWritten(ids []string, dropAt time.Time) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, id := range ids {
		_, listed := directory.targets[id]
		if _, scheduled := directory.dropAt[id]; listed && !scheduled {
			directory.dropAt[id] = dropAt
		}
	}
}

// putUnlessOutdated applies a row, unless its target wrote what this entry knows of it, listed or
// not, after that row.
func (directory *Directory) putUnlessOutdated(row greengageroute.Target) {
	known := directory.lastRow(row.ID)
	if known.ID != "" && row.Revision.Before(known.Revision) {
		directory.put(row)
		return
	}
	isCopy := known.Revision.Era < row.Revision.Era && !row.StatedAfter(known)
	isLate := known.Revision.Era == row.Revision.Era && row.StatedBefore(known)
	if known.ID != "" && (isCopy || isLate && !directory.continues(row, known)) {
		directory.keepKnown(row)
		return
	}
	directory.put(row)
}

// continues reports whether a row follows another one of the same, seemingly earlier start: the
// target's clock was set back and it started again. A late row is followed by none.
func (directory *Directory) continues(row, known greengageroute.Target) bool {
	waiting, waits := directory.outdated[row.ID]
	return waits && row.StartUnixMilli != known.StartUnixMilli && row.StartUnixMilli == waiting.target.StartUnixMilli && row.Statement > waiting.target.Statement
}

// keepKnown keeps what this entry knows of a target instead of an outdated row. That one counts
// if the target writes no later one for outdatedTTL: then what is known may have been written
// by another writer.
func (directory *Directory) keepKnown(row greengageroute.Target) {
	delete(directory.dropAt, row.ID)
	since := directory.clock.Now()
	if waiting, waits := directory.outdated[row.ID]; waits && waiting.target.StartUnixMilli == row.StartUnixMilli {
		since = waiting.since
	}
	directory.outdated[row.ID] = datedTarget{row, since}
}

func (directory *Directory) put(target greengageroute.Target) {
	known, found := directory.targets[target.ID]
	if found && target.Revision.Before(known.Revision) {
		return
	}
	delete(directory.outdated, target.ID)
	target.ListedSince = directory.clock.Now()
	target = target.ReceivedAt(target.ListedSince, directory.lastRow(target.ID))
	if found && known.StartUnixMilli == target.StartUnixMilli {
		target.ListedSince = known.ListedSince
	}
	directory.touched.Add(target.ID)
	delete(directory.absent, target.ID)
	delete(directory.unlisted, target.ID)
	directory.targets[target.ID] = target
	delete(directory.dropAt, target.ID)
}

// lastRow returns the last row of a target, which may no longer be listed.
func (directory *Directory) lastRow(id string) greengageroute.Target {
	if target, listed := directory.targets[id]; listed {
		return target
	}
	return directory.absent[id].target
}

func (directory *Directory) scheduleDrop(id string, dropAt time.Time) {
	if !dropAt.After(directory.clock.Now()) {
		directory.drop(id)
		return
	}
	if _, scheduled := directory.dropAt[id]; !scheduled {
		directory.dropAt[id] = dropAt
	}
}

func (directory *Directory) drop(id string) {
	directory.touched.Add(id)
	if target, found := directory.targets[id]; found {
		removed := datedTarget{target, directory.clock.Now()}
		directory.absent[id] = removed
		directory.keepUnlisted(removed)
	}
	delete(directory.targets, id)
	delete(directory.dropAt, id)
}

// keepUnlisted keeps a target that is no longer listed if it is a member of a formed replica.
func (directory *Directory) keepUnlisted(removed datedTarget) {
	target := removed.target
	if target.State == greengageroute.TargetReady && target.Membership.Rank > 0 && target.Membership.Formed() {
		directory.unlisted[target.ID] = removed
	}
}

// MarkUnreachable marks targets that were found unreachable. It returns those that
// were not marked before.
func (directory *Directory) MarkUnreachable(instances ...mesh.TargetInstance) []mesh.TargetInstance {
	var added []mesh.TargetInstance
	directory.update(func() {
		now := directory.clock.Now()
		for _, instance := range instances {
			if since, known := directory.unreachable[instance]; !known || now.Sub(since) > unreachableTTL {
				added = append(added, instance)
				directory.unreachable[instance] = now
				directory.touched.Add(instance.ID)
				delete(directory.unlisted, instance.ID)
			}
		}
	})
	return added
}

// RenewUnreachable renews the marks of targets that are still unreachable, as long as they are
// listed. It returns those that it renewed.
func (directory *Directory) RenewUnreachable(instances ...mesh.TargetInstance) (renewed []mesh.TargetInstance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, instance := range instances {
		if _, marked := directory.unreachable[instance]; marked && directory.lists(instance) {
			directory.unreachable[instance] = directory.clock.Now()
			renewed = append(renewed, instance)
		}
	}
	return renewed
}

// Lists reports whether a target is listed with the same start time, be it unreachable or not.
func (directory *Directory) Lists(instance mesh.TargetInstance) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.lists(instance)
}

// lists reports whether a target is listed with the same start time. The caller holds the lock.
func (directory *Directory) lists(instance mesh.TargetInstance) bool {
	target, listed := directory.targets[instance.ID]
	return listed && target.StartUnixMilli == instance.StartUnixMilli
}

// MarkResponding ends the marks of targets that were found unreachable and respond again. It
// returns those that were marked.
func (directory *Directory) MarkResponding(instances ...mesh.TargetInstance) []mesh.TargetInstance {
	now := directory.clock.Now()
	directory.mu.Lock()
	var marked []mesh.TargetInstance
	maps.DeleteFunc(directory.responded, func(_ mesh.TargetInstance, at time.Time) bool { return now.Sub(at) > respondedTTL })
	for _, instance := range instances {
		directory.responded[instance] = now
		if _, known := directory.unreachable[instance]; known {
			marked = append(marked, instance)
		}
	}
	directory.mu.Unlock()
	if len(marked) == 0 {
		return nil
	}
	directory.update(func() {
		for _, instance := range marked {
			delete(directory.unreachable, instance)
			directory.touched.Add(instance.ID)
			if removed, found := directory.absent[instance.ID]; found && removed.target.Instance() == instance && now.Sub(removed.since) <= unlistedGrace {
				directory.keepUnlisted(removed)
			}
		}
	})
	return marked
}

// RespondedLately reports whether a target responded again so lately that other entries may
// still repeat that it is unreachable.
func (directory *Directory) RespondedLately(instance mesh.TargetInstance) bool {
	now := directory.clock.Now()
	directory.mu.Lock()
	defer directory.mu.Unlock()
	at, known := directory.responded[instance]
	return known && now.Sub(at) <= respondedTTL
}

// Unreachable returns the listed targets that are marked as unreachable.
func (directory *Directory) Unreachable() (targets []greengageroute.Target) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for instance := range directory.unreachable {
		if directory.lists(instance) {
			targets = append(targets, directory.targets[instance.ID])
		}
	}
	return targets
}

// UnreachableSince returns when a target was marked as unreachable, or its mark renewed, and
// whether it is marked.
func (directory *Directory) UnreachableSince(instance mesh.TargetInstance) (time.Time, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	since, marked := directory.unreachable[instance]
	return since, marked && directory.clock.Now().Sub(since) <= unreachableTTL
}

// MarkLeaving marks targets that say that they are leaving, until their processes end. It
// returns those that were not marked before.
func (directory *Directory) MarkLeaving(instances ...mesh.TargetInstance) []mesh.TargetInstance {
	directory.mu.Lock()
	var added []mesh.TargetInstance
	for _, instance := range instances {
		if _, known := directory.leaving[instance]; !known {
			added = append(added, instance)
		}
	}
	directory.mu.Unlock()
	if len(added) == 0 {
		return nil
	}
	directory.update(func() {
		for _, instance := range added {
			directory.leaving[instance] = directory.clock.Now()
			directory.touched.Add(instance.ID)
		}
	})
	return added
}

// MarkSlow marks targets that reported that they are slow. It returns those that
// were not marked within the last half of slowTTL.
func (directory *Directory) MarkSlow(instances ...mesh.TargetInstance) []mesh.TargetInstance {
	var added []mesh.TargetInstance
	now := directory.clock.Now()
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, instance := range instances {
		if since, known := directory.slow[instance]; !known || now.Sub(since) > slowTTL/2 {
			added = append(added, instance)
			directory.slow[instance] = now
		}
	}
	return added
}

// Slow returns the ids of the targets that recently reported that they are slow.
func (directory *Directory) Slow() greengageroute.Set[string] {
	slow := greengageroute.Set[string]{}
	now, view := directory.clock.Now(), directory.View()
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for instance, since := range directory.slow {
		if now.Sub(since) > slowTTL {
			delete(directory.slow, instance)
		} else if target, _ := view.Target(instance.ID); target.StartUnixMilli == instance.StartUnixMilli {
			slow.Add(instance.ID)
		}
	}
	return slow
}

// Unlisted returns the members that are no longer listed and count as present until
// they are found unreachable or unlistedGrace ends.
func (directory *Directory) Unlisted() []mesh.TargetInstance {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	var unlisted []mesh.TargetInstance
	for _, removed := range directory.unlisted {
		unlisted = append(unlisted, removed.target.Instance())
	}
	return unlisted
}

// Expire drops unlisted targets and unreachable marks whose time has passed.
func (directory *Directory) Expire() {
	now := directory.clock.Now()
	directory.mu.Lock()
	directory.expireLeaving(now)
	due := false
	for _, at := range directory.dropAt {
		due = due || !at.After(now)
	}
	for _, since := range directory.unreachable {
		due = due || now.Sub(since) > unreachableTTL
	}
	for _, removed := range directory.unlisted {
		due = due || now.Sub(removed.since) > unlistedGrace
	}
	for _, row := range directory.outdated {
		due = due || now.Sub(row.since) > outdatedTTL
	}
	directory.mu.Unlock()
	if !due {
		return
	}
	directory.update(func() {
		for id, at := range directory.dropAt {
			if !at.After(now) {
				directory.drop(id)
			}
		}
		for _, row := range maps.Clone(directory.outdated) {
			if now.Sub(row.since) > outdatedTTL {
				directory.put(row.target)
			}
		}
		maps.DeleteFunc(directory.unlisted, func(id string, removed datedTarget) bool {
			return now.Sub(removed.since) > unlistedGrace && directory.touch(id)
		})
		maps.DeleteFunc(directory.absent, func(id string, removed datedTarget) bool {
			return now.Sub(removed.since) > absentTTL && directory.touch(id)
		})
		maps.DeleteFunc(directory.unreachable, func(instance mesh.TargetInstance, since time.Time) bool {
			return now.Sub(since) > unreachableTTL && directory.touch(instance.ID)
		})
	})
}

// expireLeaving forgets leaving targets that have long not been listed. The caller holds the
// lock.
func (directory *Directory) expireLeaving(now time.Time) {
	maps.DeleteFunc(directory.leaving, func(instance mesh.TargetInstance, since time.Time) bool {
		if directory.lists(instance) {
			directory.leaving[instance] = now
			return false
		}
		return now.Sub(since) > leavingTTL
	})
}

// touch marks a target that the current update may have changed. It returns true.
func (directory *Directory) touch(id string) bool {
	directory.touched.Add(id)
	return true
}

func (directory *Directory) update(edit func()) {
	directory.mu.Lock()
	edit()
	directory.view.Store(directory.nextView())
	clear(directory.touched)
	callbacks := make([]func(), 0, len(directory.watchers))
	for _, changed := range directory.watchers {
		callbacks = append(callbacks, changed)
	}
	directory.mu.Unlock()
	for _, changed := range callbacks {
		changed()
	}
}
