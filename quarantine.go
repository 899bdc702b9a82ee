package greengageroute

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineTerm is how long after its last crash a cause is refused before one
	// request with it is tried. It is short, since a sound request may be suspected by
	// chance. After a trial that fails the term is confirmedTerm, which doubles with each
	// further one up to maxQuarantineTerm.
	quarantineTerm    = 30 * time.Second
	confirmedTerm     = 10 * time.Minute
	maxQuarantineTerm = time.Hour
	// trialInterval is the minimum interval between trials of a cause.
	trialInterval = 10 * time.Second
	// trialTime is how long the entry that tries a cause waits for a request with it.
	trialTime = 2 * time.Minute

	maxVerdicts = 256
	// maxVerdictParts limits the parts that a verdict names beside its cause.
	maxVerdictParts = 8
)

// States of a request.
const (
	QuarantineNone     QuarantineState = iota
	QuarantineIsolated                 // a target crashed while running it; it runs alone
	QuarantineRefused
)

type (
	// QuarantineVerdict is a cause whose requests are refused.
	QuarantineVerdict struct {
		Cause CrashCause `cbor:"1,keyasint" json:"cause"`
		// With are the other parts that all requests with the cause had when they crashed
		// targets, so that any of them may be the cause. Requests without all of them run.
		With []CrashCause `cbor:"4,keyasint,omitempty" json:"with,omitempty"`
		// SinceCrashMillis is the time since the last crash that it caused.
		SinceCrashMillis int64 `cbor:"2,keyasint,omitempty" json:"-"`
		FailedTrials     int   `cbor:"3,keyasint,omitempty" json:"failed-trials"`
	}

	// QuarantineDecision says how a request is treated.
	QuarantineDecision struct {
		State      QuarantineState
		Cause      CrashCause    // of a refusal
		RetryAfter time.Duration // until a refused request may be tried
	}

	// QuarantineChange is a cause that is refused from now on, or no longer.
	QuarantineChange struct {
		Cause    CrashCause
		Refused  bool
		Reason   string
		Crashes  int // that the cause explains
		Requests int // of different content, during those crashes
	}

	// QuarantineState is how a request is treated after crashes.
	QuarantineState int

	// Quarantine finds the requests, and the parts of prompts, that crash targets. Each
	// entry has the reports of all entries and decides by itself: the cause is what
	// explains most crashes. A cause is cleared as soon as a target is well into the
	// answer to a request with it.
	Quarantine struct {
		onChange func(change QuarantineChange)

		mu       sync.Mutex
		evidence crashEvidence
		sound    soundCauses
		verdicts map[CrashCause]*verdict
		cleared  map[CrashCause]clearing
	}

	verdict struct {
		with         []CrashCause
		lastCrash    time.Time
		failedTrials int
		triedAt      time.Time
		adopted      bool // from another entry
	}

	// clearing is when a verdict was dropped, and whether the cause was found sound.
	clearing struct {
		at    time.Time
		sound bool
	}
)

// NewQuarantine returns an empty quarantine. It calls onChange, unless that is nil, for
// each change of what it refuses; onChange must not call the quarantine.
func NewQuarantine(onChange func(change QuarantineChange)) *Quarantine {
	return &Quarantine{
		onChange: onChange, evidence: crashEvidence{counts: map[CrashCause]int{}}, sound: newSoundCauses(),
		verdicts: map[CrashCause]*verdict{}, cleared: map[CrashCause]clearing{},
	}
}

// Check returns how a request is treated. An entry for which mayTry is set lets one
// request with a cause through when its term is over.
func (quarantine *Quarantine) Check(request CrashCause, parts []CrashCause, mayTry bool, now time.Time) QuarantineDecision {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	if len(quarantine.verdicts) > 0 {
		causes := append([]CrashCause{request}, parts...)
		for _, cause := range causes {
			if after := quarantine.refusedFor(cause, causes, mayTry, now); after > 0 {
				return QuarantineDecision{QuarantineRefused, cause, after}
			}
		}
	}
	if quarantine.evidence.counts[request] > 0 {
		return QuarantineDecision{State: QuarantineIsolated}
	}
	return QuarantineDecision{}
}

