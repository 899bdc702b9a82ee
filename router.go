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
	gain = 0.05
	// rareGain is that of a measurement on the side that an estimate leans from.
	rareGain = 0.005
	// slownessTerm is how fast a measured slowness is forgotten, so that a
	// straggler is tried again.
	slownessTerm = 30 * time.Second
	// historyTerm is how far back an entry knows its own load at a group, at
	// least as long as reports lag.
	historyTerm = 5 * time.Second

	// recentPrefixes is how many prefixes that an entry sent to a group last are
	// taken to be cached there still.
	recentPrefixes = 8

	// unsure is the least variance of a group's load, in streams.
	unsure = 1

	initialHold = 2 * time.Second
	initialWarm = 100 * time.Millisecond
	initialCold = 400 * time.Millisecond

	leastSlowness, mostSlowness = 0.5, 16.0
)

// Ranks of a group for a prefix.
const (
	firstHome rank = iota
	secondHome
	elsewhere
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
		Index    int // of the candidate; -1 if there is none
		group    string
		rank     rank
		expected float64 // seconds to the first token at a group of usual speed
		began    time.Time
	}

	// Router chooses groups by the time to the first token that it expects of
	// each: the wait for a free stream, and the prefill, shorter at the groups
	// where the prompt's prefix is likely cached. It learns these times, and how
	// much slower than expected each group is, from the answers it sees.
	Router struct {
		mu     sync.Mutex
		groups map[string]*track
		peers  int
		hold   float64 // moving mean of the seconds that an answer takes
		warm   float64 // low seconds to the first token, without the wait, at a first home
		cold   float64 // high seconds elsewhere
	}

	// rank is a group's place among the homes of a prefix, where it is likely
	// to be cached.
	rank int

	// track is what an entry knows of its own requests at a group.
	track struct {
		hash     uint64
		running  int
		changes  []change // starts and ends of the last while, oldest first
		slowness float64
		measured time.Time
		sent     [recentPrefixes]uint64 // prefixes sent there last, as hashes
		next     int
	}

	change struct {
		at    time.Time
		began time.Time
		delta int
	}
)

