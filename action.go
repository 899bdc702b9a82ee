package greengageroute

import "time"

// States of an action's row and outcomes told to callers.
const (
	ActionSent   = "sent" // the claim's winner may have sent it
	ActionDone   = "done"
	ActionNotRun = "not-run" // it never was sent under this attempt, nor will be

	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

type (
	// Action is the row of one call that may not be repeated, under its
	// workspace and idempotency key.
	Action struct {
		Workspace string    `json:"workspace"`
		Key       string    `json:"key"`
		Digest    string    `json:"digest"`  // of service, method, path and body
		Attempt   string    `json:"attempt"` // id of the claim that won
		Entry     string    `json:"entry"`
		Service   string    `json:"service"`
		Target    string    `json:"target"`
		State     string    `json:"state"`
		Claimed   time.Time `json:"claimed"` // wall clock, for the audit only
		Answer    Answer    `json:"answer"`
	}

	// Answer is what a target answered.
	Answer struct {
		Status      int    `json:"status"`
		ContentType string `json:"content-type"`
		Body        []byte `json:"body"`
	}
)

// WithTarget returns the action once its winner is about to send it elsewhere.
func (action Action) WithTarget(target string) Action {
	action.Target = target
	return action
}

// WithAnswer returns the action after its target answered.
func (action Action) WithAnswer(answer Answer) Action {
	action.State = ActionDone
	action.Answer = answer
	return action
}

// WithNotRun returns the action closed without having been sent.
func (action Action) WithNotRun() Action {
	action.State = ActionNotRun
	return action
}

// Outcome is what may be told of the action.
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
