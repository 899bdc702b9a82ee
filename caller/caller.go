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
		Servable(model string, now time.Time) []greengageroute.GroupCandidate
		// WholeUntil returns when the latest good news of the group expires.
		WholeUntil(group greengageroute.Group) time.Time
		// GroupFailed notes that a request saw its group fail.
		GroupFailed(group greengageroute.Group, reason string)
		// RequestDied tells the other entries that a group died under a request.
		RequestDied(digest, death string)
		// Elsewhere has a chat completion answered in another data centre.
		Elsewhere(ctx context.Context, workspace string, body []byte, lastEventID string) (Forwarded, error)
		// Entries returns how many live entries the data centre has.
		Entries() int
		// Stopping tells whether the entry takes no new connections.
		Stopping() bool
	}

	// Targets is what the chain needs of the targets.
	Targets interface {
		Generate(ctx context.Context, address string, generation target.GenerateRequest, until func() time.Time, reattached func()) (*target.Stream, error)
		Call(ctx context.Context, address string, call target.ServiceCall) (greengageroute.Answer, error)
		Outcome(ctx context.Context, address, path, key string) (greengageroute.Answer, bool, error)
	}

	// Actions is what the chain needs of the platform.
	Actions interface {
		Get(ctx context.Context, workspace, key string) (table.StoredAction, error)
		Claim(ctx context.Context, action greengageroute.Action) (table.StoredAction, bool, error)
		Reclaim(ctx context.Context, closed table.StoredAction, action greengageroute.Action) (table.StoredAction, bool, error)
		Advance(ctx context.Context, from table.StoredAction, next greengageroute.Action) (table.StoredAction, bool, error)
	}

	// Forwarded is an answer from another data centre.
	Forwarded struct {
		ContentType string
		Body        io.Reader
	}

	// Service implements the caller service of the design.
	Service struct {
		entry      string
		state      State
		targets    Targets
		actions    Actions
		chats      *greengageroute.Admission
		calls      *greengageroute.Admission
		quarantine *greengageroute.Quarantine
		router     *greengageroute.Router
		flights    *Flights
		budget     *RetryBudget
		limits     *Limits
		events     EventKey
		counters   *expvar.Map
		log        logr.Logger
	}

	// Parts are what a Service is made of.
	Parts struct {
		Entry      string
		State      State
		Targets    Targets
		Actions    Actions
		Chats      *greengageroute.Admission
		Calls      *greengageroute.Admission
		Quarantine *greengageroute.Quarantine
		Router     *greengageroute.Router
		Flights    *Flights
		Events     EventKey
		Counters   *expvar.Map
		Log        logr.Logger
	}
)

// Counters of the caller service; docs/OPERATIONS.md lists them.
const (
	CountChats       = "caller-chats"
	CountCalls       = "caller-calls"
	CountTokens      = "caller-tokens"
	CountFailovers   = "caller-failovers"
	CountReattached  = "caller-reattached"
	CountCut         = "caller-answers-cut"
	CountQuarantined = "caller-quarantined"
	CountNotRun      = "caller-actions-not-run"
	CountUnknown     = "caller-actions-unknown"
	CountDenied      = "caller-denied"
	CountForwarded   = "caller-forwarded"
)

// New returns the service made of its parts.
func New(parts Parts) *Service {
	return &Service{
		entry: parts.Entry, state: parts.State, targets: parts.Targets, actions: parts.Actions,
		chats: parts.Chats, calls: parts.Calls, quarantine: parts.Quarantine, router: parts.Router,
		flights: parts.Flights, budget: NewRetryBudget(), limits: NewLimits(), events: parts.Events, counters: parts.Counters, log: parts.Log,
	}
}
