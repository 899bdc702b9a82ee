package greengageroute

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnTime is the length of an entry's turn at a target with a limit.
	turnTime = time.Second
	// turnUse is the part of a limit that the turns of all entries make up. The rest
	// allows for their uneven number.
	turnUse = 0.7
)

// CurrentLimitTurn returns the number of the turns that entries have at a time.
func CurrentLimitTurn(now time.Time) int64 { return now.UnixNano() / int64(turnTime) }

// LimitTurn returns the turn that an entry has now at a target with a limit, and whether
// it has one. In a large fleet the counts of what others send are so old that all
// entries would send as soon as the target takes requests again. So many entries have a
// turn at a time, by chance, that one request each makes up the limit.
func LimitTurn(entry, target string, limit TargetLimit, entries int, now time.Time) (turn int64, found bool) {
	turn = CurrentLimitTurn(now)
	share := turnUse * limit.PerSecond * turnTime.Seconds() / float64(max(entries, 1))
	draw := mixBits(xxhash.Sum64String(entry + "\x00" + target + "\x00" + strconv.FormatInt(turn, 10)))
	return turn, float64(draw)/math.MaxUint64 < share
}
