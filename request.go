package greengageroute

import (
	"net/http"
	"time"
)

type (
	// Request is a caller's request as the filters receive it.
	Request struct {
		ID            string // unique for each attempt of the caller
		Method        string
		Host          string
		URI           string // as sent, including the query
		Path          string
		Header        http.Header // forwarded to the target
		Body          Body
		Key           string // presented by the caller
		Workspace     string // owner of the key
		CallerTimeout time.Duration
		Model         string
		PromptTokens  int
		AnswerTokens  int // limit set or expected by the caller
		LastEventID   string
		// PromptParts are the IDs of the parts of the prompt in their order. Requests share
		// parts, except the last, which belongs to the request or its session.
		PromptParts []string
	}

	// Attempt is one transmission of a request to a target.
	Attempt struct {
		Target      Target
		Remaining   time.Duration // until the timeout of the caller or of the route
		Urgency     int           // 0 stands for the target's default
		LastEventID string        // event after which a stream is resumed
		AtMostOnce  bool          // must not run twice, so that it can't be sent again after a lost connection
		// ToEntry is set if the target is another entry, which chooses a target itself.
		ToEntry bool
		// AttemptsSent is how many attempts were sent before, for another entry.
		AttemptsSent int
		// NoticeToken marks another entry's notices of the attempts that it makes.
		NoticeToken string
		// NeedsSpare asks for a second connection to a target whose answers lately had
		// neither a length nor chunks. It shows later whether the target's process ended.
		NeedsSpare bool
	}

	// AnswerHead holds the status and header of a target's response, and what the
	// entry derives from them.
	AnswerHead struct {
		ID              string
		Status          int
		Instance        string // the target that answered, if it says so
		Signed          bool
		NotRun          bool   // the target did not run the request and never will
		FaultyMember    string // the member that prevents the replica from serving
		CloseConnection bool   // the target closes the connection after this response
		Encoded         bool   // the body has a content encoding and is not the target's own bytes
		// EndsWithConnection reports that the body has neither a length nor chunks. The
		// operating system ends it in the same way if the target's process crashes.
		EndsWithConnection bool
		// LimitPerSecond is the rate of requests that the target takes from all entries
		// together; 0 if it names none.
		LimitPerSecond float64
		IdleTimeout    time.Duration
		// ColdRemaining is for how long the target is still cold, if it says so.
		ColdRemaining time.Duration
		// Leaving reports that the target says that it is leaving.
		Leaving bool
		// AttemptsAtEntry is how many attempts another entry made at targets before it answered;
		// 0 if it doesn't say so.
		AttemptsAtEntry int
		// ForwardedFrom is the target whose answer another entry passes on, if that target
		// is leaving.
		ForwardedFrom TargetInstance
		// RetryAfter is when a target, or an entry, that turns requests away takes them again.
		RetryAfter time.Duration
		Header     http.Header
	}
)

// IsFrom reports whether an answer is that of the target that the request was sent to. Another
// one at its address answers 421.
func (answer AnswerHead) IsFrom(target Target) bool {
	return answer.Status != http.StatusMisdirectedRequest || answer.Instance == target.ID
}

// Availability returns what an answer says of the target's availability: for how long it wants
// nothing from this entry, 0 if it takes requests, and whether it is leaving.
func (answer AnswerHead) Availability(target Target) (backoff time.Duration, leaving bool) {
	if !answer.IsFrom(target) {
		return 0, false
	}
	if answer.Status == http.StatusServiceUnavailable {
		backoff = answer.RetryAfter
	}
	return backoff, answer.Leaving
}

// EndsWithConnection reports whether a response has a body with neither a length nor chunks. One
// that the HTTP library has unpacked has a checksum.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody && !response.Uncompressed
}
