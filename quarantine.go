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
	maxCrashRecords    = 4096
)

type (
	// Quarantine remembers which requests were on a group when it died.
	Quarantine struct {
		limit   int
		mu      sync.Mutex
		records map[string]crashRecord
	}

	crashRecord struct {
		crashes   Set[string] // assignment under which each group died
		lastCrash time.Time
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
	return &Quarantine{limit: limit, records: map[string]crashRecord{}}
}

// RecordCrash notes that a group died under a request. The death names the group and
// its assignment, so that the same death heard of twice counts once.
func (quarantine *Quarantine) RecordCrash(digest, crash string, now time.Time) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	quarantine.evict(now)
	record, exists := quarantine.records[digest]
	if !exists {
		record = crashRecord{crashes: Set[string]{}}
	}
	record.crashes.Add(crash)
	record.lastCrash = now
	quarantine.records[digest] = record
}

// RecordSuccess clears a request that ran to its end.
func (quarantine *Quarantine) RecordSuccess(digest string) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	delete(quarantine.records, digest)
}

// Check tells how far the request is suspected.
func (quarantine *Quarantine) Check(digest string, now time.Time) QuarantineState {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	record, exists := quarantine.records[digest]
	switch {
	case !exists || now.Sub(record.lastCrash) > QuarantineDuration:
		return QuarantineNone
	case len(record.crashes) >= quarantine.limit:
		return QuarantineRefused
	default:
		return QuarantineIsolated
	}
}

func (quarantine *Quarantine) evict(now time.Time) {
	if len(quarantine.records) < maxCrashRecords {
		return
	}
	for digest, record := range quarantine.records {
		if now.Sub(record.lastCrash) > QuarantineDuration || len(quarantine.records) >= maxCrashRecords {
			delete(quarantine.records, digest)
		}
	}
}
