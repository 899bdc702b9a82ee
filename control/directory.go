// Package control keeps what an entry knows of the operator's config and of the
// targets, and plans the replicas while the entry holds the planner's lease.
package control

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	// lostFor is how long a target found dead stays out although it is listed: the
	// list drops it after three heartbeats.
	lostFor = 5 * time.Second
	// unlistedFor is how long a member that vanished from the list, and answers,
	// may keep its replica: cuts from the store alone last about ten seconds.
	unlistedFor = 12 * time.Second
	// slowFor is how long a target that said that it is slow counts as such: while
	// its replica serves it is asked again and again.
	slowFor = 5 * time.Second
	// absentFor is how long a target that has vanished is remembered: its replica's
	// members may have to be freed from it.
	absentFor = time.Minute
)

type (
	// Directory holds the targets as listed, less those found dead. Readers take
	// immutable views.
	Directory struct {
		clock greengageroute.Clock

		mu      sync.Mutex
		targets map[string]greengageroute.Target
		dropAt  map[string]time.Time // vanished during an outage of the store
		absent  map[string]absentTarget
		// unlisted are members that have vanished from the list, which happens also to
		// targets that only lost the store: their replicas may still be whole.
		unlisted map[string]absentTarget
		lost     map[mesh.TargetInstance]time.Time
		slow     map[mesh.TargetInstance]time.Time
		routes   *greengageroute.RouteTable
		watch    map[uint64]func()
		watches  uint64

		view atomic.Pointer[View]
	}

	absentTarget struct {
		target greengageroute.Target
		since  time.Time
	}

	// View is the directory at one moment. It is not changed.
	View struct {
		Listed   bool                             // the list has been read
		Absent   map[string]greengageroute.Target // vanished from the list, or found dead
		Targets  map[string]greengageroute.Target
		Pools    map[string][]greengageroute.Target             // plain and free targets too
		Replicas map[string]map[string][]greengageroute.Replica // open ones, by pool and model
	}
)

// NewDirectory returns an empty directory.
func NewDirectory(clock greengageroute.Clock) *Directory {
	directory := &Directory{
		clock: clock, targets: map[string]greengageroute.Target{}, dropAt: map[string]time.Time{},
		absent: map[string]absentTarget{}, unlisted: map[string]absentTarget{},
		lost: map[mesh.TargetInstance]time.Time{}, slow: map[mesh.TargetInstance]time.Time{}, watch: map[uint64]func(){},
	}
	directory.view.Store(&View{})
	return directory
}

// View returns the present view.
func (directory *Directory) View() *View { return directory.view.Load() }

// Watch has the function called after each change, until the returned function
// is called. It must not block.
func (directory *Directory) Watch(changed func()) (stop func()) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.watches++
	id := directory.watches
	directory.watch[id] = changed
	return func() {
		directory.mu.Lock()
		defer directory.mu.Unlock()
		delete(directory.watch, id)
	}
}

// SetRoutes takes the routes into account: they name the pools' engines.
func (directory *Directory) SetRoutes(routes *greengageroute.RouteTable) {
	directory.change(func() { directory.routes = routes })
}

// Replace takes a whole reading of the list. Targets that are missing from it
// are dropped at the given time.
func (directory *Directory) Replace(targets []greengageroute.Target, drop time.Time) {
	directory.change(func() {
		listed := greengageroute.Set[string]{}
		for _, target := range targets {
			listed.Add(target.ID)
			directory.put(target)
		}
		for id := range directory.targets {
			if !listed.Has(id) {
				directory.vanish(id, drop)
			}
		}
	})
}

// Apply takes changes of the list: targets that were written and ids that were
// removed, to be dropped at the given time.
func (directory *Directory) Apply(written []greengageroute.Target, removed []string, drop time.Time) {
	directory.change(func() {
		for _, target := range written {
			directory.put(target)
		}
		for _, id := range removed {
			directory.vanish(id, drop)
		}
	})
}

func (directory *Directory) put(target greengageroute.Target) {
	known, found := directory.targets[target.ID]
	if found && known.Revision > target.Revision {
		return
	}
	target.ListedSince = directory.clock.Now()
	if found && known.StartUnixMilli == target.StartUnixMilli {
		target.ListedSince = known.ListedSince
	}
	delete(directory.absent, target.ID)
	delete(directory.unlisted, target.ID)
	directory.targets[target.ID] = target
	delete(directory.dropAt, target.ID)
}

func (directory *Directory) vanish(id string, drop time.Time) {
	if !drop.After(directory.clock.Now()) {
		directory.drop(id)
		return
	}
	if _, waiting := directory.dropAt[id]; !waiting {
		directory.dropAt[id] = drop
	}
}

func (directory *Directory) drop(id string) {
	if target, found := directory.targets[id]; found {
		gone := absentTarget{target, directory.clock.Now()}
		directory.absent[id] = gone
		if target.State == greengageroute.TargetReady && target.Membership.Rank > 0 && target.Membership.Formed() {
			directory.unlisted[id] = gone
		}
	}
	delete(directory.targets, id)
	delete(directory.dropAt, id)
}

