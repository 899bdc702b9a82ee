package greengageroute

import "time"

// coldRowAge is how old a row of the list is at most when it is received, with a margin: a
// row that is received within it after a response may have been written before.
const coldRowAge = 1500 * time.Millisecond

// ColdNotice is what a response of a target says of how long it is cold. Its times are
// readings of one clock.
type ColdNotice struct {
	StartUnixMilli int64 // of the target
	ReceivedAt     time.Time
	Until          time.Time
}

// ColdUntil returns when the target, known by its row and a notice, is warm. A row that was
// written after the notice replaces it, and so does another start.
func (target Target) ColdUntil(notice ColdNotice) time.Time {
	replaced := notice.StartUnixMilli != target.StartUnixMilli || target.StatedAt.Sub(notice.ReceivedAt) > coldRowAge
	if replaced || notice.Until.Before(target.ListedColdUntil) {
		return target.ListedColdUntil
	}
	return notice.Until
}

// ReceivedAt returns the target with the time at which its row was received. A row that says
// what an earlier reading said counts from that reading.
func (target Target) ReceivedAt(now time.Time, known Target) Target {
	target.StatedAt = now
	if target.repeats(known) {
		target.StatedAt = known.StatedAt
	}
	target.ListedColdUntil = time.Time{}
	if target.ColdRemaining > 0 {
		target.ListedColdUntil = target.StatedAt.Add(target.ColdRemaining)
	}
	return target
}

// repeats reports whether two readings are of the same row, also if the store was restored
// in between.
func (target Target) repeats(known Target) bool {
	if target.ID != known.ID || target.StartUnixMilli != known.StartUnixMilli {
		return false
	}
	return target.Revision == known.Revision || target.Statement > 0 && target.Statement == known.Statement
}
