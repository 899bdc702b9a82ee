package greengageroute

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the requests that wait at one entry.
	maxWaiting = 2048
	// holdGain is the weight of a new measurement of how long requests hold a slot.
	holdGain = 0.05
)

type (
	// AdmissionRequest describes a request that wants a slot.
	AdmissionRequest struct {
		Workspace string
		Share     int // weight against the other workspaces of the class; 0 counts as 1
		Class     Class
		Cost      float64 // estimated tokens
	}

	// OverloadError says that a request was refused before anything was done
	// for it.
	OverloadError struct {
		RetryAfter time.Duration
		Reason     string
	}

	// Admission gives a bounded number of slots to requests: by the rank of
	// their class first, then in fair shares between workspaces, and never to
	// one that cannot make its deadline.
	Admission struct {
		mu       sync.Mutex
		slots    int
		used     int
		waiting  int
		hold     time.Duration // moving mean of the time a slot is held
		classes  []*classQueue // ascending rank
		refusals func(class string)
	}
)

// Error tells when to send again.
func (err *OverloadError) Error() string {
	return fmt.Sprintf("%s; send it again in %s", err.Reason, err.RetryAfter.Round(time.Millisecond))
}

// NewAdmission returns an admission with the given number of slots. refused is
// called with the class of each request that is refused.
func NewAdmission(slots int, refused func(class string)) *Admission {
	return &Admission{slots: slots, refusals: refused}
}

// SetSlots changes the number of slots, as groups come and go.
func (admission *Admission) SetSlots(slots int) {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	admission.slots = slots
	admission.grant(time.Now())
}

// Acquire waits for a slot until the deadline of the request's class. The caller
// calls the returned function when the request has ended. The error is an
// *OverloadError, or the context's.
func (admission *Admission) Acquire(ctx context.Context, ticket AdmissionRequest) (func(), error) {
	began := time.Now()
	waiter := &waiter{ticket: ticket, deadline: began.Add(ticket.Class.Deadline), granted: make(chan error, 1)}
	if err := admission.enter(waiter, began); err != nil {
		return nil, err
	}
	timer := time.NewTimer(ticket.Class.Deadline)
	defer timer.Stop()
	select {
	case err := <-waiter.granted:
		if err != nil {
			return nil, err
		}
		return admission.release(time.Now()), nil
	case <-ctx.Done():
		return nil, admission.abandon(waiter, ctx.Err())
	case <-timer.C:
		return nil, admission.abandon(waiter, admission.overload("the deadline of class "+ticket.Class.Name+" passed while waiting"))
	}
}

func (admission *Admission) enter(newcomer *waiter, now time.Time) error {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	queue := admission.queue(newcomer.ticket.Class)
	ahead := admission.ahead(queue)
	if wait := admission.expected(ahead); wait > newcomer.ticket.Class.Deadline {
		admission.refusals(newcomer.ticket.Class.Name)
		return &OverloadError{RetryAfter: wait, Reason: "the queue is longer than the deadline of class " + newcomer.ticket.Class.Name}
	}
	if admission.waiting >= maxWaiting && !admission.shed(newcomer.ticket.Class.Rank) {
		admission.refusals(newcomer.ticket.Class.Name)
		return &OverloadError{RetryAfter: admission.expected(admission.waiting), Reason: "the queue is full"}
	}
	queue.push(newcomer)
	admission.waiting++
	admission.grant(now)
	return nil
}

// release returns the function that gives a slot back once.
func (admission *Admission) release(from time.Time) func() {
	return sync.OnceFunc(func() {
		now := time.Now()
		admission.mu.Lock()
		defer admission.mu.Unlock()
		admission.used--
		held := now.Sub(from)
		if admission.hold == 0 {
			admission.hold = held
		}
		admission.hold += time.Duration(holdGain * float64(held-admission.hold))
		admission.grant(now)
	})
}

// abandon takes a waiter out; if it was granted a slot meanwhile, the slot goes
// to the next.
func (admission *Admission) abandon(gone *waiter, cause error) error {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	if admission.queue(gone.ticket.Class).remove(gone) {
		admission.waiting--
		admission.refusals(gone.ticket.Class.Name)
		return cause
	}
	if err := <-gone.granted; err != nil {
		return err
	}
	admission.used--
	admission.grant(time.Now())
	return cause
}

func (admission *Admission) overload(reason string) *OverloadError {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	return &OverloadError{RetryAfter: max(admission.expected(admission.waiting), time.Second), Reason: reason}
}

// grant hands free slots to waiting requests. Those whose deadline has passed
// are left to their own timer.
func (admission *Admission) grant(now time.Time) {
	for admission.used < admission.slots {
		next := admission.next(now)
		if next == nil {
			return
		}
		admission.used++
		next.granted <- nil
	}
}

func (admission *Admission) next(now time.Time) *waiter {
	for _, queue := range admission.classes {
		for queue.length > 0 {
			next := queue.pop()
			admission.waiting--
			if now.Before(next.deadline) {
				return next
			}
			admission.refusals(next.ticket.Class.Name)
			next.granted <- &OverloadError{RetryAfter: time.Second, Reason: "the deadline of class " + next.ticket.Class.Name + " passed while waiting"}
		}
	}
	return nil
}

// shed refuses the newest waiter of the last class behind the given rank.
func (admission *Admission) shed(rank int) bool {
	for _, queue := range slices.Backward(admission.classes) {
		if queue.class.Rank <= rank {
			return false
		}
		if last := queue.dropLast(); last != nil {
			admission.waiting--
			admission.refusals(last.ticket.Class.Name)
			last.granted <- &OverloadError{RetryAfter: admission.expected(admission.waiting), Reason: "more urgent requests filled the queue"}
			return true
		}
	}
	return false
}

func (admission *Admission) expected(ahead int) time.Duration {
	free := admission.slots - admission.used
	if ahead < free {
		return 0
	}
	return time.Duration(float64(admission.hold) * float64(ahead-max(free, 0)+1) / float64(max(admission.slots, 1)))
}

func (admission *Admission) ahead(queue *classQueue) int {
	ahead := 0
	for _, other := range admission.classes {
		if other.class.Rank <= queue.class.Rank {
			ahead += other.length
		}
	}
	return ahead
}

func (admission *Admission) queue(class Class) *classQueue {
	for _, queue := range admission.classes {
		if queue.class.Name == class.Name {
			queue.class = class
			return queue
		}
	}
	queue := &classQueue{class: class, lines: map[string]*line{}}
	admission.classes = append(admission.classes, queue)
	slices.SortStableFunc(admission.classes, func(a, b *classQueue) int { return a.class.Rank - b.class.Rank })
	return queue
}
