package control

import (
	"maps"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

type (
	// Evacuations are the evacuated data centres, as rows of the operator's table request
	// them. The value is immutable.
	Evacuations struct {
		current greengageroute.Set[string]              // nil without any
		rows    map[string]greengageroute.StoreRevision // of the current evacuations
		endedAt map[string]time.Time                    // when the last evacuations of others ended
	}

	// EvacuationChange is the begin or the end of an evacuation.
	EvacuationChange struct {
		DataCentre string
		Evacuated  bool
		RowVersion uint64 // of the row, or the read without it
	}
)

// WithSnapshot returns the evacuations after a read of the whole table, and what changed. An
// evacuation whose row is newer than the read goes on: another reader of the store may lag.
func (evacuations Evacuations) WithSnapshot(rows platform.Rows, now time.Time) (Evacuations, []EvacuationChange) {
	states := map[string]platform.Row{}
	for dataCentre, revision := range evacuations.rows {
		if !rows.Revision().Before(revision) {
			states[dataCentre] = platform.Row{Version: rows.Version, Deleted: true}
		}
	}
	maps.Copy(states, newestByDataCentre(rows))
	return evacuations.with(states, rows.Era, now)
}

// WithChanges returns the evacuations after changes of the table, and what changed.
func (evacuations Evacuations) WithChanges(rows platform.Rows, now time.Time) (Evacuations, []EvacuationChange) {
	return evacuations.with(newestByDataCentre(rows), rows.Era, now)
}

// newestByDataCentre returns the newest row of each data centre. A row without a version is as
// old as the read.
func newestByDataCentre(rows platform.Rows) map[string]platform.Row {
	newest := map[string]platform.Row{}
	for _, row := range rows.Rows {
		dataCentre, found := row.EvacuatedDataCentre()
		if row.Version == 0 {
			row.Version = rows.Version
		}
		if known, listed := newest[dataCentre]; found && (!listed || row.Version >= known.Version) {
			newest[dataCentre] = row
		}
	}
	return newest
}

// with returns the evacuations after the newest rows of some data centres, and what changed. A
// row that is older than the known one doesn't count.
func (evacuations Evacuations) with(states map[string]platform.Row, era uint64, now time.Time) (Evacuations, []EvacuationChange) {
	if len(states) == 0 {
		return evacuations, nil
	}
	next := Evacuations{rows: maps.Clone(evacuations.rows), endedAt: maps.Clone(evacuations.endedAt)}
	if next.rows == nil {
		next.rows, next.endedAt = map[string]greengageroute.StoreRevision{}, map[string]time.Time{}
	}
	var changes []EvacuationChange
	for _, dataCentre := range slices.Sorted(maps.Keys(states)) {
		row := states[dataCentre]
		revision := greengageroute.StoreRevision{Era: era, Version: row.Version}
		known, was := next.rows[dataCentre]
		if revision.Before(known) {
			continue
		}
		if was == row.Deleted {
			changes = append(changes, EvacuationChange{dataCentre, !row.Deleted, row.Version})
			if was {
				next.endedAt[dataCentre] = now
			}
		}
		if row.Deleted {
			delete(next.rows, dataCentre)
			continue
		}
		next.rows[dataCentre] = revision
		delete(next.endedAt, dataCentre)
	}
	for dataCentre := range next.rows {
		if next.current == nil {
			next.current = greengageroute.Set[string]{}
		}
		next.current.Add(dataCentre)
	}
	return next, changes
}
