package greengageroute

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is how much of a prompt decides its homes.
	prefixBytes = 256
	// gain is the weight of a new measurement in a moving mean.
	ewmaWeight = 0.05
	// rareGain is that of a measurement on the side that an estimate leans from.
	quantileWeight = 0.005
	// slownessTerm is how fast a measured slowness is forgotten, so that a
	// straggler is tried again.
	slowdownDecay = 30 * time.Second
	// historyTerm is how far back an entry knows its own load at a group, at
	// least as long as reports lag.
	historyWindow = 5 * time.Second

	// recentPrefixes is how many prefixes that an entry sent to a group last are
	// taken to be cached there still.
	recentPrefixes = 8

	// unsure is the least variance of a group's load, in streams.
	minLoadVariance = 1

	initialRequestTime     = 2 * time.Second
	initialCachedPrefill   = 100 * time.Millisecond
	initialUncachedPrefill = 400 * time.Millisecond

	minSlowdown, maxSlowdown = 0.5, 16.0
)

// Ranks of a group for a prefix.
const (
	primaryHome affinity = iota
	secondaryHome
	notHome
)

type (
	// GroupCandidate is a group that may take a request.
	GroupCandidate struct {
		Group           Group
		Streams         int           // answers that it generates at a time; more wait
		ReportedStreams int           // answers under way when it was probed
		ReportAge       time.Duration // of that report
	}

	// GroupChoice is a group chosen for a request.
	GroupChoice struct {
		Index           int // of the candidate; -1 if there is none
		group           string
		affinity        affinity
		expectedSeconds float64 // seconds to the first token at a group of usual speed
		pickedAt        time.Time
	}

	// Router chooses groups by the time to the first token that it expects of
	// each: the wait for a free stream, and the prefill, shorter at the groups
	// where the prompt's prefix is likely cached. It learns these times, and how
	// much slower than expected each group is, from the answers it sees.
	Router struct {
		mu              sync.Mutex
		groups          map[string]*groupStats
		peers           int
		requestSeconds  float64 // moving mean of the seconds that an answer takes
		cachedPrefill   float64 // low seconds to the first token, without the wait, at a first home
		uncachedPrefill float64 // high seconds elsewhere
	}

	// rank is a group's place among the homes of a prefix, where it is likely
	// to be cached.
	affinity int

	// track is what an entry knows of its own requests at a group.
	groupStats struct {
		hash       uint64
		running    int
		changes    []loadChange // starts and ends of the last while, oldest first
		slowdown   float64
		measuredAt time.Time
		recent     [recentPrefixes]uint64 // prefixes sent there last, as hashes
		oldest     int
	}

	loadChange struct {
		at        time.Time
		startedAt time.Time
		delta     int
	}
)

// NewRouter returns a router that has seen no answer yet.
func NewRouter() *Router {
	return &Router{
		groups: map[string]*groupStats{}, requestSeconds: initialRequestTime.Seconds(),
		cachedPrefill: initialCachedPrefill.Seconds(), uncachedPrefill: initialUncachedPrefill.Seconds(),
	}
}

// SetPeers says how many other entries send to the same groups.
func (router *Router) SetPeers(count int) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.peers = count
}

// PrefixKey is the part of a prompt that decides where its cache is likely.
func PrefixKey(model, prompt string) string {
	return model + "\x00" + prompt[:min(len(prompt), prefixBytes)]
}

// Pick chooses the candidate with the shortest expected time to the first token
// and notes the request as under way there. The request ends with Done.
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

// prefill is what the first token takes at a group of the rank if the cache does
// what it is there for. The mean of what it took would not do: misses at the
// homes would raise it, the prefix would be spread, and be missed more.
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

// homesOf returns the two candidates with the highest random weights for the
// prefix; every entry finds the same.
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

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mixBits(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// wait is the expected wait for a free stream. Of other entries' answers some
// have ended since the report, and some have begun: as many at each entry as
// here, for all entries prefer the same groups. The less is known, the earlier a
// wait is expected.
func (router *Router) expectedWait(stats *groupStats, candidate GroupCandidate, now time.Time) float64 {
	reportedByOthers, startedSince := stats.estimateLoad(candidate, now)
	survival := math.Exp(-candidate.ReportAge.Seconds() / router.requestSeconds)
	others := reportedByOthers*survival + float64(router.peers)*startedSince
	load := float64(stats.running) + others
	streams := float64(max(candidate.Streams, 1))
	deviation := math.Sqrt(others*(1-survival) + minLoadVariance)
	return router.requestSeconds / streams * meanExcess(load+1-streams, deviation)
}

// meanExcess is the mean of what a normally distributed value exceeds zero by.
func meanExcess(mean, deviation float64) float64 {
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	above := (1 + math.Erf(z/math.Sqrt2)) / 2
	return deviation*density + mean*above
}

// RecordFirstToken notes how long the chosen group took to the first token.
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

// lean moves an estimate towards a measurement, with one gain upwards and
// another downwards, so that it settles at a high or a low quantile.
func updateQuantile(estimate, measured, up, down float64) float64 {
	if measured > estimate {
		return estimate + up*(measured-estimate)
	}
	return estimate + down*(measured-estimate)
}

// Done notes that the request is no longer under way at the chosen group.
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

// split returns how many answers of other entries the report counts, and how
// many of those under way here were begun since.
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
