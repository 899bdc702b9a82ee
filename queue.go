package greengageroute

import (
	"math"
	"slices"
	"time"
)

type (
	// classQueue holds the requests of one class that wait.
	classQueue struct {
		class   Class
		virtual float64 // virtual time of the request served last
		lines   map[string]*line
		length  int
	}

	// line is the queue of one workspace.
	line struct {
		finish  float64 // virtual time at which its last request ends
		waiters []*waiter
	}

	waiter struct {
		ticket   AdmissionRequest
		start    float64
		deadline time.Time
		granted  chan error
	}
)

func (queue *classQueue) push(newcomer *waiter) {
	own, ok := queue.lines[newcomer.ticket.Workspace]
	if !ok {
		own = &line{}
		queue.lines[newcomer.ticket.Workspace] = own
	}
	newcomer.start = max(queue.virtual, own.finish)
	own.finish = newcomer.start + newcomer.ticket.Cost/float64(max(newcomer.ticket.Share, 1))
	own.waiters = append(own.waiters, newcomer)
	queue.length++
}

// pop takes the waiter with the lowest virtual start.
func (queue *classQueue) pop() *waiter {
	lowest, best := math.Inf(1), ""
	for workspace, own := range queue.lines {
		first := own.waiters[0]
		if first.start < lowest || (first.start == lowest && workspace < best) {
			lowest, best = first.start, workspace
		}
	}
	own := queue.lines[best]
	next := own.waiters[0]
	own.waiters = own.waiters[1:]
	queue.virtual = next.start
	queue.settle(best, own)
	return next
}

func (queue *classQueue) remove(gone *waiter) bool {
	own, ok := queue.lines[gone.ticket.Workspace]
	if !ok {
		return false
	}
	index := slices.Index(own.waiters, gone)
	if index < 0 {
		return false
	}
	own.waiters = slices.Delete(own.waiters, index, index+1)
	queue.settle(gone.ticket.Workspace, own)
	return true
}

func (queue *classQueue) dropLast() *waiter {
	var longest string
	most := 0
	for workspace, own := range queue.lines {
		if len(own.waiters) > most {
			longest, most = workspace, len(own.waiters)
		}
	}
	if most == 0 {
		return nil
	}
	own := queue.lines[longest]
	last := own.waiters[most-1]
	queue.remove(last)
	return last
}

// settle drops the line of a workspace that has nobody waiting, once its past
// use no longer counts against it.
func (queue *classQueue) settle(workspace string, own *line) {
	queue.length--
	if len(own.waiters) == 0 {
		delete(queue.lines, workspace)
	}
}
