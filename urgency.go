package greengageroute

import "slices"

const (
	// minUrgency and maxUrgency bound what is sent. 0 stands for none.
	minUrgency, maxUrgency = 1, 9
)

// streamRanks returns the ranks that streams of each pool can have, the most urgent first.
func streamRanks(routes []Route, keyOwners map[string]KeyOwner) map[string][]int {
	var ofOwners []int
	for _, owner := range keyOwners {
		if owner.HasPriority {
			ofOwners = append(ofOwners, owner.Priority)
		}
	}
	slices.Sort(ofOwners)
	ofOwners = slices.Compact(ofOwners)
	ranks := map[string][]int{}
	for _, route := range routes {
		if route.Kind != Streaming {
			continue
		}
		for _, share := range route.Pools {
			ranks[share.Pool] = append(append(ranks[share.Pool], ofOwners...), route.Priority)
		}
	}
	for pool := range ranks {
		slices.Sort(ranks[pool])
		ranks[pool] = slices.Compact(ranks[pool])
	}
	return ranks
}

// rankedPools returns the pools whose streams come on routes of different ranks.
func rankedPools(routes []Route) Set[string] {
	ranked, first := Set[string]{}, map[string]int{}
	for _, route := range routes {
		for _, share := range route.Pools {
			rank, known := first[share.Pool]
			switch {
			case route.Kind != Streaming:
			case !known:
				first[share.Pool] = route.Priority
			case rank != route.Priority:
				ranked.Add(share.Pool)
			}
		}
	}
	return ranked
}

// RanksStreams reports whether the operator ranks the streams of a pool, by routes of different
// priorities. Only then admission is by rank, deadline and work, and streams have urgencies.
func (table *RouteTable) RanksStreams(pool string) bool { return table.ranked.Has(pool) }

// Urgency returns the urgency of a stream for its target, 0 for the target's default: that of
// all streams of a pool that aren't ranked. A resumed stream goes before new ones of its rank.
func (table *RouteTable) Urgency(pool string, rank int, resumed bool) int {
	if !table.RanksStreams(pool) {
		return 0
	}
	urgency := min(2*(1+max(slices.Index(table.ranks[pool], rank), 0)), maxUrgency)
	if resumed {
		urgency = max(urgency-1, minUrgency)
	}
	return urgency
}
