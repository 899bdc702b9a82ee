package greengageroute

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

type (
	// CrashCause is what a target may have crashed of: one request, or a part that the
	// prompts of several requests share. It is a hash.
	CrashCause uint64

	// CrashReport is a request to which a target had just begun its answer, or hadn't
	// begun it, when it crashed. The parts of a long prompt are spread over several
	// reports.
	CrashReport struct {
		CrashID string       `cbor:"1,keyasint"` // the target and its start
		Request CrashCause   `cbor:"2,keyasint"`
		Parts   []CrashCause `cbor:"3,keyasint,omitempty"` // of its prompt
	}
)

const (
	// maxReportedParts limits the parts of a prompt in one report.
	maxReportedParts = 8
	// fieldEnd follows each field of what a cause is the hash of.
	fieldEnd = "\x00"
)

// PromptPartCause returns the cause that stands for a part of prompts.
func PromptPartCause(id string) CrashCause { return CrashCause(xxhash.Sum64String("part\x00" + id)) }

// RequestCause returns the cause that stands for requests with exactly these fields.
func RequestCause(fields ...string) CrashCause {
	return CrashCause(hashFields(fields).Sum64())
}

// BodyCause returns the cause that stands for requests with exactly these fields and this body.
func BodyCause(body Body, fields ...string) CrashCause {
	hash := hashFields(fields)
	for _, part := range body {
		_, _ = hash.Write(part) // never fails
	}
	_, _ = hash.WriteString(fieldEnd)
	return CrashCause(hash.Sum64())
}

func hashFields(fields []string) *xxhash.Digest {
	hash := xxhash.New()
	for _, field := range fields {
		_, _ = hash.WriteString(field) // never fails, as the next line
		_, _ = hash.WriteString(fieldEnd)
	}
	return hash
}

// String returns the cause as it stands in logs.
func (cause CrashCause) String() string { return strconv.FormatUint(uint64(cause), 36) }

// NewCrashReports returns the reports of a request that a crashed target ran. parts are
// the parts of its prompt that may be the cause.
func NewCrashReports(crashID string, request CrashCause, parts []CrashCause) []CrashReport {
	if len(parts) == 0 {
		return []CrashReport{{CrashID: crashID, Request: request}}
	}
	var reports []CrashReport
	for chunk := range slices.Chunk(parts, maxReportedParts) {
		reports = append(reports, CrashReport{CrashID: crashID, Request: request, Parts: chunk})
	}
	return reports
}

// intersect returns the causes that both lists have.
func intersect(causes, others []CrashCause) []CrashCause {
	var both []CrashCause
	for _, cause := range causes {
		if slices.Contains(others, cause) {
			both = append(both, cause)
		}
	}
	return both
}

// without returns the causes other than the given one.
func without(causes []CrashCause, excluded CrashCause) []CrashCause {
	return slices.DeleteFunc(slices.Clone(causes), func(cause CrashCause) bool { return cause == excluded })
}