// refusedFor returns how long a request is still refused for one of its causes, 0 if it
// isn't.
func (quarantine *Quarantine) refusedFor(cause CrashCause, causes []CrashCause, mayTry bool, now time.Time) time.Duration {
	found, refused := quarantine.verdicts[cause]
	if !refused || len(intersect(found.with, causes)) < len(found.with) {
		return 0
	}
	term := found.term()
	since := now.Sub(found.lastCrash)
	switch {
	case since < term:
		return term - since
	case since >= term+trialTime:
		// No request with the cause has come to the entry that would have tried it.
		quarantine.forget(cause)
		quarantine.changed(QuarantineChange{Cause: cause, Reason: "no request with it has come to be tried"})
		return 0
	case mayTry && now.Sub(found.triedAt) >= trialInterval:
		found.triedAt = now
		return 0
	default:
		return trialInterval
	}
}

// term returns how long after the last crash all requests with the cause are refused.
func (found *verdict) term() time.Duration {
	if found.failedTrials == 0 {
		return quarantineTerm
	}
	return min(confirmedTerm<<min(found.failedTrials-1, 10), maxQuarantineTerm)
}

// recordCrash extends the term. A crash after the term is that of a trial.
func (found *verdict) recordCrash(now time.Time) {
	if now.Sub(found.lastCrash) >= found.term() {
		found.failedTrials++
	}
	found.lastCrash = now
}

// Suspects returns the parts that may be why a target has just crashed: those that
// weren't found sound shortly before.
func (quarantine *Quarantine) Suspects(parts []CrashCause, now time.Time) []CrashCause {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(part CrashCause) bool { return quarantine.sound.has(part, now) })
}

// Suspected reports whether targets have crashed during requests with one of the causes.
func (quarantine *Quarantine) Suspected(request CrashCause, parts []CrashCause) bool {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	isSuspected := func(cause CrashCause) bool { return quarantine.evidence.counts[cause] > 0 }
	return isSuspected(request) || slices.ContainsFunc(parts, isSuspected)
}

// RecordCrash records that a target crashed while it ran a request. A crash that is
// reported twice for a request counts once. It returns the causes that the other
// entries have to be told are sound.
func (quarantine *Quarantine) RecordCrash(report CrashReport, now time.Time) (sound []CrashCause) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	quarantine.evidence.expire(now)
	record := quarantine.evidence.crash(report.CrashID, now)
	var suspects []CrashCause
	for _, part := range report.Parts {
		switch {
		case !quarantine.sound.has(part, record.at):
			suspects = append(suspects, part)
		case quarantine.sound.countNamed(part, now):
			sound = append(sound, part)
		}
	}
	if !record.addRequest(report.Request, suspects) {
		return sound
	}
	suspects = record.requests[report.Request]
	most := 0
	for _, cause := range append([]CrashCause{report.Request}, suspects...) {
		most = max(most, quarantine.evidence.recount(cause))
		if found, refused := quarantine.verdicts[cause]; refused {
			found.recordCrash(now)
			if cause != report.Request {
				found.with = intersect(found.with, suspects)
			}
		}
	}
	if most >= requestCrashLimit {
		quarantine.decide(now)
	}
	return sound
}

// decide refuses the causes that explain the crashes. It releases a cause all of whose
// crashes are now explained by others.
func (quarantine *Quarantine) decide(now time.Time) {
	causes, unexplained := quarantine.evidence.explain()
	for cause, found := range quarantine.verdicts {
		isCause := func(record *crashRecord) bool { return record.has(cause) }
		if causes[cause] == nil && !found.adopted && quarantine.evidence.counts[cause] > 0 && !slices.ContainsFunc(unexplained, isCause) {
			quarantine.drop(cause, clearing{at: now})
			quarantine.changed(QuarantineChange{Cause: cause, Reason: "other causes explain its crashes"})
		}
	}
	for cause, found := range causes {
		if _, known := quarantine.verdicts[cause]; !known {
			quarantine.refuse(cause, &verdict{lastCrash: now, with: found.with[:min(len(found.with), maxVerdictParts)]})
			quarantine.changed(QuarantineChange{Cause: cause, Refused: true, Reason: "it explains most crashes", Crashes: len(found.crashes), Requests: len(found.requests)})
		}
	}
}

// drop drops a verdict and remembers it, so that it isn't adopted again from an entry
// that still has it.
func (quarantine *Quarantine) drop(cause CrashCause, cleared clearing) {
	delete(quarantine.verdicts, cause)
	maps.DeleteFunc(quarantine.cleared, func(_ CrashCause, earlier clearing) bool { return cleared.at.Sub(earlier.at) > maxQuarantineTerm })
	quarantine.cleared[cause] = cleared
}

