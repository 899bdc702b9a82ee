package greengageroute

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the length of the part of a prompt that selects its homes.
	prefixBytes = 256
	// ewmaWeight is the weight of a new measurement in a moving mean.
	ewmaWeight = 0.05
	// quantileWeight is the weight of a measurement above the estimate of a low
	// quantile, or below that of a high one.
	quantileWeight = 0.005
	// slowdownDecay is the time constant with which a measured slowdown returns
	// to 1, so that a straggler is tried again.
	slowdownDecay = 30 * time.Second
	// historyWindow is how long an entry keeps the starts and ends of its own
	// requests at a group. It has to be at least the lag of load reports.
	historyWindow = 5 * time.Second

	// recentPrefixes is how many of the last prefixes that an entry sent to a
	// group are assumed to be still cached there.
	recentPrefixes = 8

	// minLoadVariance is the lower bound of the variance of a group's estimated
	// load, in squared streams.
	minLoadVariance = 1

	// Estimates that apply until the first measurements.
	initialRequestTime     = 2 * time.Second
	initialCachedPrefill   = 100 * time.Millisecond
	initialUncachedPrefill = 400 * time.Millisecond

	// Bounds of one measurement of a group's slowdown.
	minSlowdown, maxSlowdown = 0.5, 16.0
)

// Affinities of a group to a prefix.
const (
	primaryHome affinity = iota
	secondaryHome
	notHome
)

type (
	// GroupCandidate is a group that may take a request.
	GroupCandidate struct {
		Group           Group
		Streams         int           // that it generates at a time; further requests wait
		ReportedStreams int           // in progress when the group was probed
		ReportAge       time.Duration // age of ReportedStreams
	}

	// GroupChoice is a group chosen for a request.
	GroupChoice struct {
		Index           int // index of the candidate; -1 if there is none
		group           string
		affinity        affinity
		expectedSeconds float64 // time to the first token at a group without slowdown
		pickedAt        time.Time
	}

	// Router chooses the group with the shortest expected time to the first
	// token: the wait for a free stream plus the prefill, which is shorter at the
	// groups that likely cache the prompt's prefix. It learns these times, and how
	// much slower than expected each group is, from the requests that it routes.
	Router struct {
		mu              sync.Mutex
		groups          map[string]*groupStats
		peers           int
		requestSeconds  float64 // moving mean of a request's duration
		cachedPrefill   float64 // low quantile of the prefill at a primary home, in seconds
		uncachedPrefill float64 // high quantile of the prefill elsewhere, in seconds
	}

	// affinity is a group's rank among the homes of a prefix: the groups that
	// likely cache it.
	affinity int

	// groupStats holds an entry's statistics on its own requests at a group.
	groupStats struct {
		hash       uint64
		running    int
		changes    []loadChange // starts and ends within historyWindow, oldest first
		slowdown   float64
		measuredAt time.Time
		recent     [recentPrefixes]uint64 // ring of the hashes of the prefixes sent last
		oldest     int
	}

	// loadChange is the start or the end of a request.
	loadChange struct {
		at        time.Time
		startedAt time.Time
		delta     int
	}
)

// NewRouter returns a router with initial estimates.
func NewRouter() *Router {
	return &Router{
		groups: map[string]*groupStats{}, requestSeconds: initialRequestTime.Seconds(),
		cachedPrefill: initialCachedPrefill.Seconds(), uncachedPrefill: initialUncachedPrefill.Seconds(),
	}
}

// SetPeers sets how many other entries send to the same groups.
func (router *Router) SetPeers(count int) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.peers = count
}

// PrefixKey returns the model and the part of the prompt that select the groups
// that likely cache the prompt.
func PrefixKey(model, prompt string) string {
	return model + "\x00" + prompt[:min(len(prompt), prefixBytes)]
}

// Pick chooses the candidate with the shortest expected time to the first token
// and counts the request as running there until Done is called.
func (router *Router) Pick(prefix string, candidates []GroupCandidate, now time.Time) GroupChoice {
	router.mu.Lock()
	defer router.mu.Unlock()
	choice := GroupChoice{Index: -1, pickedAt: now}
	if len(candidates) == 0 {
		return choice
	}
	prefixHash := xxhash.Sum64String(prefix)
	first, second := router.homesOf(prefixHash, candidates)
	lowestScore := math.Inf(1)
	for i, candidate := range candidates {
		stats := router.stats(candidate.Group.Name)
		affinity := affinityOf(i, first, second)
		if slices.Contains(stats.recent[:], prefixHash) {
			affinity = primaryHome
		}
		expected := router.expectedWait(stats, candidate, now) + router.expectedPrefill(affinity)
		if score := expected * stats.slowdownAt(now); score < lowestScore {
			lowestScore = score
			choice.Index, choice.group, choice.affinity, choice.expectedSeconds = i, candidate.Group.Name, affinity, expected
		}
	}
	chosen := router.stats(choice.group)
	chosen.recordChange(now, now, 1)
	chosen.rememberPrefix(prefixHash)
	return choice
}

// expectedPrefill returns the prefill in seconds at a group with the affinity,
// assuming that the homes hit their caches. A mean of the measured prefills
// would be unstable: cache misses at the homes would raise it, prefixes would be
// sent to more groups, and their caches would miss more often.
func (router *Router) expectedPrefill(affinity affinity) float64 {
	switch affinity {
	case primaryHome:
		return router.cachedPrefill
	case secondaryHome:
		return (router.cachedPrefill + router.uncachedPrefill) / 2
	default:
		return router.uncachedPrefill
	}
}

