package caller

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	greengageroute "greengageroute.example/greengageroute"
)

const inFlightShards = 16

type (
	// InFlightRequests maps each group to the requests that run on it at this
	// entry, so that they can be cancelled when the group is found out of service.
	InFlightRequests struct {
		shards [inFlightShards]inFlightShard
	}

	inFlightShard struct {
		mu     sync.Mutex
		groups map[string]map[*InFlightRequest]struct{}
	}

	// InFlightRequest is a request that runs on a group.
	InFlightRequest struct {
		group      string
		generation uint64
		cancel     context.CancelCauseFunc
	}

	// GroupLostError says that a request's group was found out of service.
	GroupLostError struct {
		Group      string
		Generation uint64
		Reason     string
	}
)

func (err *GroupLostError) Error() string {
	return fmt.Sprintf("group %q is out of service (%s); the request continues on another group", err.Group, err.Reason)
}

// NewInFlightRequests returns an empty table.
func NewInFlightRequests() *InFlightRequests {
	requests := &InFlightRequests{}
	for i := range requests.shards {
		requests.shards[i].groups = map[string]map[*InFlightRequest]struct{}{}
	}
	return requests
}

func (requests *InFlightRequests) shardOf(group string) *inFlightShard {
	return &requests.shards[xxhash.Sum64String(group)%inFlightShards]
}

// Start adds a request to a group. The returned context is cancelled with a
// *GroupLostError when the group is found out of service. The function end
// removes the request and must be called once.
func (requests *InFlightRequests) Start(ctx context.Context, group greengageroute.Group) (groupContext context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := &InFlightRequest{group: group.Name, generation: group.Generation, cancel: cancel}
	shard := requests.shardOf(group.Name)
	shard.mu.Lock()
	if shard.groups[group.Name] == nil {
		shard.groups[group.Name] = map[*InFlightRequest]struct{}{}
	}
	shard.groups[group.Name][request] = struct{}{}
	shard.mu.Unlock()
	return ctx, func() {
		shard.mu.Lock()
		delete(shard.groups[group.Name], request)
		if len(shard.groups[group.Name]) == 0 {
			delete(shard.groups, group.Name)
		}
		shard.mu.Unlock()
		cancel(context.Canceled)
	}
}

// CancelGroup cancels the requests that run on a group under the given generation
// or an earlier one.
func (requests *InFlightRequests) CancelGroup(group string, generation uint64, reason string) {
	shard := requests.shardOf(group)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for request := range shard.groups[group] {
		if request.generation <= generation {
			request.cancel(&GroupLostError{Group: group, Generation: request.generation, Reason: reason})
		}
	}
}

// Count returns how many requests run on a group at this entry.
func (requests *InFlightRequests) Count(group string) int {
	shard := requests.shardOf(group)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return len(shard.groups[group])
}
