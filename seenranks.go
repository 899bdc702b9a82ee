package greengageroute

import (
	"slices"
	"time"
)

const (
	// seenRankTTL is how long a rank counts as seen lately.
	seenRankTTL = 5 * time.Second
	// seenRankInterval is the age from which a rank is recorded again.
	seenRankInterval = 250 * time.Millisecond
)

type (
	// SeenRanks holds the kinds of requests that were seen lately, by rank and objective.
	SeenRanks struct {
		kinds []seenKind
	}

	seenKind struct {
		rank      int
		objective time.Duration
		at        time.Time
	}
)

// WithRequest returns the kinds after a request.
func (seen SeenRanks) WithRequest(rank int, objective time.Duration, now time.Time) SeenRanks {
	if slices.ContainsFunc(seen.kinds, func(kind seenKind) bool {
		return kind.rank == rank && kind.objective == objective && now.Sub(kind.at) < seenRankInterval
	}) {
		return seen
	}
	kinds := []seenKind{{rank, objective, now}}
	for _, kind := range seen.kinds {
		if (kind.rank != rank || kind.objective != objective) && now.Sub(kind.at) < seenRankTTL {
			kinds = append(kinds, kind)
		}
	}
	return SeenRanks{kinds}
}

// AtLeastAsUrgent returns the lowest objective of the ranks at least as urgent, 0 if there is
// none, and the number of the more urgent ranks.
func (seen SeenRanks) AtLeastAsUrgent(rank int, now time.Time) (lowestObjective time.Duration, moreUrgent int) {
	var ranks []int
	for _, kind := range seen.kinds {
		if kind.rank > rank || now.Sub(kind.at) >= seenRankTTL {
			continue
		}
		if lowestObjective == 0 || kind.objective < lowestObjective {
			lowestObjective = kind.objective
		}
		if kind.rank < rank && !slices.Contains(ranks, kind.rank) {
			ranks = append(ranks, kind.rank)
		}
	}
	return lowestObjective, len(ranks)
}

// MostUrgent returns the most urgent rank that was seen lately, if any was.
func (seen SeenRanks) MostUrgent(now time.Time) (rank int, found bool) {
	for _, kind := range seen.kinds {
		if now.Sub(kind.at) < seenRankTTL && (!found || kind.rank < rank) {
			rank, found = kind.rank, true
		}
	}
	return rank, found
}