func affinityOf(index, first, second int) affinity {
	switch index {
	case first:
		return primaryHome
	case second:
		return secondaryHome
	default:
		return notHome
	}
}

// homesOf returns the two candidates with the highest rendezvous weights for the
// prefix. Every entry computes the same homes.
func (router *Router) homesOf(prefix uint64, candidates []GroupCandidate) (first, second int) {
	first, second = -1, -1
	var highest, secondHighest uint64
	for i, candidate := range candidates {
		weight := mixBits(router.stats(candidate.Group.Name).hash ^ prefix)
		switch {
		case first < 0 || weight > highest:
			second, secondHighest = first, highest
			first, highest = i, weight
		case second < 0 || weight > secondHighest:
			second, secondHighest = i, weight
		}
	}
	return first, second
}

// mixBits spreads the bits of a hash (the finalizer of SplitMix64).
func mixBits(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// expectedWait returns the expected wait for a free stream in seconds. Since the
// report, some requests of other entries have ended and others have started. Each
// other entry is assumed to have started as many as this one, because all entries
// prefer the same groups. The variance of the load, and with it the expected
// wait, grows with the uncertainty.
func (router *Router) expectedWait(stats *groupStats, candidate GroupCandidate, now time.Time) float64 {
	reportedByOthers, startedSince := stats.estimateLoad(candidate, now)
	survival := math.Exp(-candidate.ReportAge.Seconds() / router.requestSeconds)
	others := reportedByOthers*survival + float64(router.peers)*startedSince
	load := float64(stats.running) + others
	streams := float64(max(candidate.Streams, 1))
	deviation := math.Sqrt(others*(1-survival) + minLoadVariance)
	return router.requestSeconds / streams * meanExcess(load+1-streams, deviation)
}

// meanExcess returns the mean of the positive part of a normally distributed
// value.
func meanExcess(mean, deviation float64) float64 {
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	above := (1 + math.Erf(z/math.Sqrt2)) / 2
	return deviation*density + mean*above
}

// RecordFirstToken records the time to the first token at the chosen group.
func (router *Router) RecordFirstToken(choice GroupChoice, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	elapsed := now.Sub(choice.pickedAt).Seconds()
	stats := router.stats(choice.group)
	stats.recordSlowdown(elapsed/choice.expectedSeconds, now)
	wait := choice.expectedSeconds - router.expectedPrefill(choice.affinity)
	prefill := max(elapsed/stats.slowdown-wait, 0)
	if choice.affinity == primaryHome {
		router.cachedPrefill = updateQuantile(router.cachedPrefill, prefill, quantileWeight, ewmaWeight)
	} else {
		router.uncachedPrefill = updateQuantile(router.uncachedPrefill, prefill, ewmaWeight, quantileWeight)
	}
}

// updateQuantile moves an estimate towards a measurement. Different weights
// upwards and downwards make the estimate converge to a high or a low quantile.
func updateQuantile(estimate, measured, up, down float64) float64 {
	if measured > estimate {
		return estimate + up*(measured-estimate)
	}
	return estimate + down*(measured-estimate)
}

// Done records that the request has ended at the chosen group.
func (router *Router) Done(choice GroupChoice, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.requestSeconds += ewmaWeight * (now.Sub(choice.pickedAt).Seconds() - router.requestSeconds)
	router.stats(choice.group).recordChange(now, choice.pickedAt, -1)
}

func (router *Router) stats(group string) *groupStats {
	stats, ok := router.groups[group]
	if !ok {
		stats = &groupStats{hash: xxhash.Sum64String(group), slowdown: 1}
		router.groups[group] = stats
	}
	return stats
}

func (stats *groupStats) recordChange(now, startedAt time.Time, delta int) {
	stats.running += delta
	expired := 0
	for expired < len(stats.changes) && now.Sub(stats.changes[expired].at) > historyWindow {
		expired++
	}
	stats.changes = append(stats.changes[expired:], loadChange{now, startedAt, delta})
}

func (stats *groupStats) rememberPrefix(prefix uint64) {
	if !slices.Contains(stats.recent[:], prefix) {
		stats.recent[stats.oldest] = prefix
		stats.oldest = (stats.oldest + 1) % recentPrefixes
	}
}

// estimateLoad returns how many requests of other entries the report counts, and
// how many of this entry's running requests were started after the report.
func (stats *groupStats) estimateLoad(candidate GroupCandidate, now time.Time) (others, startedSince float64) {
	reportedAt := now.Add(-candidate.ReportAge)
	runningThen := stats.running
	for i := len(stats.changes) - 1; i >= 0 && stats.changes[i].at.After(reportedAt); i-- {
		runningThen -= stats.changes[i].delta
		if stats.changes[i].delta > 0 {
			startedSince++
		} else if stats.changes[i].startedAt.After(reportedAt) {
			startedSince--
		}
	}
	return float64(max(candidate.ReportedStreams-runningThen, 0)), startedSince
}

func (stats *groupStats) slowdownAt(now time.Time) float64 {
	if stats.measuredAt.IsZero() {
		return 1
	}
	weight := math.Exp(-now.Sub(stats.measuredAt).Seconds() / slowdownDecay.Seconds())
	return 1 + (stats.slowdown-1)*weight
}

func (stats *groupStats) recordSlowdown(ratio float64, now time.Time) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	stats.slowdown = stats.slowdownAt(now)
	stats.slowdown += ewmaWeight * (ratio - stats.slowdown)
	stats.measuredAt = now
}
