package greengageroute

import (
	"slices"
	"time"
)

const (
	// requestCrashLimit is the number of crashes after which a request is refused.
	requestCrashLimit = 2
	// partCrashLimit is the number of crashes after which requests with a part of a
	// prompt are refused. It exceeds requestCrashLimit because sound requests may share
	// the part.
	partCrashLimit = 3
	// weakPartCrashLimit applies to parts that explain less than half of the crashes while
	// they occur.
	weakPartCrashLimit = 5
	// crashBurst is the time within which crashes count once against a part of a prompt:
	// targets that are lost together aren't lost for a request.
	crashBurst = 200 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = 10 * time.Minute

	maxCrashes          = 64
	maxRequestsPerCrash = 64
	maxSuspectParts     = 32 // of a request
)

type (
	// crashEvidence is the crashes of targets and the requests that may have caused them.
	crashEvidence struct {
		crashes []*crashRecord     // oldest first
		counts  map[CrashCause]int // crashes that each cause may explain
	}

	// crashRecord is a crash and the requests that may have caused it.
	crashRecord struct {
		id       string
		at       time.Time
		requests map[CrashCause][]CrashCause // parts by request
	}

	// suspicion is the evidence against one cause.
	suspicion struct {
		cause     CrashCause
		isPart    bool
		crashes   []*crashRecord
		requests  Set[CrashCause]
		with      []CrashCause // of a part: the other parts that all the requests have
		bursts    int
		lastBurst time.Time
	}
)

// crash returns the record of a crash, a new one at the first report.
func (evidence *crashEvidence) crash(id string, now time.Time) *crashRecord {
	for _, record := range evidence.crashes {
		if record.id == id {
			return record
		}
	}
	record := &crashRecord{id: id, at: now, requests: map[CrashCause][]CrashCause{}}
	evidence.crashes = append(evidence.crashes, record)
	return record
}

// expire drops old crashes, and the oldest if there are too many.
func (evidence *crashEvidence) expire(now time.Time) {
	expired := max(len(evidence.crashes)-maxCrashes, 0)
	for expired < len(evidence.crashes) && now.Sub(evidence.crashes[expired].at) > crashTTL {
		expired++
	}
	if expired == 0 {
		return
	}
	evidence.crashes = slices.Delete(evidence.crashes, 0, expired)
	clear(evidence.counts)
	for cause, found := range suspicions(evidence.crashes) {
		evidence.counts[cause] = len(found.crashes)
	}
}

// recount updates the number of crashes that a cause may explain, and returns it.
func (evidence *crashEvidence) recount(cause CrashCause) int {
	count := 0
	for _, record := range evidence.crashes {
		if record.has(cause) {
			count++
		}
	}
	if count == 0 {
		delete(evidence.counts, cause)
	} else {
		evidence.counts[cause] = count
	}
	return count
}

// forget drops the evidence against a cause.
func (evidence *crashEvidence) forget(cause CrashCause) {
	affected := []CrashCause{cause}
	for _, record := range evidence.crashes {
		affected = append(affected, record.requests[cause]...)
		delete(record.requests, cause)
		for request, parts := range record.requests {
			record.requests[request] = without(parts, cause)
		}
	}
	for _, other := range affected {
		evidence.recount(other)
	}
}

// explain returns the causes that explain the crashes and against which there is enough
// evidence: the one that explains most first, then the one that explains most of the
// rest. unexplained are the crashes that none of them explains.
func (evidence *crashEvidence) explain() (causes map[CrashCause]*suspicion, unexplained []*crashRecord) {
	remaining := slices.Clone(evidence.crashes)
	unexplained = slices.Clone(evidence.crashes)
	causes = map[CrashCause]*suspicion{}
	for {
		found := strongest(remaining)
		if found == nil || len(found.crashes) < requestCrashLimit {
			return causes, unexplained
		}
		isExplained := func(record *crashRecord) bool { return record.has(found.cause) }
		if found.suffices(remaining) {
			causes[found.cause] = found
			unexplained = slices.DeleteFunc(unexplained, isExplained)
		}
		remaining = slices.DeleteFunc(remaining, isExplained)
	}
}

