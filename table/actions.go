package table

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	actionPrefix   = "action/"
	settleAttempts = 5
	settlePause    = 100 * time.Millisecond
)

type (
	// Actions keeps one row for each call that may not be repeated.
	Actions struct {
		table Table
	}

	// Stored is an action with the version of its row.
	Stored struct {
		greengageroute.Action
		Version uint64
	}
)

// NewActions returns the actions kept in a table.
func NewActions(table Table) *Actions { return &Actions{table: table} }

// Get returns the action under a key; its version is 0 if there is none.
func (actions *Actions) Get(ctx context.Context, workspace, key string) (Stored, error) {
	action, version, err := readRow[greengageroute.Action](ctx, actions.table, actionKey(workspace, key))
	return Stored{Action: action, Version: version}, trace.Wrap(err)
}

// Claim inserts the action's row, as sent, under a new attempt id. It returns
// the row as it now stands and whether this call inserted it. If that cannot be
// learnt the error is an *UncertainError: the caller must not send the action.
func (actions *Actions) Claim(ctx context.Context, action greengageroute.Action) (Stored, bool, error) {
	return actions.Reclaim(ctx, Stored{}, action)
}

// Reclaim is Claim over the row of an action that was closed as not run.
func (actions *Actions) Reclaim(ctx context.Context, closed Stored, action greengageroute.Action) (Stored, bool, error) {
	action.Attempt = uuid.NewString()
	action.State = greengageroute.ActionSent
	action.Claimed = time.Now().UTC()
	return actions.put(ctx, Stored{Action: action, Version: closed.Version}, func(found Stored) bool { return found.Attempt == action.Attempt })
}

// Advance writes the action's next state over the given version. It returns the
// row as it now stands and whether the state was written.
func (actions *Actions) Advance(ctx context.Context, from Stored, next greengageroute.Action) (Stored, bool, error) {
	return actions.put(ctx, Stored{Action: next, Version: from.Version}, func(found Stored) bool {
		return found.Attempt == next.Attempt && found.State == next.State && found.Version == from.Version+1
	})
}

// put writes a row over its version. After a lost reply it writes again: the
// version makes a second write fail if the first took effect, and own then
// tells the first write's row from another's.
func (actions *Actions) put(ctx context.Context, stored Stored, own func(Stored) bool) (Stored, bool, error) {
	value, err := json.Marshal(stored.Action)
	if err != nil {
		return stored, false, trace.Wrap(err)
	}
	write := Write{Key: actionKey(stored.Workspace, stored.Key), Expect: stored.Version, Value: value}
	var lost error
	for range settleAttempts {
		err := actions.table.Commit(ctx, write)
		var conflict *ConflictError
		var uncertain *UncertainError
		switch {
		case err == nil:
			stored.Version++
			return stored, true, nil
		case errors.As(err, &conflict):
			found, readErr := actions.Get(ctx, stored.Workspace, stored.Key)
			if readErr == nil {
				return found, own(found), nil
			}
			lost = &UncertainError{Cause: readErr}
		case errors.As(err, &uncertain) || lost != nil:
			lost = &UncertainError{Cause: err}
		default:
			return stored, false, trace.Wrap(err)
		}
		greengageroute.Sleep(ctx, settlePause)
	}
	return stored, false, lost
}

func actionKey(workspace, key string) string { return actionPrefix + workspace + "/" + key }
