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
	actionPrefix  = "action/"
	putAttempts   = 5
	putRetryDelay = 100 * time.Millisecond
)

type (
	// Actions stores one row for each action: a call of a service that must run at
	// most once.
	Actions struct {
		table Table
	}

	// StoredAction is an action with the version of its row.
	StoredAction struct {
		greengageroute.Action
		Version uint64
	}
)

// NewActions returns the actions stored in a table.
func NewActions(table Table) *Actions { return &Actions{table: table} }

// Get returns the action that a workspace has under an idempotency key, with
// version 0 if there is none.
func (actions *Actions) Get(ctx context.Context, workspace, key string) (StoredAction, error) {
	action, version, err := readRow[greengageroute.Action](ctx, actions.table, actionKey(workspace, key))
	return StoredAction{Action: action, Version: version}, trace.Wrap(err)
}

// Claim inserts the action's row in the state "sent", under a new attempt ID. It
// returns the current row and whether this call wrote it. If the outcome stays
// unknown, the error is an *UncertainError and the caller must not send the
// action.
func (actions *Actions) Claim(ctx context.Context, action greengageroute.Action) (StoredAction, bool, error) {
	return actions.Reclaim(ctx, StoredAction{}, action)
}

// Reclaim is like Claim, but overwrites the row of an action that was closed as
// not run.
func (actions *Actions) Reclaim(ctx context.Context, notRun StoredAction, action greengageroute.Action) (StoredAction, bool, error) {
	action.Attempt = uuid.NewString()
	action.State = greengageroute.ActionSent
	action.Claimed = time.Now().UTC()
	return actions.put(ctx, StoredAction{Action: action, Version: notRun.Version}, func(found StoredAction) bool { return found.Attempt == action.Attempt })
}

// Advance writes the action's next state if the row still has the version of
// from. It returns the current row and whether this state was written.
func (actions *Actions) Advance(ctx context.Context, from StoredAction, next greengageroute.Action) (StoredAction, bool, error) {
	return actions.put(ctx, StoredAction{Action: next, Version: from.Version}, func(found StoredAction) bool {
		return found.Attempt == next.Attempt && found.State == next.State && found.Version == from.Version+1
	})
}

// put writes a row if it still has the version of stored. After a lost reply it
// retries: if the first write took effect, the retry conflicts on the version,
// and isOwn then distinguishes this call's row from another writer's.
func (actions *Actions) put(ctx context.Context, stored StoredAction, isOwn func(StoredAction) bool) (StoredAction, bool, error) {
	value, err := json.Marshal(stored.Action)
	if err != nil {
		return stored, false, trace.Wrap(err)
	}
	write := Write{Key: actionKey(stored.Workspace, stored.Key), ExpectedVersion: stored.Version, Value: value}
	var uncertainErr error
	for range putAttempts {
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
				return found, isOwn(found), nil
			}
			uncertainErr = &UncertainError{Cause: readErr}
		case errors.As(err, &uncertain) || uncertainErr != nil:
			uncertainErr = &UncertainError{Cause: err}
		default:
			return stored, false, trace.Wrap(err)
		}
		greengageroute.Sleep(ctx, putRetryDelay)
	}
	return stored, false, uncertainErr
}

func actionKey(workspace, key string) string { return actionPrefix + workspace + "/" + key }
