package greengageroute

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadFactor bounds a prefix's home at this multiple of the mean load.
	loadFactor = 1.25
	// prefixBytes is how much of a prompt decides its home.
	prefixBytes = 256
	// speedGain is the weight of a new measurement of a group's speed.
	speedGain = 0.1
	// reportMemory is how fast a lagging report loses its weight.
	reportMemory = 2 * time.Second
	// homes is how many groups a prefix has as its home before it spills.
	homes = 2
)

type (
	// Candidate is a group that may take a request.
	Candidate struct {
		Group    Group
		Reported int           // streams when it was probed
		Age      time.Duration // of that report
	}

	// Router chooses groups. It keeps what this entry has under way at each
	// group and how fast each has answered.
	Router struct {
		mu     sync.Mutex
		groups map[string]*track
	}

	track struct {
		running int
		started []time.Time // starts since the last report that can count them
		speed   float64     // moving mean of seconds to the first token
	}
)

// NewRouter returns a router that knows nothing yet.
func NewRouter() *Router { return &Router{groups: map[string]*track{}} }

// PrefixKey is the part of a prompt that decides where its cache is likely.
func PrefixKey(model, prompt string) string {
	return model + "\x00" + prompt[:min(len(prompt), prefixBytes)]
}

// Pick chooses the candidate with the lowest expected wait, less what a cached
// prefix saves, and notes the request as under way there. It returns -1 if
// there is no candidate. The request ends with Done.
func (router *Router) Pick(prefix string, candidates []Candidate, now time.Time) int {
	router.mu.Lock()
	defer router.mu.Unlock()
	total := 0.0
	loads := make([]float64, len(candidates))
	for i, candidate := range candidates {
		loads[i] = router.load(candidate, now)
		total += loads[i]
	}
	bound := loadFactor * (total + 1) / float64(max(len(candidates), 1))
	usual := router.usualSpeed(candidates)
	best, lowest := -1, math.Inf(1)
	for i, candidate := range candidates {
		score := (loads[i] + 1) * router.slowness(candidate.Group.Name, usual)
		if loads[i] > bound {
			score += float64(len(candidates))
		}
		score -= affinity(prefix, candidate.Group.Name, candidates)
		if score < lowest {
			best, lowest = i, score
		}
	}
	if best >= 0 {
		known := router.track(candidates[best].Group.Name)
		known.running++
		known.started = append(known.started, now)
	}
	return best
}

// load is the expected number of streams at the candidate: its report, losing
// weight as it ages, what was started here since, and at least what runs here.
func (router *Router) load(candidate Candidate, now time.Time) float64 {
	known := router.track(candidate.Group.Name)
	probed := now.Add(-candidate.Age)
	since := 0
	kept := known.started[:0]
	for _, start := range known.started {
		if start.After(probed) {
			kept = append(kept, start)
			since++
		}
	}
	known.started = kept
	decay := math.Exp(-candidate.Age.Seconds() / reportMemory.Seconds())
	return max(float64(known.running), float64(candidate.Reported)*decay+float64(since))
}

func (router *Router) usualSpeed(candidates []Candidate) float64 {
	sum, count := 0.0, 0
	for _, candidate := range candidates {
		if known := router.track(candidate.Group.Name); known.speed > 0 {
			sum += known.speed
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

func (router *Router) slowness(group string, usual float64) float64 {
	known := router.track(group)
	if known.speed == 0 || usual == 0 {
		return 1
	}
	return max(known.speed/usual, 0.5)
}

// affinity is what a likely cached prefix saves, in streams. The prefix's homes
// are the candidates with the highest random weights.
func affinity(prefix, group string, candidates []Candidate) float64 {
	own := weigh(prefix, group)
	above := 0
	for _, other := range candidates {
		if weigh(prefix, other.Group.Name) > own {
			above++
			if above >= homes {
				return 0
			}
		}
	}
	return float64(homes - above)
}

func weigh(prefix, group string) uint64 {
	return xxhash.Sum64String(group) ^ xxhash.Sum64String(prefix)*0x9e3779b97f4a7c15
}

// FirstToken notes how long a group took to its first token.
func (router *Router) FirstToken(group string, took time.Duration) {
	router.mu.Lock()
	defer router.mu.Unlock()
	known := router.track(group)
	if known.speed == 0 {
		known.speed = took.Seconds()
		return
	}
	known.speed += speedGain * (took.Seconds() - known.speed)
}

// Done notes that a request is no longer under way at the group.
func (router *Router) Done(group string) {
	router.mu.Lock()
	defer router.mu.Unlock()
	known := router.track(group)
	known.running = max(known.running-1, 0)
}

func (router *Router) track(group string) *track {
	known, ok := router.groups[group]
	if !ok {
		known = &track{}
		router.groups[group] = known
	}
	return known
}
