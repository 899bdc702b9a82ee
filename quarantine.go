package greengageroute

import (
	"sync"
	"time"
)

const (
	// QuarantineCrashLimit is the number of group crashes after which a request is
	// refused.
	QuarantineCrashLimit = 2
	// QuarantineDuration is how long a request stays in quarantine after its last
	// crash.
	QuarantineDuration = 10 * time.Minute
	maxCrashRecords    = 4096
)

type (
	// Quarantine records which requests were running on a group when it crashed,
	// to detect requests that crash groups.
	Quarantine struct {
		limit   int
		mu      sync.Mutex
		records map[string]crashRecord
	}

	crashRecord struct {
		crashes   Set[string] // assignment of each group that crashed
		lastCrash time.Time
	}

	// QuarantineState says how a request is treated after crashes.
	QuarantineState int
)

// States of a request.
const (
	QuarantineNone     QuarantineState = iota
	QuarantineIsolated                 // a group crashed while running it; it runs alone
	QuarantineRefused
)

// NewQuarantine returns an empty quarantine that refuses a request after the
// given number of crashes.
func NewQuarantine(limit int) *Quarantine {
	return &Quarantine{limit: limit, records: map[string]crashRecord{}}
}

// RecordCrash records that a group crashed while it ran the request. crash names
// the group and its assignment, so that a crash reported twice counts once.
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

// RecordSuccess deletes the record of a request that has completed.
func (quarantine *Quarantine) RecordSuccess(digest string) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	delete(quarantine.records, digest)
}

// Check returns the state of the request.
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

// evict deletes expired records, and as many others as needed, once the limit of
// records is reached.
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
