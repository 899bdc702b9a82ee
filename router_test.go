package greengageroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulation has a few entries, and groups that generate a bounded number of
// streams at a time and queue further requests. Responses differ in length,
// prefixes are of skewed popularity, each group has an LRU cache of prefixes, and
// load reports lag. A request's time to the first token is its wait for a stream
// plus its prefill, which is shorter with the prefix cached, and longer for longer
// prompts and at a straggler.
const (
	simulatedEntries   = 4
	simulatedGroups    = 16
	simulatedStreams   = 8
	simulatedPrefixes  = 200
	simulatedCacheSize = 24
	simulatedRequests  = 20000
	simulatedReportLag = 2 * time.Second

	uncachedPrefillTime = 400 * time.Millisecond
	cachedPrefillTime   = 60 * time.Millisecond
	generateTime        = 1200 * time.Millisecond
	stragglerFactor     = 3
)

type (
	// policy picks a group for a request and is notified of the events that a router
	// is notified of.
	policy interface {
		pick(prefix string, candidates []GroupCandidate, now time.Time) GroupChoice
		began(choice GroupChoice, now time.Time)
		done(choice GroupChoice, now time.Time)
	}

	simulatedGroup struct {
		base     GroupCandidate
		freeAt   []time.Time // times at which each stream becomes free, earliest first
		cache    []string    // prefixes, least recently used first
		slowdown int
		reports  []loadReport
		running  int
	}

	loadReport struct {
		at      time.Time
		streams int
	}

	event struct {
		at  time.Time
		run func()
	}

	events []event

	routingResult struct {
		p50, p95    time.Duration
		hits        float64
		worstExcess int // maximum, over time, of the requests at one group above the mean
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

// routerPolicy is the router under test.
type routerPolicy struct{ *Router }

func (policy routerPolicy) pick(prefix string, candidates []GroupCandidate, now time.Time) GroupChoice {
	return policy.Pick(prefix, candidates, now)
}

func (policy routerPolicy) began(choice GroupChoice, now time.Time) {
	policy.RecordFirstToken(choice, now)
}
func (policy routerPolicy) done(choice GroupChoice, now time.Time) { policy.Done(choice, now) }

type simplePolicy struct {
	choose func(candidates []GroupCandidate) int
}

func (policy simplePolicy) pick(_ string, candidates []GroupCandidate, _ time.Time) GroupChoice {
	return GroupChoice{Index: policy.choose(candidates)}
}
func (simplePolicy) began(GroupChoice, time.Time) {}
func (simplePolicy) done(GroupChoice, time.Time)  {}

func roundRobin() policy {
	next := -1
	return simplePolicy{func(candidates []GroupCandidate) int {
		next++
		return next % len(candidates)
	}}
}

func leastReported() policy {
	return simplePolicy{func(candidates []GroupCandidate) int {
		best := 0
		for i, candidate := range candidates {
			if candidate.ReportedStreams < candidates[best].ReportedStreams {
				best = i
			}
		}
		return best
	}}
}

func twoRandomChoices(random *rand.Rand) policy {
	return simplePolicy{func(candidates []GroupCandidate) int {
		a, b := random.IntN(len(candidates)), random.IntN(len(candidates))
		if candidates[b].ReportedStreams < candidates[a].ReportedStreams {
			return b
		}
		return a
	}}
}

// simulate routes a seeded stream of requests at a load relative to the capacity.
// Each entry has its own policy.
func simulate(newPolicy func() policy, load float64, lag time.Duration, straggler bool, skew float64) routingResult {
	random := rand.New(rand.NewPCG(11, 13))
	zipf := rand.NewZipf(random, skew, 1, simulatedPrefixes-1)
	policies := make([]policy, simulatedEntries)
	for i := range policies {
		policies[i] = newPolicy()
	}
	now := time.Unix(0, 0)
	groups := newSimulatedGroups(now, straggler)
	perSecond := load * simulatedGroups * simulatedStreams / (generateTime + uncachedPrefillTime/2).Seconds()
	var pending events
	var waits []time.Duration
	hits, worst := 0, 0
	for range simulatedRequests {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(pending) > 0 && pending[0].at.Before(now) {
			heap.Pop(&pending).(event).run()
		}
		prefix := fmt.Sprint(zipf.Uint64())
		candidates := make([]GroupCandidate, len(groups))
		for i, group := range groups {
			candidates[i] = group.candidateAt(now, lag)
		}
		policy := policies[random.IntN(simulatedEntries)]
		choice := policy.pick(prefix, candidates, now)
		group := groups[choice.Index]
		length := time.Duration(random.ExpFloat64() * float64(generateTime))
		wait, hit, end := group.run(now, prefix, 0.5+random.Float64(), length)
		waits = append(waits, wait)
		if hit {
			hits++
		}
		total := 0
		for _, other := range groups {
			total += other.running
		}
		worst = max(worst, group.running-total/simulatedGroups)
		first := now.Add(wait)
		heap.Push(&pending, event{first, func() { policy.began(choice, first) }})
		heap.Push(&pending, event{end, func() { group.running--; policy.done(choice, end) }})
	}
	slices.Sort(waits)
	return routingResult{p50: waits[len(waits)/2], p95: waits[len(waits)*95/100], hits: float64(hits) / simulatedRequests, worstExcess: worst}
}

func newSimulatedGroups(now time.Time, straggler bool) []*simulatedGroup {
	groups := make([]*simulatedGroup, simulatedGroups)
	for i := range groups {
		groups[i] = &simulatedGroup{base: GroupCandidate{Group: Group{Name: fmt.Sprintf("g-%d", i)}, Streams: simulatedStreams}, freeAt: make([]time.Time, simulatedStreams), slowdown: 1}
		for j := range groups[i].freeAt {
			groups[i].freeAt[j] = now
		}
	}
	if straggler {
		groups[3].slowdown = stragglerFactor
	}
	return groups
}

// candidateAt returns the group as shown by its latest report that is at least as
// old as the lag. There is one report per second.
func (group *simulatedGroup) candidateAt(now time.Time, lag time.Duration) GroupCandidate {
	if len(group.reports) == 0 || now.Sub(group.reports[len(group.reports)-1].at) >= time.Second {
		group.reports = append(group.reports, loadReport{now, group.running})
	}
	for len(group.reports) > 1 && now.Sub(group.reports[1].at) >= lag {
		group.reports = group.reports[1:]
	}
	candidate := group.base
	candidate.ReportedStreams, candidate.ReportAge = group.reports[0].streams, now.Sub(group.reports[0].at)
	return candidate
}

func (group *simulatedGroup) run(now time.Time, prefix string, prompt float64, length time.Duration) (firstToken time.Duration, hit bool, end time.Time) {
	prefill := uncachedPrefillTime
	if index := slices.Index(group.cache, prefix); index >= 0 {
		hit, prefill = true, cachedPrefillTime
		group.cache = slices.Delete(group.cache, index, index+1)
	}
	group.cache = append(group.cache, prefix)
	group.cache = group.cache[max(len(group.cache)-simulatedCacheSize, 0):]
	start := group.freeAt[0]
	if start.Before(now) {
		start = now
	}
	first := start.Add(time.Duration(float64(prefill) * prompt * float64(group.slowdown)))
	end = first.Add(length * time.Duration(group.slowdown))
	group.freeAt[0] = end
	slices.SortFunc(group.freeAt, time.Time.Compare)
	group.running++
	return first.Sub(now), hit, end
}

// TestRoutingBeatsSimplerPolicies compares the router with three other policies on
// the same requests. Its 95th percentile of the time to the first token must be
// lower than that of each other policy in every case.
func TestRoutingBeatsSimplerPolicies(t *testing.T) {
	for _, test := range []struct {
		name      string
		load      float64
		lag       time.Duration
		straggler bool
		skew      float64
	}{
		{"half load", 0.5, simulatedReportLag, false, 1.1},
		{"near capacity", 0.85, simulatedReportLag, false, 1.1},
		{"no lag", 0.85, 0, false, 1.1},
		{"straggler", 0.75, simulatedReportLag, true, 1.1},
		{"strong skew", 0.8, simulatedReportLag, false, 1.6},
		{"strong skew and straggler", 0.75, simulatedReportLag, true, 1.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := func(newPolicy func() policy) routingResult {
				return simulate(newPolicy, test.load, test.lag, test.straggler, test.skew)
			}
			result := run(func() policy {
				router := NewRouter()
				router.SetPeers(simulatedEntries - 1)
				return routerPolicy{router}
			})
			t.Logf("%-22s p50 %4d ms, p95 %5d ms, cache hits %.2f, most requests above the mean %d", "this router", result.p50.Milliseconds(), result.p95.Milliseconds(), result.hits, result.worstExcess)
			for _, baseline := range []struct {
				name      string
				newPolicy func() policy
			}{
				{"round robin", roundRobin},
				{"least reported load", leastReported},
				{"two random choices", func() policy { return twoRandomChoices(rand.New(rand.NewPCG(1, 2))) }},
			} {
				other := run(baseline.newPolicy)
				t.Logf("%-22s p50 %4d ms, p95 %5d ms, cache hits %.2f, most requests above the mean %d", baseline.name, other.p50.Milliseconds(), other.p95.Milliseconds(), other.hits, other.worstExcess)
				if result.p95 >= other.p95 {
					t.Errorf("the router's p95 is %s, not below that of %s, %s", result.p95, baseline.name, other.p95)
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
