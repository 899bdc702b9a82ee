package greengageroute

const (
	// bodyStallLimit is how many seconds in a row a body may bring nothing.
	bodyStallLimit = 20
	// bodyPause is how many seconds in a row a body that pauses brings nothing.
	bodyPause = 3
	// bodyGrace is how many seconds a body may take at any rate, and minBodyRate how many
	// bytes a second it brings on average after them.
	bodyGrace   = 30
	minBodyRate = 8 << 10
)

// BodyPace is how a body arrives, counted in the checks of a process, one a second. A process
// that is suspended makes no checks, and holds the time against no caller. It is an
// immutable value.
type BodyPace struct {
	checks, silent  int
	received        int64
	movedNow, moved int64 // bytes between the last two checks, and the two before
}

// WithCheck returns the pace after another check, when the given number of bytes had been
// received.
func (pace BodyPace) WithCheck(received int64) BodyPace {
	pace.checks++
	pace.moved, pace.movedNow = pace.movedNow, received-pace.received
	pace.received = received
	pace.silent++
	if pace.movedNow > 0 {
		pace.silent = 0
	}
	return pace
}

// Moved returns how many bytes came within the last one to two seconds.
func (pace BodyPace) Moved(received int64) int64 { return received - pace.received + pace.movedNow }

// Pausing reports whether the body has brought nothing for more than a moment, or less than the
// minimum rate in the last two seconds. It decides only which connection is closed at the bound.
func (pace BodyPace) Pausing() bool {
	return pace.silent >= bodyPause || pace.checks >= bodyPause && pace.moved+pace.movedNow < minBodyRate
}

// Stalled reports whether the body has stopped arriving.
func (pace BodyPace) Stalled() bool { return pace.silent >= bodyStallLimit }

// TooSlow reports whether the body arrives at less than the minimum rate.
func (pace BodyPace) TooSlow() bool {
	return pace.received < int64(pace.checks-bodyGrace)*minBodyRate
}
