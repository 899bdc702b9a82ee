package greengageroute

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the number of waiting requests at one entry.
	maxWaiting = 2048
	// slotDurationWeight is the weight of a new measurement of the slot duration.
	slotDurationWeight = 0.05
)

type (
	// AdmissionRequest asks for a slot.
	AdmissionRequest struct {
		Workspace string
		Share     int // weight against the other workspaces of the class; 0 counts as 1
		Class     Class
		Cost      float64 // estimated tokens
	}

	// OverloadError reports that a request was refused before any of it was
	// processed.
	OverloadError struct {
		RetryAfter time.Duration
		Reason     string
	}

	// Admission grants a bounded number of slots to requests: by the rank of their
	// class first, then in fair shares between workspaces. A request that cannot
	// meet its deadline is refused.
	Admission struct {
		mu           sync.Mutex
		slots        int
		used         int
		waiting      int
		slotDuration time.Duration // moving mean of how long a request occupies a slot
		classes      []*classQueue // ascending rank
		onRefusal    func(class string)
	}
)

// Error returns the reason of the refusal and when to retry.
func (err *OverloadError) Error() string {
	return fmt.Sprintf("%s; retry in %s", err.Reason, err.RetryAfter.Round(time.Millisecond))
}

// NewAdmission returns an admission with the given number of slots. onRefusal is
// called with the class of each request that is refused.
func NewAdmission(slots int, onRefusal func(class string)) *Admission {
	return &Admission{slots: slots, onRefusal: onRefusal}
}

// SetSlots changes the number of slots when groups are added or removed.
func (admission *Admission) SetSlots(slots int) {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	admission.slots = slots
	admission.grantSlots(time.Now())
}

// Acquire waits for a slot until the deadline of the request's class. The caller
// calls the returned function when the request has ended. The error is an
// *OverloadError, or the context's.
func (admission *Admission) Acquire(ctx context.Context, request AdmissionRequest) (func(), error) {
	start := time.Now()
	waiter := &waiter{request: request, deadline: start.Add(request.Class.Deadline), result: make(chan error, 1)}
	if err := admission.enqueue(waiter, start); err != nil {
		return nil, err
	}
	timer := time.NewTimer(request.Class.Deadline)
	defer timer.Stop()
	select {
	case err := <-waiter.result:
		if err != nil {
			return nil, err
		}
		return admission.release(time.Now()), nil
	case <-ctx.Done():
		return nil, admission.cancel(waiter, ctx.Err())
	case <-timer.C:
		return nil, admission.cancel(waiter, admission.overloadError("the deadline of class "+request.Class.Name+" passed while waiting"))
	}
}

func (admission *Admission) enqueue(waiter *waiter, now time.Time) error {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	queue := admission.queueOf(waiter.request.Class)
	queued := admission.queuedAhead(queue)
	if wait := admission.expectedWait(queued); wait > waiter.request.Class.Deadline {
		admission.onRefusal(waiter.request.Class.Name)
		return &OverloadError{RetryAfter: wait, Reason: "the expected wait exceeds the deadline of class " + waiter.request.Class.Name}
	}
	if admission.waiting >= maxWaiting && !admission.shed(waiter.request.Class.Rank) {
		admission.onRefusal(waiter.request.Class.Name)
		return &OverloadError{RetryAfter: admission.expectedWait(admission.waiting), Reason: "the queue is full"}
	}
	queue.push(waiter)
	admission.waiting++
	admission.grantSlots(now)
	return nil
}

// release returns a function that frees the slot. Further calls of it have no
// effect.
func (admission *Admission) release(grantedAt time.Time) func() {
	return sync.OnceFunc(func() {
		now := time.Now()
		admission.mu.Lock()
		defer admission.mu.Unlock()
		admission.used--
		duration := now.Sub(grantedAt)
		if admission.slotDuration == 0 {
			admission.slotDuration = duration
		}
		admission.slotDuration += time.Duration(slotDurationWeight * float64(duration-admission.slotDuration))
		admission.grantSlots(now)
	})
}

// cancel removes a waiter from its queue. If the waiter was granted a slot in the
// meantime, the next waiter gets the slot.
func (admission *Admission) cancel(waiter *waiter, cause error) error {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	if admission.queueOf(waiter.request.Class).remove(waiter) {
		admission.waiting--
		admission.onRefusal(waiter.request.Class.Name)
		return cause
	}
	if err := <-waiter.result; err != nil {
		return err
	}
	admission.used--
	admission.grantSlots(time.Now())
	return cause
}

func (admission *Admission) overloadError(reason string) *OverloadError {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	return &OverloadError{RetryAfter: max(admission.expectedWait(admission.waiting), time.Second), Reason: reason}
}

// grantSlots grants the free slots to waiting requests.
func (admission *Admission) grantSlots(now time.Time) {
	for admission.used < admission.slots {
		next := admission.nextWaiter(now)
		if next == nil {
			return
		}
		admission.used++
		next.result <- nil
	}
}

// nextWaiter removes and returns the next waiter. Waiters whose deadline has passed
// are refused.
func (admission *Admission) nextWaiter(now time.Time) *waiter {
	for _, queue := range admission.classes {
		for queue.length > 0 {
			next := queue.pop()
			admission.waiting--
			if now.Before(next.deadline) {
				return next
			}
			admission.onRefusal(next.request.Class.Name)
			next.result <- &OverloadError{RetryAfter: time.Second, Reason: "the deadline of class " + next.request.Class.Name + " passed while waiting"}
		}
	}
	return nil
}

// shed refuses the newest waiter of the lowest-priority class below the given rank
// that has waiters, and reports whether there was one.
func (admission *Admission) shed(rank int) bool {
	for _, queue := range slices.Backward(admission.classes) {
		if queue.class.Rank <= rank {
			return false
		}
		if newest := queue.dropNewest(); newest != nil {
			admission.waiting--
			admission.onRefusal(newest.request.Class.Name)
			newest.result <- &OverloadError{RetryAfter: admission.expectedWait(admission.waiting), Reason: "requests of a more urgent class filled the queue"}
			return true
		}
	}
	return false
}

// expectedWait returns the wait for a slot behind the given number of waiters.
func (admission *Admission) expectedWait(queued int) time.Duration {
	free := admission.slots - admission.used
	if queued < free {
		return 0
	}
	return time.Duration(float64(admission.slotDuration) * float64(queued-max(free, 0)+1) / float64(max(admission.slots, 1)))
}

// queuedAhead returns the number of waiters that are served before a new one of the
// queue.
func (admission *Admission) queuedAhead(queue *classQueue) int {
	queued := 0
	for _, other := range admission.classes {
		if other.class.Rank <= queue.class.Rank {
			queued += other.length
		}
	}
	return queued
}

func (admission *Admission) queueOf(class Class) *classQueue {
	for _, queue := range admission.classes {
		if queue.class.Name == class.Name {
			queue.class = class
			return queue
		}
	}
	queue := &classQueue{class: class, workspaces: map[string]*workspaceQueue{}}
	admission.classes = append(admission.classes, queue)
	slices.SortStableFunc(admission.classes, func(a, b *classQueue) int { return a.class.Rank - b.class.Rank })
	return queue
}
