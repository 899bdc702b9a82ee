package greengageroute

import (
	"math"
	"time"
)

const (
	// refusedShareWeight is the weight of the newest decision in the share.
	refusedShareWeight = 0.08
	// refusedShareDecay is the time after which the share counts for about a third.
	refusedShareDecay = 2 * time.Second
)

// RefusedShare is the share of the requests of one level that were refused lately. The zero
// value is one without requests.
type RefusedShare struct {
	share float64
	at    time.Time
}

// At returns the share at a time.
func (refused RefusedShare) At(now time.Time) float64 {
	return refused.share * math.Exp(-max(now.Sub(refused.at), 0).Seconds()/refusedShareDecay.Seconds())
}

// WithDecision returns the share after a decision on a request.
func (refused RefusedShare) WithDecision(isSent bool, now time.Time) RefusedShare {
	share := refused.At(now) * (1 - refusedShareWeight)
	if !isSent {
		share += refusedShareWeight
	}
	return RefusedShare{share, now}
}

// OverloadLevel orders requests by rank, and within it those of workspaces beyond their usual
// rate last.
func OverloadLevel(rank int, overUsual bool) int {
	if overUsual {
		return 2*rank + 1
	}
	return 2 * rank
}

// HighestRefusedShares returns the highest share of the levels at least as urgent as the given
// one, and that of the more urgent levels. What a workspace sends beyond its usual rate doesn't
// count against other ranks.
func HighestRefusedShares(shares map[int]RefusedShare, level int, now time.Time) (highest, ofMoreUrgent float64) {
	for other, share := range shares {
		if other > level || other < level && isOverUsual(other) {
			continue
		}
		highest = max(highest, share.At(now))
		if other < level {
			ofMoreUrgent = max(ofMoreUrgent, share.At(now))
		}
	}
	return highest, ofMoreUrgent
}

func isOverUsual(level int) bool { return level%2 != 0 }
