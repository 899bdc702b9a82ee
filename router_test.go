package greengageroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The routing model: a few entries, groups that generate for a bounded number of
// streams at a time and queue the rest, answers of
// different lengths, prefixes of skewed popularity, an LRU
// cache of prefixes in each group, load reports that lag. A request's time to
// the first token is its wait for a stream, and its prefill: shorter with the
// prefix cached, longer for longer prompts and at a straggler.
const (
	modelEntries  = 4
	modelGroups   = 16
	modelStreams  = 8
	modelPrefixes = 200
	modelCache    = 24
	modelRequests = 20000
	modelLag      = 2 * time.Second

	coldPrefill  = 400 * time.Millisecond
	warmPrefill  = 60 * time.Millisecond
	generateTime = 1200 * time.Millisecond
	stragglerBy  = 3
)

type (
	// chooser picks a group for a request. It is told what a router would know.
	chooser interface {
		pick(prefix string, candidates []GroupCandidate, now time.Time) GroupChoice
		began(choice GroupChoice, now time.Time)
		done(choice GroupChoice, now time.Time)
	}

	modelGroup struct {
		candidate GroupCandidate
		free      []time.Time // when each stream is free again, earliest first
		cache     []string    // prefixes, the least recently used first
		slow      int
		reports   []report
		running   int
	}

	report struct {
		at      time.Time
		streams int
	}

	event struct {
		at  time.Time
		run func()
	}

	events []event

	routed struct {
		p50, p95 time.Duration
		hits     float64
		worst    int // most requests at one group beyond the mean, at any time
	}
)

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(value any)    { *events = append(*events, value.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// ours is the router under test.
type ours struct{ *Router }

func (ours ours) pick(prefix string, candidates []GroupCandidate, now time.Time) GroupChoice {
	return ours.Pick(prefix, candidates, now)
}
func (ours ours) began(choice GroupChoice, now time.Time) { ours.RecordFirstToken(choice, now) }
func (ours ours) done(choice GroupChoice, now time.Time)  { ours.Done(choice, now) }

type plain struct {
	choose func(candidates []GroupCandidate) int
}

func (plain plain) pick(_ string, candidates []GroupCandidate, _ time.Time) GroupChoice {
	return GroupChoice{Index: plain.choose(candidates)}
}
func (plain) began(GroupChoice, time.Time) {}
func (plain) done(GroupChoice, time.Time)  {}

func roundRobin() chooser {
	next := -1
	return plain{func(candidates []GroupCandidate) int {
		next++
		return next % len(candidates)
	}}
}

func leastReported() chooser {
	return plain{func(candidates []GroupCandidate) int {
		best := 0
		for i, candidate := range candidates {
			if candidate.ReportedStreams < candidates[best].ReportedStreams {
				best = i
			}
		}
		return best
	}}
}

func twoChoices(random *rand.Rand) chooser {
	return plain{func(candidates []GroupCandidate) int {
		a, b := random.IntN(len(candidates)), random.IntN(len(candidates))
		if candidates[b].ReportedStreams < candidates[a].ReportedStreams {
			return b
		}
		return a
	}}
}

// simulate routes a seeded stream of requests at a share of the capacity. Each
// entry has a chooser of its own.
func simulate(makeChooser func() chooser, load float64, lag time.Duration, straggler bool, skew float64) routed {
	random := rand.New(rand.NewPCG(11, 13))
	zipf := rand.NewZipf(random, skew, 1, modelPrefixes-1)
	choosers := make([]chooser, modelEntries)
	for i := range choosers {
		choosers[i] = makeChooser()
	}
	now := time.Unix(0, 0)
	groups := newModelGroups(now, straggler)
	perSecond := load * modelGroups * modelStreams / (generateTime + coldPrefill/2).Seconds()
	var pending events
	var waits []time.Duration
	hits, worst := 0, 0
	for range modelRequests {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(pending) > 0 && pending[0].at.Before(now) {
			heap.Pop(&pending).(event).run()
		}
		prefix := fmt.Sprint(zipf.Uint64())
		candidates := make([]GroupCandidate, len(groups))
		for i, group := range groups {
			candidates[i] = group.view(now, lag)
		}
		chooser := choosers[random.IntN(modelEntries)]
		choice := chooser.pick(prefix, candidates, now)
		group := groups[choice.Index]
		length := time.Duration(random.ExpFloat64() * float64(generateTime))
		wait, hit, end := group.take(now, prefix, 0.5+random.Float64(), length)
		waits = append(waits, wait)
		if hit {
			hits++
		}
		total := 0
		for _, other := range groups {
			total += other.running
		}
		worst = max(worst, group.running-total/modelGroups)
		first := now.Add(wait)
		heap.Push(&pending, event{first, func() { chooser.began(choice, first) }})
		heap.Push(&pending, event{end, func() { group.running--; chooser.done(choice, end) }})
	}
	slices.Sort(waits)
	return routed{p50: waits[len(waits)/2], p95: waits[len(waits)*95/100], hits: float64(hits) / modelRequests, worst: worst}
}

func newModelGroups(now time.Time, straggler bool) []*modelGroup {
	groups := make([]*modelGroup, modelGroups)
	for i := range groups {
		groups[i] = &modelGroup{candidate: GroupCandidate{Group: Group{Name: fmt.Sprintf("g-%d", i)}, Streams: modelStreams}, free: make([]time.Time, modelStreams), slow: 1}
		for j := range groups[i].free {
			groups[i].free[j] = now
		}
	}
	if straggler {
		groups[3].slow = stragglerBy
	}
	return groups
}

// view is the group as its last report that is old enough shows it. Reports
// come once a second.
func (group *modelGroup) view(now time.Time, lag time.Duration) GroupCandidate {
	if len(group.reports) == 0 || now.Sub(group.reports[len(group.reports)-1].at) >= time.Second {
		group.reports = append(group.reports, report{now, group.running})
	}
	for len(group.reports) > 1 && now.Sub(group.reports[1].at) >= lag {
		group.reports = group.reports[1:]
	}
	candidate := group.candidate
	candidate.ReportedStreams, candidate.ReportAge = group.reports[0].streams, now.Sub(group.reports[0].at)
	return candidate
}

func (group *modelGroup) take(now time.Time, prefix string, prompt float64, length time.Duration) (firstToken time.Duration, hit bool, end time.Time) {
	prefill := coldPrefill
	if index := slices.Index(group.cache, prefix); index >= 0 {
		hit, prefill = true, warmPrefill
		group.cache = slices.Delete(group.cache, index, index+1)
	}
	group.cache = append(group.cache, prefix)
	group.cache = group.cache[max(len(group.cache)-modelCache, 0):]
	start := group.free[0]
	if start.Before(now) {
		start = now
	}
	first := start.Add(time.Duration(float64(prefill) * prompt * float64(group.slow)))
	end = first.Add(length * time.Duration(group.slow))
	group.free[0] = end
	slices.SortFunc(group.free, time.Time.Compare)
	group.running++
	return first.Sub(now), hit, end
}

// TestRoutingBeatsSimplerPolicies compares the router with three others in one
// run; it must be better than each on the 95th percentile in every case.
func TestRoutingBeatsSimplerPolicies(t *testing.T) {
	for _, test := range []struct {
		name      string
		load      float64
		lag       time.Duration
		straggler bool
		skew      float64
	}{
		{"half load", 0.5, modelLag, false, 1.1},
		{"near capacity", 0.85, modelLag, false, 1.1},
		{"no lag", 0.85, 0, false, 1.1},
		{"straggler", 0.75, modelLag, true, 1.1},
		{"strong skew", 0.8, modelLag, false, 1.6},
		{"strong skew and straggler", 0.75, modelLag, true, 1.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := func(makeChooser func() chooser) routed {
				return simulate(makeChooser, test.load, test.lag, test.straggler, test.skew)
			}
			own := run(func() chooser {
				router := NewRouter()
				router.SetPeers(modelEntries - 1)
				return ours{router}
			})
			t.Logf("%-22s p50 %4d ms, p95 %5d ms, cache hits %.2f, worst overload %d", "this router", own.p50.Milliseconds(), own.p95.Milliseconds(), own.hits, own.worst)
			for _, other := range []struct {
				name        string
				makeChooser func() chooser
			}{
				{"round robin", roundRobin},
				{"least reported load", leastReported},
				{"two random choices", func() chooser { return twoChoices(rand.New(rand.NewPCG(1, 2))) }},
			} {
				found := run(other.makeChooser)
				t.Logf("%-22s p50 %4d ms, p95 %5d ms, cache hits %.2f, worst overload %d", other.name, found.p50.Milliseconds(), found.p95.Milliseconds(), found.hits, found.worst)
				if own.p95 >= found.p95 {
					t.Errorf("p95 %s, that of %s %s", own.p95, other.name, found.p95)
				}
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{16, 48, 190} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := NewRouter()
			candidates := make([]GroupCandidate, count)
			for i := range candidates {
				candidates[i] = GroupCandidate{Group: Group{Name: fmt.Sprintf("group-%d", i)}, ReportedStreams: i % 7, ReportAge: time.Second}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Unix(int64(i), 0)
				router.Done(router.Pick("prefix", candidates, now), now)
			}
		})
	}
}
