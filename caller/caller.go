// Package caller speaks to the applications: chat completions, calls of plain
// services and the outcomes of actions. A request passes through a chain of
// filters: authenticate, quarantine, limit, claim (only calls that may not be
// repeated), pick, send, deliver.
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
	// State is what the entry knows when a request arrives.
	State interface {
		Config() *greengageroute.Config
		// Servable returns the groups that may take a request of the model now.
		Available(model string, now time.Time) []greengageroute.GroupCandidate
		// WholeUntil returns when the latest good news of the group expires.
		HealthyUntil(group greengageroute.Group) time.Time
		// GroupFailed notes that a request saw its group fail.
		RecordGroupFailure(group greengageroute.Group, reason string)
		// RequestDied tells the other entries that a group died under a request.
		ReportCrash(digest, assignment string)
		// Elsewhere has a chat completion answered in another data centre.
		ForwardChat(ctx context.Context, workspace string, body []byte, lastEventID string) (Forwarded, error)
		// Entries returns how many live entries the data centre has.
		LiveEntries() int
		// Stopping tells whether the entry takes no new connections.
		Stopping() bool
	}

	// TargetClient is what the chain needs of the targets.
	TargetClient interface {
		Generate(ctx context.Context, address string, generation target.Generation, until func() time.Time, reattached func()) (*target.Stream, error)
		Call(ctx context.Context, address string, call target.ServiceCall) (greengageroute.Answer, error)
		Outcome(ctx context.Context, address, path, key string) (greengageroute.Answer, bool, error)
	}

	// ActionStore is what the chain needs of the platform.
	ActionStore interface {
		Get(ctx context.Context, workspace, key string) (table.Stored, error)
		Claim(ctx context.Context, action greengageroute.Action) (table.Stored, bool, error)
		Reclaim(ctx context.Context, closed table.Stored, action greengageroute.Action) (table.Stored, bool, error)
		Advance(ctx context.Context, current table.Stored, next greengageroute.Action) (table.Stored, bool, error)
	}

	// Forwarded is an answer from another data centre.
	Forwarded struct {
		ContentType string
		Body        io.Reader
	}

	// Service implements the caller service of the design.
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
		tokenLimiter  *TokenLimiter
		eventKey      EventKey
		counters      *expvar.Map
		log           logr.Logger
	}

	// Dependencies are what a Service is made of.
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
	CountReattached     = "caller-reattached"
	CountAnswersAborted = "caller-answers-cut"
	CountQuarantined    = "caller-quarantined"
	CountActionsNotRun  = "caller-actions-not-run"
	CountActionsUnknown = "caller-actions-unknown"
	CountDenied         = "caller-denied"
	CountForwarded      = "caller-forwarded"
)

// New returns the service made of its parts.
func New(dependencies Dependencies) *Service {
	return &Service{
		entry: dependencies.Entry, state: dependencies.State, targets: dependencies.Targets, actions: dependencies.Actions,
		chatAdmission: dependencies.ChatAdmission, callAdmission: dependencies.CallAdmission, quarantine: dependencies.Quarantine, router: dependencies.Router,
		inFlight: dependencies.InFlight, retryBudget: NewRetryBudget(), tokenLimiter: NewTokenLimiter(), eventKey: dependencies.EventKey, counters: dependencies.Counters, log: dependencies.Log,
	}
}
