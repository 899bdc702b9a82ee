package edge

import (
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// replicaCheckTTL is how long the result of a check of a replica counts for all streams.
const replicaCheckTTL = 200 * time.Millisecond

type (
	// replicaChecks checks whether replicas serve, once for all streams that ask.
	replicaChecks struct {
		serves func(head greengageroute.Target) bool

		mu     sync.Mutex
		checks map[string]*replicaCheck // by key of the replica
	}

	replicaCheck struct {
		done   chan struct{} // closed when the check has ended
		serves bool
		endsAt time.Time // zero while the check runs
	}
)

func newReplicaChecks(serves func(head greengageroute.Target) bool) *replicaChecks {
	return &replicaChecks{serves: serves, checks: map[string]*replicaCheck{}}
}

// check reports whether the replica of a head serves. It waits for the head's response.
func (checks *replicaChecks) check(head greengageroute.Target) bool {
	now, key := time.Now(), replicaKey(head)
	checks.mu.Lock()
	current, known := checks.checks[key]
	if !known || !current.endsAt.IsZero() && now.After(current.endsAt) {
		for other, past := range checks.checks {
			if !past.endsAt.IsZero() && now.After(past.endsAt) {
				delete(checks.checks, other)
			}
		}
		current = &replicaCheck{done: make(chan struct{})}
		checks.checks[key] = current
		go checks.run(current, head)
	}
	checks.mu.Unlock()
	<-current.done
	return current.serves
}

func (checks *replicaChecks) run(current *replicaCheck, head greengageroute.Target) {
	serves := checks.serves(head)
	checks.mu.Lock()
	defer checks.mu.Unlock()
	current.serves, current.endsAt = serves, time.Now().Add(replicaCheckTTL)
	close(current.done)
}
