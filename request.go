package greengageroute

import (
	"net/http"
	"time"
)

type (
	// Request is a caller's request, as the filters see it.
	Request struct {
		ID            string // of this attempt of the caller
		Method        string
		Host          string
		URI           string // as sent, with its query
		Path          string
		Header        http.Header // that is passed on
		Body          []byte
		Key           string // that the caller showed
		Workspace     string // that holds the key
		CallerTimeout time.Duration
		Model         string
		PromptTokens  int
		AnswerTokens  int // at most, or as the caller expects
		LastEventID   string
	}

	// Attempt is one try of a request at a target.
	Attempt struct {
		Target      Target
		Remaining   time.Duration // until the caller or the route gives up
		Urgency     int           // 0: the target's default
		LastEventID string        // after which a stream goes on
		AtMostOnce  bool          // must not run twice, so that a lost connection can't be made good
	}

	// AnswerHead is what the head of a target's answer says.
	AnswerHead struct {
		ID              string
		Status          int
		Signed          bool
		NotRun          bool   // the target did not run the request and never will
		FaultyMember    string // the member that keeps a replica from answering
		CloseConnection bool   // the target closes the connection afterwards
		Encoded         bool   // the body is not the target's own bytes
		IdleTimeout     time.Duration
		Header          http.Header
	}
)
