package greengageroute

import "time"

const (
	// minFaultTime is how long a target counts as faulty after an answer that breaks the
	// protocol, and maxFaultTime the longest time after many.
	minFaultTime = time.Second
	maxFaultTime = 30 * time.Second
	// faultTTL is how long after that time its faults still lengthen the next one.
	faultTTL = time.Minute
)

// TargetFaults records that a target sent answers that break the protocol, such as an event
// without end. Such a target is chosen only if there is no other. It is an immutable value; the
// zero value is that of a sound target.
type TargetFaults struct {
	until  time.Time
	count  int
	proven bool // it has answered since then as it should
	// start tells the process that sent them from a later one of the same target.
	start int64
}

// WithFault returns the faults after another one. Requests that were sent before the first
// answer was known meet the same fault, which counts once.
func (faults TargetFaults) WithFault(startUnixMilli int64, now time.Time) TargetFaults {
	if faults.start != startUnixMilli || now.Sub(faults.until) > faultTTL {
		faults = TargetFaults{start: startUnixMilli}
	}
	if now.Before(faults.until) {
		return faults
	}
	faults.until = now.Add(min(minFaultTime<<min(faults.count, 8), maxFaultTime))
	faults.count++
	faults.proven = false
	return faults
}

// WithSound returns the faults after an answer as it should be, whose request was sent at the given
// time, or of which an event came then.
func (faults TargetFaults) WithSound(at time.Time) TargetFaults {
	faults.proven = faults.proven || !at.Before(faults.until)
	return faults
}

// InForce reports whether the target's process counts as faulty while this entry runs a number of
// requests there. After its time one request at once tries it until an answer has proven it sound.
func (faults TargetFaults) InForce(startUnixMilli int64, running int, now time.Time) bool {
	if faults.count == 0 || faults.start != startUnixMilli {
		return false
	}
	return now.Before(faults.until) || !faults.proven && running > 0
}