// MarkLost notes targets that were found dead. It returns those that are news.
func (directory *Directory) MarkLost(lost ...mesh.TargetInstance) []mesh.TargetInstance {
	var news []mesh.TargetInstance
	directory.change(func() {
		now := directory.clock.Now()
		for _, one := range lost {
			if since, known := directory.lost[one]; !known || now.Sub(since) > lostFor {
				news = append(news, one)
				directory.lost[one] = now
				delete(directory.unlisted, one.ID)
			}
		}
	})
	return news
}

// MarkSlow notes targets that said that they are slow. It returns those that are
// news.
func (directory *Directory) MarkSlow(slow ...mesh.TargetInstance) []mesh.TargetInstance {
	var news []mesh.TargetInstance
	now := directory.clock.Now()
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, one := range slow {
		if since, known := directory.slow[one]; !known || now.Sub(since) > slowFor/2 {
			news = append(news, one)
			directory.slow[one] = now
		}
	}
	return news
}

// Slow returns the targets that said lately that they are slow, by their ids.
func (directory *Directory) Slow() greengageroute.Set[string] {
	slow := greengageroute.Set[string]{}
	now, view := directory.clock.Now(), directory.View()
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for one, since := range directory.slow {
		if now.Sub(since) > slowFor {
			delete(directory.slow, one)
		} else if view.Targets[one.ID].StartUnixMilli == one.StartUnixMilli {
			slow.Add(one.ID)
		}
	}
	return slow
}

// Unlisted returns the members that have vanished from the list and count as
// present until they are found dead.
func (directory *Directory) Unlisted() []mesh.TargetInstance {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	var vanished []mesh.TargetInstance
	for id, gone := range directory.unlisted {
		vanished = append(vanished, mesh.TargetInstance{ID: id, StartUnixMilli: gone.target.StartUnixMilli})
	}
	return vanished
}

// Expire drops what is due to be dropped.
func (directory *Directory) Expire() {
	now := directory.clock.Now()
	directory.mu.Lock()
	due := false
	for _, at := range directory.dropAt {
		due = due || !at.After(now)
	}
	for _, since := range directory.lost {
		due = due || now.Sub(since) > lostFor
	}
	for _, gone := range directory.unlisted {
		due = due || now.Sub(gone.since) > unlistedFor
	}
	directory.mu.Unlock()
	if !due {
		return
	}
	directory.change(func() {
		for id, at := range directory.dropAt {
			if !at.After(now) {
				directory.drop(id)
			}
		}
		maps.DeleteFunc(directory.unlisted, func(_ string, gone absentTarget) bool { return now.Sub(gone.since) > unlistedFor })
		maps.DeleteFunc(directory.absent, func(_ string, gone absentTarget) bool { return now.Sub(gone.since) > absentFor })
		maps.DeleteFunc(directory.lost, func(_ mesh.TargetInstance, since time.Time) bool { return now.Sub(since) > lostFor })
	})
}

func (directory *Directory) change(edit func()) {
	directory.mu.Lock()
	edit()
	directory.view.Store(directory.build())
	watchers := make([]func(), 0, len(directory.watch))
	for _, changed := range directory.watch {
		watchers = append(watchers, changed)
	}
	directory.mu.Unlock()
	for _, changed := range watchers {
		changed()
	}
}

func (directory *Directory) build() *View {
	view := &View{
		Listed: len(directory.targets) > 0, Absent: map[string]greengageroute.Target{}, Targets: make(map[string]greengageroute.Target, len(directory.targets)),
		Pools: map[string][]greengageroute.Target{}, Replicas: map[string]map[string][]greengageroute.Replica{},
	}
	for id, gone := range directory.absent {
		view.Absent[id] = gone.target
	}
	for id, target := range directory.targets {
		if _, lost := directory.lost[mesh.TargetInstance{ID: id, StartUnixMilli: target.StartUnixMilli}]; lost {
			view.Absent[id] = target
			continue
		}
		view.Targets[id] = target
		view.Pools[target.Pool] = append(view.Pools[target.Pool], target)
	}
	for id, gone := range directory.unlisted {
		target := gone.target
		if _, lost := directory.lost[mesh.TargetInstance{ID: id, StartUnixMilli: target.StartUnixMilli}]; !lost {
			target.Unlisted = true
			view.Targets[id] = target
			view.Pools[target.Pool] = append(view.Pools[target.Pool], target)
		}
	}
	if directory.routes == nil {
		return view
	}
	for name, pool := range directory.routes.Pools {
		if pool.Engine != nil {
			view.Replicas[name] = openReplicas(view.Pools[name], pool.Engine)
		}
	}
	return view
}

func openReplicas(targets []greengageroute.Target, engine *greengageroute.Engine) map[string][]greengageroute.Replica {
	open := map[string][]greengageroute.Replica{}
	whole, _ := greengageroute.AssembleReplicas(targets)
	for _, replica := range whole {
		model, known := engine.Model(replica.Model)
		if known && replica.IsOpen(model.Size) {
			open[replica.Model] = append(open[replica.Model], replica)
		}
	}
	return open
}
