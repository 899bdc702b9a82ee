package greengageroute

import "time"

// States of an action's row, and outcomes returned to callers.
const (
	ActionSent   = "sent" // claimed; the claiming entry may have sent the call
	ActionDone   = "done"
	ActionNotRun = "not-run" // the call was not sent in this attempt and never will be

	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

type (
	// Action is the row of one call that must not run twice. Its key consists of
	// the workspace and the idempotency key.
	Action struct {
		Workspace string    `json:"workspace"`
		Key       string    `json:"key"`
		Digest    string    `json:"digest"`  // of service, method, path and body
		Attempt   string    `json:"attempt"` // id of the successful claim
		Entry     string    `json:"entry"`
		Service   string    `json:"service"`
		Target    string    `json:"target"`
		State     string    `json:"state"`
		Claimed   time.Time `json:"claimed"` // wall clock time, for the audit only
		Answer    Answer    `json:"answer"`
	}

	// Answer is a target's response.
	Answer struct {
		Status      int    `json:"status"`
		ContentType string `json:"content-type"`
		Body        []byte `json:"body"`
	}
)

// WithTarget returns the action with another target that the claiming entry is
// about to send it to.
func (action Action) WithTarget(target string) Action {
	action.Target = target
	return action
}

// WithAnswer returns the action completed with its target's response.
func (action Action) WithAnswer(answer Answer) Action {
	action.State = ActionDone
	action.Answer = answer
	return action
}

// WithNotRun returns the action closed without being sent.
func (action Action) WithNotRun() Action {
	action.State = ActionNotRun
	return action
}

// Outcome returns the outcome of the action for its caller.
func (action Action) Outcome() string {
	switch action.State {
	case ActionDone:
		return OutcomeDone
	case ActionNotRun:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}
