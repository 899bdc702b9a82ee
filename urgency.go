package greengageroute

import "slices"

const (
	// defaultUrgency is what targets assume for a request that names none.
	defaultUrgency = 5
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

// Urgency returns the urgency of a stream for its target, 0 for the target's default: that
// of new streams of a pool whose ranks don't differ. A resumed stream goes before new ones of
// its rank.
func (table *RouteTable) Urgency(pool string, rank int, resumed bool) int {
	ranks := table.ranks[pool]
	urgency := 0
	switch {
	case len(ranks) > 1:
		urgency = min(2*(1+max(slices.Index(ranks, rank), 0)), maxUrgency)
	case resumed:
		urgency = defaultUrgency
	}
	if resumed {
		urgency = max(urgency-1, minUrgency)
	}
	return urgency
}
