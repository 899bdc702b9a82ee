package caller

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	greengageroute "greengageroute.example/greengageroute"
)

const flightShards = 16

type (
	// Flights knows which requests run on which group at this entry, so that
	// they can be stopped when the group is found out of service.
	Flights struct {
		shards [flightShards]flightShard
	}

	flightShard struct {
		mu     sync.Mutex
		groups map[string]map[*Flight]struct{}
	}

	// Flight is one request on one group.
	Flight struct {
		group  string
		number uint64
		cancel context.CancelCauseFunc
	}

	// GroupLostError says that a request's group was found out of service.
	GroupLostError struct {
		Group  string
		Number uint64
		Reason string
	}
)

func (err *GroupLostError) Error() string {
	return fmt.Sprintf("group %q is out of service (%s); the request goes on elsewhere", err.Group, err.Reason)
}

// NewFlights returns an empty table.
func NewFlights() *Flights {
	flights := &Flights{}
	for i := range flights.shards {
		flights.shards[i].groups = map[string]map[*Flight]struct{}{}
	}
	return flights
}

func (flights *Flights) shard(group string) *flightShard {
	return &flights.shards[xxhash.Sum64String(group)%flightShards]
}

// Start notes a request on a group. The returned context ends with a
// *GroupLostError when the group is lost, and end must be called once.
func (flights *Flights) Start(ctx context.Context, group greengageroute.Group) (ending context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	flight := &Flight{group: group.Name, number: group.Generation, cancel: cancel}
	shard := flights.shard(group.Name)
	shard.mu.Lock()
	if shard.groups[group.Name] == nil {
		shard.groups[group.Name] = map[*Flight]struct{}{}
	}
	shard.groups[group.Name][flight] = struct{}{}
	shard.mu.Unlock()
	return ctx, func() {
		shard.mu.Lock()
		delete(shard.groups[group.Name], flight)
		if len(shard.groups[group.Name]) == 0 {
			delete(shard.groups, group.Name)
		}
		shard.mu.Unlock()
		cancel(context.Canceled)
	}
}

// Lost stops the requests that run on a group under the given number or an
// earlier one.
func (flights *Flights) Lost(group string, number uint64, reason string) {
	shard := flights.shard(group)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for flight := range shard.groups[group] {
		if flight.number <= number {
			flight.cancel(&GroupLostError{Group: group, Number: flight.number, Reason: reason})
		}
	}
}

// Count returns how many requests run on a group at this entry.
func (flights *Flights) Count(group string) int {
	shard := flights.shard(group)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return len(shard.groups[group])
}
