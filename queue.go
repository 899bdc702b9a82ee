package greengageroute

import (
	"math"
	"slices"
	"time"
)

type (
	// classQueue holds the waiting requests of one class. Start-time fair queueing
	// orders them between workspaces.
	classQueue struct {
		class       Class
		virtualTime float64 // virtual start of the request served last
		workspaces  map[string]*workspaceQueue
		length      int
	}

	// workspaceQueue holds the waiting requests of one workspace.
	workspaceQueue struct {
		virtualFinish float64 // virtual time at which its last request ends
		waiters       []*waiter
	}

	// waiter is a request that waits for a slot.
	waiter struct {
		request      AdmissionRequest
		virtualStart float64
		deadline     time.Time
		result       chan error
	}
)

func (queue *classQueue) push(waiter *waiter) {
	backlog, ok := queue.workspaces[waiter.request.Workspace]
	if !ok {
		backlog = &workspaceQueue{}
		queue.workspaces[waiter.request.Workspace] = backlog
	}
	waiter.virtualStart = max(queue.virtualTime, backlog.virtualFinish)
	backlog.virtualFinish = waiter.virtualStart + waiter.request.Cost/float64(max(waiter.request.Share, 1))
	backlog.waiters = append(backlog.waiters, waiter)
	queue.length++
}

// pop removes and returns the waiter with the lowest virtual start.
func (queue *classQueue) pop() *waiter {
	lowest, chosen := math.Inf(1), ""
	for workspace, backlog := range queue.workspaces {
		first := backlog.waiters[0]
		if first.virtualStart < lowest || (first.virtualStart == lowest && workspace < chosen) {
			lowest, chosen = first.virtualStart, workspace
		}
	}
	backlog := queue.workspaces[chosen]
	next := backlog.waiters[0]
	backlog.waiters = backlog.waiters[1:]
	queue.virtualTime = next.virtualStart
	queue.recordRemoval(chosen, backlog)
	return next
}

func (queue *classQueue) remove(waiter *waiter) bool {
	backlog, ok := queue.workspaces[waiter.request.Workspace]
	if !ok {
		return false
	}
	index := slices.Index(backlog.waiters, waiter)
	if index < 0 {
		return false
	}
	backlog.waiters = slices.Delete(backlog.waiters, index, index+1)
	queue.recordRemoval(waiter.request.Workspace, backlog)
	return true
}

// dropNewest removes and returns the newest waiter of the workspace with the most
// waiters, or nil.
func (queue *classQueue) dropNewest() *waiter {
	var longest string
	longestLength := 0
	for workspace, backlog := range queue.workspaces {
		if len(backlog.waiters) > longestLength {
			longest, longestLength = workspace, len(backlog.waiters)
		}
	}
	if longestLength == 0 {
		return nil
	}
	backlog := queue.workspaces[longest]
	newest := backlog.waiters[longestLength-1]
	queue.remove(newest)
	return newest
}

// recordRemoval counts a removed waiter and deletes the queue of a workspace
// without waiters. The workspace's earlier use no longer counts against it then.
func (queue *classQueue) recordRemoval(workspace string, backlog *workspaceQueue) {
	queue.length--
	if len(backlog.waiters) == 0 {
		delete(queue.workspaces, workspace)
	}
}
