package greengageroute

import (
	"sync"
	"time"
)

const (
	// QuarantineCrashLimit is how many groups may die under a request.
	QuarantineCrashLimit = 2
	// QuarantineDuration is how long a request stays refused after its last death.
	QuarantineDuration = 10 * time.Minute
	maxSuspects        = 4096
)

type (
	// Quarantine remembers which requests were on a group when it died.
	Quarantine struct {
		limit    int
		mu       sync.Mutex
		suspects map[string]suspect
	}

	suspect struct {
		deaths Set[string] // assignment under which each group died
		last   time.Time
	}

	// QuarantineState is how far a request is suspected.
	QuarantineState int
)

// How far a request is suspected.
const (
	QuarantineNone     QuarantineState = iota
	QuarantineIsolated                 // one group died under it: it runs alone
	QuarantineRefused
)

// NewQuarantine returns an empty quarantine that refuses a request after the
// given number of deaths.
func NewQuarantine(limit int) *Quarantine {
	return &Quarantine{limit: limit, suspects: map[string]suspect{}}
}

// RecordCrash notes that a group died under a request. The death names the group and
// its assignment, so that the same death heard of twice counts once.
func (quarantine *Quarantine) RecordCrash(digest, death string, now time.Time) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	quarantine.expire(now)
	known, exists := quarantine.suspects[digest]
	if !exists {
		known = suspect{deaths: Set[string]{}}
	}
	known.deaths.Add(death)
	known.last = now
	quarantine.suspects[digest] = known
}

// RecordSuccess clears a request that ran to its end.
func (quarantine *Quarantine) RecordSuccess(digest string) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	delete(quarantine.suspects, digest)
}

// Check tells how far the request is suspected.
func (quarantine *Quarantine) Check(digest string, now time.Time) QuarantineState {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	known, exists := quarantine.suspects[digest]
	switch {
	case !exists || now.Sub(known.last) > QuarantineDuration:
		return QuarantineNone
	case len(known.deaths) >= quarantine.limit:
		return QuarantineRefused
	default:
		return QuarantineIsolated
	}
}

func (quarantine *Quarantine) expire(now time.Time) {
	if len(quarantine.suspects) < maxSuspects {
		return
	}
	for digest, known := range quarantine.suspects {
		if now.Sub(known.last) > QuarantineDuration || len(quarantine.suspects) >= maxSuspects {
			delete(quarantine.suspects, digest)
		}
	}
}
