// Package caller serves the API for applications: chat completions, calls of
// plain services and the outcomes of actions. A request passes through a chain
// of filters: authenticate, quarantine, limit, claim (only calls that may not be
// retried), pick, send, deliver.
package caller

import (
	"context"
	"expvar"
	"io"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
)

type (
	// State is the entry's view of groups, configuration and other entries.
	State interface {
		Config() *greengageroute.Config
		// Available returns the groups that may run a request for the model now.
		Available(model string, now time.Time) []greengageroute.GroupCandidate
		// HealthyUntil returns when the group's latest healthy probe result expires.
		HealthyUntil(group greengageroute.Group) time.Time
		// RecordGroupFailure records that a group failed while it ran a request.
		RecordGroupFailure(group greengageroute.Group, reason string)
		// ReportCrash reports to the other entries that a group's assignment crashed
		// while it ran a request.
		ReportCrash(report greengageroute.CrashReport)
		// ReportSound reports to the other entries causes that crash no groups.
		ReportSound(causes []greengageroute.CrashCause)
		// HoldsLease reports whether this entry holds its data centre's planner lease. It
		// then tries requests whose quarantine ends.
		HoldsLease() bool
		// ForwardChat forwards a chat completion to another data centre.
		ForwardChat(ctx context.Context, workspace string, body []byte, lastEventID string) (Forwarded, error)
		// LiveEntries returns the number of live entries in the data centre.
		LiveEntries() int
		// Stopping reports whether the entry accepts no new connections.
		Stopping() bool
	}

	// TargetClient sends generate requests and service calls to targets.
	TargetClient interface {
		Generate(ctx context.Context, address string, request target.GenerateRequest, deadline func() time.Time, onReconnect func()) (*target.Stream, error)
		Call(ctx context.Context, address string, call target.ServiceCall) (greengageroute.Answer, error)
		Outcome(ctx context.Context, address, path, key string) (greengageroute.Answer, bool, error)
	}

	// ActionStore stores the actions in the platform's table.
	ActionStore interface {
		Get(ctx context.Context, workspace, key string) (table.StoredAction, error)
		Claim(ctx context.Context, action greengageroute.Action) (table.StoredAction, bool, error)
		Reclaim(ctx context.Context, notRun table.StoredAction, action greengageroute.Action) (table.StoredAction, bool, error)
		Advance(ctx context.Context, from table.StoredAction, next greengageroute.Action) (table.StoredAction, bool, error)
	}

	// Forwarded is an answer that comes from another data centre.
	Forwarded struct {
		ContentType string
		Body        io.Reader
	}

	// Service implements the service "caller" of the API design.
	Service struct {
		entry         string
		state         State
		targets       TargetClient
		actions       ActionStore
		chatAdmission *greengageroute.Admission
		callAdmission *greengageroute.Admission
		quarantine    *greengageroute.Quarantine
		router        *greengageroute.Router
		inFlight      *InFlightRequests
		retryBudget   *RetryBudget
		targetRests   *greengageroute.TargetRests // by address
		groupRests    *greengageroute.TargetRests // by assignment
		tokenLimiter  *TokenLimiter
		eventKey      EventKey
		counters      *expvar.Map
		log           logr.Logger
	}

	// Dependencies holds what a Service is built from.
	Dependencies struct {
		Entry         string
		State         State
		Targets       TargetClient
		Actions       ActionStore
		ChatAdmission *greengageroute.Admission
		CallAdmission *greengageroute.Admission
		Quarantine    *greengageroute.Quarantine
		Router        *greengageroute.Router
		InFlight      *InFlightRequests
		EventKey      EventKey
		Counters      *expvar.Map
		Log           logr.Logger
	}
)

// Counters of the caller service; docs/OPERATIONS.md lists them.
const (
	CountChats          = "caller-chats"
	CountCalls          = "caller-calls"
	CountTokens         = "caller-tokens"
	CountFailovers      = "caller-failovers"
	CountReconnected    = "caller-reattached"
	CountAnswersAborted = "caller-answers-cut"
	CountQuarantined    = "caller-quarantined"
	CountActionsNotRun  = "caller-actions-not-run"
	CountActionsUnknown = "caller-actions-unknown"
	CountDenied         = "caller-denied"
	CountForwarded      = "caller-forwarded"
	CountTargetsRested  = "caller-targets-rested"
)

// New returns a service with the given dependencies.
func New(dependencies Dependencies) *Service {
	return &Service{
		entry: dependencies.Entry, state: dependencies.State, targets: dependencies.Targets, actions: dependencies.Actions,
		chatAdmission: dependencies.ChatAdmission, callAdmission: dependencies.CallAdmission, quarantine: dependencies.Quarantine, router: dependencies.Router,
		inFlight: dependencies.InFlight, retryBudget: NewRetryBudget(), targetRests: greengageroute.NewTargetRests(), groupRests: greengageroute.NewTargetRests(), tokenLimiter: NewTokenLimiter(), eventKey: dependencies.EventKey, counters: dependencies.Counters, log: dependencies.Log,
	}
}
