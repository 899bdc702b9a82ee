package serve

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

const (
	// quarantineTable has one row with all causes of crashes that are refused. It is for
	// entries that start while no other entry runs.
	quarantineTable = "quarantine"
	quarantineKey   = "verdicts"
	// writeVerdictsInterval is how often the list is checked for changes.
	writeVerdictsInterval = 300 * time.Millisecond
	// readVerdictsInterval is the minimum interval between attempts to read the list; it
	// is at most twice as long.
	readVerdictsInterval = time.Second
)

// storedVerdicts is what this entry knows of the stored causes of crashes.
type storedVerdicts struct {
	known bool
	value []greengageroute.QuarantineVerdict // sorted by cause
	// outdated is set once the store was restored from a copy, which may hold other causes.
	outdated bool
	era      uint64 // of the store
}

// keepVerdicts reads the stored causes of crashes when the entry starts, unless all
// entries do so for the first time, and when it takes the planner's lease. It writes them
// while it holds the lease. After a restoration of the store it doesn't read them: the
// entries that run know the newer ones.
func (entry *Entry) keepVerdicts(ctx context.Context) {
	stored, held := storedVerdicts{known: entry.deployment.FirstStart}, false
	for ctx.Err() == nil {
		taken := !held && entry.holdsLease()
		held = entry.holdsLease()
		if era := entry.source.Era(); era != stored.era {
			stored.outdated, stored.era = stored.era > 0, era
		}
		stored.known = stored.known && (!taken || stored.outdated)
		wait := writeVerdictsInterval
		if !stored.known {
			stored = entry.readVerdicts(ctx, stored)
			wait = readVerdictsInterval + rand.N(readVerdictsInterval)
		} else if held {
			stored = entry.writeVerdicts(ctx, stored)
		}
		greengageroute.Sleep(ctx, wait)
	}
}

// readVerdicts adopts the stored causes.
func (entry *Entry) readVerdicts(ctx context.Context, stored storedVerdicts) storedVerdicts {
	rows, err := entry.store.Read(ctx, quarantineTable)
	if err != nil {
		entry.log.V(1).Info("stored causes of crashes not read yet; retrying", "cause", err.Error())
		return stored
	}
	stored.known, stored.outdated, stored.value = true, false, nil
	for _, row := range rows.Rows {
		if row.Key != quarantineKey {
			continue
		}
		if err := json.Unmarshal(row.Value, &stored.value); err != nil {
			entry.log.Error(err, "stored causes of crashes ignored: the row can't be decoded", "row", row.Key)
		}
	}
	entry.service.AdoptVerdicts(stored.value)
	return stored
}

func sameVerdict(a, b greengageroute.QuarantineVerdict) bool {
	return a.Cause == b.Cause && a.FailedTrials == b.FailedTrials && slices.Equal(a.With, b.With)
}

// writeVerdicts writes the causes that this entry refuses, if they have changed.
func (entry *Entry) writeVerdicts(ctx context.Context, stored storedVerdicts) storedVerdicts {
	current := entry.service.Verdicts()
	for i := range current {
		current[i].SinceCrashMillis = 0 // an age in a row would not grow
	}
	slices.SortFunc(current, func(a, b greengageroute.QuarantineVerdict) int { return cmp.Compare(a.Cause, b.Cause) })
	if !stored.outdated && slices.EqualFunc(current, stored.value, sameVerdict) {
		return stored
	}
	value, err := json.Marshal(current)
	if err != nil {
		entry.log.Error(err, "causes of crashes not stored: they can't be encoded")
		return stored
	}
	if _, err := entry.store.Commit(ctx, platform.Write{Table: quarantineTable, Key: quarantineKey, Value: value, Unconditional: true}); err != nil {
		entry.log.V(1).Info("causes of crashes not stored yet; retrying", "cause", err.Error())
		return stored
	}
	entry.log.Info("causes of crashes stored", "count", len(current))
	stored.value, stored.outdated = current, false
	return stored
}