// refuse adds a verdict. If there are too many, the one with the oldest crash is dropped.
func (quarantine *Quarantine) refuse(cause CrashCause, added *verdict) {
	if len(quarantine.verdicts) >= maxVerdicts {
		var oldest CrashCause
		for other, found := range quarantine.verdicts {
			if first, known := quarantine.verdicts[oldest]; !known || found.lastCrash.Before(first.lastCrash) {
				oldest = other
			}
		}
		delete(quarantine.verdicts, oldest)
	}
	quarantine.verdicts[cause] = added
}

// RecordSound records that a target is well into the answer to a request, or has
// completed it: neither the request nor the parts of its prompt crash targets. It
// returns the causes that other entries may suspect.
func (quarantine *Quarantine) RecordSound(request CrashCause, parts []CrashCause, now time.Time) (suspected []CrashCause) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	for _, cause := range append([]CrashCause{request}, parts...) {
		if quarantine.clear(cause, now) {
			suspected = append(suspected, cause)
		}
	}
	return suspected
}

// Clear records that another entry has found a cause to be sound.
func (quarantine *Quarantine) Clear(cause CrashCause, now time.Time) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	quarantine.clear(cause, now)
}

// clear reports whether the cause was refused or suspected.
func (quarantine *Quarantine) clear(cause CrashCause, now time.Time) bool {
	quarantine.sound.add(cause, now)
	found, refused := quarantine.verdicts[cause]
	if !refused && quarantine.evidence.counts[cause] == 0 {
		return false
	}
	quarantine.forget(cause)
	if refused {
		quarantine.drop(cause, clearing{at: now, sound: true})
		quarantine.changed(QuarantineChange{Cause: cause, Reason: "a target answers a request with it"})
		quarantine.refuseNext(found)
	}
	return true
}

// refuseNext refuses the next of the parts of a verdict whose cause was found sound.
func (quarantine *Quarantine) refuseNext(dropped *verdict) {
	if len(dropped.with) == 0 {
		return
	}
	next := dropped.with[0]
	if _, known := quarantine.verdicts[next]; known {
		return
	}
	dropped.with = dropped.with[1:]
	quarantine.refuse(next, dropped)
	quarantine.changed(QuarantineChange{Cause: next, Refused: true, Reason: "it was in all requests with a cause that was found sound"})
}

// forget drops a cause's verdict and the evidence against it.
func (quarantine *Quarantine) forget(cause CrashCause) {
	delete(quarantine.verdicts, cause)
	for _, found := range quarantine.verdicts {
		found.with = without(found.with, cause)
	}
	quarantine.evidence.forget(cause)
}

func (quarantine *Quarantine) changed(change QuarantineChange) {
	if quarantine.onChange != nil {
		quarantine.onChange(change)
	}
}

// Verdicts returns the causes that are refused, those of the latest crashes first.
func (quarantine *Quarantine) Verdicts(now time.Time) []QuarantineVerdict {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	verdicts := make([]QuarantineVerdict, 0, len(quarantine.verdicts))
	for cause, found := range quarantine.verdicts {
		verdicts = append(verdicts, QuarantineVerdict{Cause: cause, With: found.with, SinceCrashMillis: now.Sub(found.lastCrash).Milliseconds(), FailedTrials: found.failedTrials})
	}
	slices.SortFunc(verdicts, func(a, b QuarantineVerdict) int { return int(a.SinceCrashMillis - b.SinceCrashMillis) })
	return verdicts
}

// Adopt adds a verdict of another entry. It reports whether this entry has found the
// cause to be sound since, which the other entry then has to be told.
func (quarantine *Quarantine) Adopt(reported QuarantineVerdict, now time.Time) (sound bool) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	lastCrash := now.Add(-time.Duration(max(reported.SinceCrashMillis, 0)) * time.Millisecond)
	if earlier, known := quarantine.cleared[reported.Cause]; known && !lastCrash.After(earlier.at) {
		return earlier.sound
	}
	found, known := quarantine.verdicts[reported.Cause]
	if !known {
		quarantine.refuse(reported.Cause, &verdict{lastCrash: lastCrash, with: reported.With, failedTrials: max(reported.FailedTrials, 0), adopted: true})
		quarantine.changed(QuarantineChange{Cause: reported.Cause, Refused: true, Reason: "another entry refuses it"})
		return false
	}
	if lastCrash.After(found.lastCrash) {
		found.lastCrash = lastCrash
	}
	found.failedTrials = max(found.failedTrials, reported.FailedTrials)
	found.with = intersect(found.with, reported.With)
	return false
}