// addRequest adds a request and the parts of its prompt that may be the cause. It returns
// false if the crash has too many.
func (record *crashRecord) addRequest(request CrashCause, parts []CrashCause) bool {
	known, found := record.requests[request]
	if !found && len(record.requests) >= maxRequestsPerCrash {
		return false
	}
	for _, part := range parts {
		if !slices.Contains(known, part) && len(known) < maxSuspectParts {
			known = append(known, part)
		}
	}
	record.requests[request] = known
	return true
}

func (record *crashRecord) has(cause CrashCause) bool {
	if _, isRequest := record.requests[cause]; isRequest {
		return true
	}
	for _, parts := range record.requests {
		if slices.Contains(parts, cause) {
			return true
		}
	}
	return false
}

// suspicions returns the evidence of the given crashes against each cause.
func suspicions(crashes []*crashRecord) map[CrashCause]*suspicion {
	found := map[CrashCause]*suspicion{}
	for _, record := range crashes {
		requestsOf := map[CrashCause][]CrashCause{} // by part
		for request, parts := range record.requests {
			suspicionOf(found, request, false).add(record, request)
			for _, part := range parts {
				requestsOf[part] = append(requestsOf[part], request)
			}
		}
		for part, requests := range requestsOf {
			suspicionOf(found, part, true).add(record, requests...)
		}
	}
	return found
}

func suspicionOf(found map[CrashCause]*suspicion, cause CrashCause, isPart bool) *suspicion {
	known, exists := found[cause]
	if !exists {
		known = &suspicion{cause: cause, isPart: isPart, requests: Set[CrashCause]{}}
		found[cause] = known
	}
	return known
}

// add adds a crash and the requests with the cause that ran during it. The crash is
// independent of the last one if some time has passed, or if a request has been sent
// again since.
func (found *suspicion) add(record *crashRecord, requests ...CrashCause) {
	sentAgain := slices.ContainsFunc(requests, found.requests.Has)
	if sentAgain || record.at.Sub(found.lastBurst) >= crashBurst {
		found.bursts++
		found.lastBurst = record.at
	}
	if found.isPart && len(found.crashes) == 0 {
		found.with = without(record.requests[requests[0]], found.cause)
	}
	found.crashes = append(found.crashes, record)
	for _, request := range requests {
		found.requests.Add(request)
		found.with = intersect(found.with, record.requests[request])
	}
}

// explains reports whether the cause is a candidate: a part of a single request's prompt
// explains no more than the request itself.
func (found *suspicion) explains() bool { return !found.isPart || len(found.requests) > 1 }

// suffices reports whether the evidence is enough to refuse requests with the cause.
// crashes are those that no stronger cause explains.
func (found *suspicion) suffices(crashes []*crashRecord) bool {
	if !found.isPart {
		return len(found.crashes) >= requestCrashLimit
	}
	first := slices.Index(crashes, found.crashes[0])
	last := slices.Index(crashes, found.crashes[len(found.crashes)-1])
	if 2*len(found.crashes) <= last-first {
		return found.bursts >= weakPartCrashLimit
	}
	return found.bursts >= partCrashLimit
}

// strongerThan orders causes by how many crashes they explain. If a part and a request
// explain the same, the part has to be ruled out first. Of two parts, the one that fewer
// requests have comes first.
func (found *suspicion) strongerThan(other *suspicion) bool {
	switch {
	case len(found.crashes) != len(other.crashes):
		return len(found.crashes) > len(other.crashes)
	case found.isPart != other.isPart:
		return found.isPart
	case len(found.requests) != len(other.requests):
		return len(found.requests) < len(other.requests)
	default:
		return found.cause < other.cause
	}
}

// strongest returns the cause that explains most of the crashes, nil if there is none.
func strongest(crashes []*crashRecord) *suspicion {
	var first *suspicion
	for _, found := range suspicions(crashes) {
		if found.explains() && (first == nil || found.strongerThan(first)) {
			first = found
		}
	}
	return first
}
