package greengageroute

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldTurnTime is the length of the turns in which entries may send to a cold target. A
	// second touches three of them. Shorter ones pass more often without a request for the
	// target at the entries whose turn it is.
	coldTurnTime = 500 * time.Millisecond
	// coldTurnUse is the part of a cold target's rate that the turns make up: three turns
	// with 17 requests a second make 21, of 30.5 that the target takes. The rest is for clocks
	// that differ and for entries that don't know all others.
	coldTurnUse = 0.8
	// coldTurnStep moves the turn around the ring of entries. A step by the golden ratio
	// spreads the turns of an entry evenly, whatever the number of entries.
	coldTurnStep = 0x9E3779B97F4A7C15
	// maxColdRequests bounds the requests of a turn.
	maxColdRequests = 1 << 20
	// coldSpan is the time in which a cold target's requests are counted.
	coldSpan = time.Second
)

type (
	// Seat is an entry's place among all listed entries, by name. Entries that aren't heard
	// from keep theirs, since they may still send.
	Seat struct {
		Index, Entries int
	}

	// ColdTurns holds an entry's requests to a cold target. The zero value stands for none.
	ColdTurns struct {
		turn int64
		sent int // in the turn
	}
)

func coldTurnAt(now time.Time) int64 { return now.UnixNano() / int64(coldTurnTime) }

// coldRequests returns how many requests the entry may send to a cold target in a turn. The
// entries lie evenly on a ring, and those on an arc, which is as long as the rate allows,
// have the turn. All entries compute the same arc, so that their sum doesn't vary by chance.
func (seat Seat) coldRequests(target string, perSecond float64, turn int64) int {
	entries := max(seat.Entries, 1)
	whole, arc := math.Modf(min(coldTurnUse*perSecond*coldTurnTime.Seconds()/float64(entries), maxColdRequests))
	place := math.MaxUint64 / uint64(entries) * uint64(seat.Index)
	position := place + mixBits(xxhash.Sum64String(target)) + uint64(turn)*coldTurnStep
	if float64(position) < arc*math.MaxUint64 {
		return int(whole) + 1
	}
	return int(whole)
}

// Wait returns how long the entry may send no request to a target that is cold for a time, 0
// if it may send one now. lastSent is when it last sent one before it knew that the target
// is cold: such requests count too, but nobody has bounded them.
func (turns ColdTurns) Wait(seat Seat, target string, perSecond float64, cold time.Duration, lastSent, now time.Time) time.Duration {
	from := now
	if end := lastSent.Add(coldSpan); end.After(now) {
		from = end
	}
	for turn := coldTurnAt(from); ; turn++ {
		start := time.Unix(0, turn*int64(coldTurnTime))
		if start.Before(from) {
			start = from
		}
		wait := start.Sub(now)
		if wait >= cold {
			return cold
		}
		if turns.sentIn(turn) < seat.coldRequests(target, perSecond, turn) {
			return max(wait, 0)
		}
	}
}

func (turns ColdTurns) sentIn(turn int64) int {
	if turns.turn != turn {
		return 0
	}
	return turns.sent
}

// WithRequest returns the turns with a further request.
func (turns ColdTurns) WithRequest(now time.Time) ColdTurns {
	turn := coldTurnAt(now)
	return ColdTurns{turn, turns.sentIn(turn) + 1}
}