// NewRouter returns a router that has seen no answer yet.
func NewRouter() *Router {
	return &Router{
		groups: map[string]*track{}, hold: initialHold.Seconds(),
		warm: initialWarm.Seconds(), cold: initialCold.Seconds(),
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
	choice := GroupChoice{Index: -1, began: now}
	if len(candidates) == 0 {
		return choice
	}
	hash := xxhash.Sum64String(prefix)
	first, second := router.homesOf(hash, candidates)
	lowest := math.Inf(1)
	for i, candidate := range candidates {
		known := router.track(candidate.Group.Name)
		rank := rankOf(i, first, second)
		if slices.Contains(known.sent[:], hash) {
			rank = firstHome
		}
		expected := router.wait(known, candidate, now) + router.prefill(rank)
		if score := expected * known.slownessAt(now); score < lowest {
			lowest = score
			choice.Index, choice.group, choice.rank, choice.expected = i, candidate.Group.Name, rank, expected
		}
	}
	chosen := router.track(choice.group)
	chosen.add(now, now, 1)
	chosen.remember(hash)
	return choice
}

// prefill is what the first token takes at a group of the rank if the cache does
// what it is there for. The mean of what it took would not do: misses at the
// homes would raise it, the prefix would be spread, and be missed more.
func (router *Router) prefill(rank rank) float64 {
	switch rank {
	case firstHome:
		return router.warm
	case secondHome:
		return (router.warm + router.cold) / 2
	default:
		return router.cold
	}
}

func rankOf(index, first, second int) rank {
	switch index {
	case first:
		return firstHome
	case second:
		return secondHome
	default:
		return elsewhere
	}
}

// homesOf returns the two candidates with the highest random weights for the
// prefix; every entry finds the same.
func (router *Router) homesOf(prefix uint64, candidates []GroupCandidate) (first, second int) {
	first, second = -1, -1
	var most, next uint64
	for i, candidate := range candidates {
		weight := mix(router.track(candidate.Group.Name).hash ^ prefix)
		switch {
		case first < 0 || weight > most:
			second, next = first, most
			first, most = i, weight
		case second < 0 || weight > next:
			second, next = i, weight
		}
	}
	return first, second
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// wait is the expected wait for a free stream. Of other entries' answers some
// have ended since the report, and some have begun: as many at each entry as
// here, for all entries prefer the same groups. The less is known, the earlier a
// wait is expected.
func (router *Router) wait(known *track, candidate GroupCandidate, now time.Time) float64 {
	reported, since := known.split(candidate, now)
	trust := math.Exp(-candidate.ReportAge.Seconds() / router.hold)
	others := reported*trust + float64(router.peers)*since
	load := float64(known.running) + others
	streams := float64(max(candidate.Streams, 1))
	deviation := math.Sqrt(others*(1-trust) + unsure)
	return router.hold / streams * meanExcess(load+1-streams, deviation)
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
	took := now.Sub(choice.began).Seconds()
	known := router.track(choice.group)
	known.measure(took/choice.expected, now)
	waited := choice.expected - router.prefill(choice.rank)
	prefill := max(took/known.slowness-waited, 0)
	if choice.rank == firstHome {
		router.warm = lean(router.warm, prefill, rareGain, gain)
	} else {
		router.cold = lean(router.cold, prefill, gain, rareGain)
	}
}

// lean moves an estimate towards a measurement, with one gain upwards and
// another downwards, so that it settles at a high or a low quantile.
func lean(estimate, measured, up, down float64) float64 {
	if measured > estimate {
		return estimate + up*(measured-estimate)
	}
	return estimate + down*(measured-estimate)
}

// Done notes that the request is no longer under way at the chosen group.
func (router *Router) Done(choice GroupChoice, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.hold += gain * (now.Sub(choice.began).Seconds() - router.hold)
	router.track(choice.group).add(now, choice.began, -1)
}

func (router *Router) track(group string) *track {
	known, ok := router.groups[group]
	if !ok {
		known = &track{hash: xxhash.Sum64String(group), slowness: 1}
		router.groups[group] = known
	}
	return known
}

func (track *track) add(now, began time.Time, delta int) {
	track.running += delta
	old := 0
	for old < len(track.changes) && now.Sub(track.changes[old].at) > historyTerm {
		old++
	}
	track.changes = append(track.changes[old:], change{now, began, delta})
}

func (track *track) remember(prefix uint64) {
	if !slices.Contains(track.sent[:], prefix) {
		track.sent[track.next] = prefix
		track.next = (track.next + 1) % recentPrefixes
	}
}

// split returns how many answers of other entries the report counts, and how
// many of those under way here were begun since.
func (track *track) split(candidate GroupCandidate, now time.Time) (others, since float64) {
	probed := now.Add(-candidate.ReportAge)
	own := track.running
	for i := len(track.changes) - 1; i >= 0 && track.changes[i].at.After(probed); i-- {
		own -= track.changes[i].delta
		if track.changes[i].delta > 0 {
			since++
		} else if track.changes[i].began.After(probed) {
			since--
		}
	}
	return float64(max(candidate.ReportedStreams-own, 0)), since
}

func (track *track) slownessAt(now time.Time) float64 {
	if track.measured.IsZero() {
		return 1
	}
	trust := math.Exp(-now.Sub(track.measured).Seconds() / slownessTerm.Seconds())
	return 1 + (track.slowness-1)*trust
}

func (track *track) measure(ratio float64, now time.Time) {
	ratio = min(max(ratio, leastSlowness), mostSlowness)
	track.slowness = track.slownessAt(now)
	track.slowness += gain * (ratio - track.slowness)
	track.measured = now
}
