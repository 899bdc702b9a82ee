package table

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	fleetPrefix      = "fleet/"
	fleetAuditPrefix = "audit/fleet/"
)

type (
	// Fleets stores one row per data centre with its fleet. The row's version is
	// the fleet's revision.
	Fleets struct {
		table Table
	}
)

// NewFleets returns the fleets stored in a table.
func NewFleets(table Table) *Fleets { return &Fleets{table: table} }

// Latest returns the data centre's fleet, or an empty one if none was written.
func (fleets *Fleets) Latest(ctx context.Context, dataCentre string) (greengageroute.Fleet, error) {
	fleet, version, err := readRow[greengageroute.Fleet](ctx, fleets.table, fleetPrefix+dataCentre)
	if err != nil {
		return fleet, trace.Wrap(err, "reading the fleet of %q", dataCentre)
	}
	fleet.DataCentre = dataCentre
	fleet.Revision = version
	return fleet, nil
}

// Commit writes the changed fleet and its audit record in one transaction, if
// this entry still holds the lease and the stored fleet still has the revision
// of change.Fleet. It returns the fleet with its new revision.
func (fleets *Fleets) Commit(ctx context.Context, lease *Lease, change greengageroute.FleetChange) (greengageroute.Fleet, error) {
	fleet := change.Fleet
	previous := fleet.Revision
	fleet.Revision = previous + 1
	record := greengageroute.AuditRecord{
		Revision: fleet.Revision, At: time.Now().UTC(), Actor: lease.holder, Subject: fleet.DataCentre + "/" + change.Group,
		From: previous, To: fleet.Revision, Changes: []string{change.Reason},
	}
	writes, err := encodeWrites(
		rowWrite{fleetPrefix + fleet.DataCentre, previous, fleet},
		rowWrite{fmt.Sprintf("%s%s/%020d", fleetAuditPrefix, fleet.DataCentre, fleet.Revision), 0, record},
	)
	if err != nil {
		return fleet, err
	}
	guard, markRenewed, err := lease.Guard()
	if err != nil {
		return fleet, err
	}
	if err := fleets.table.Commit(ctx, append(writes, guard)...); err != nil {
		return fleet, trace.Wrap(err, "writing the fleet of %q", fleet.DataCentre)
	}
	markRenewed()
	return fleet, nil
}

// AuditTrail returns the audit records of all fleets, by data centre, oldest
// first.
func (fleets *Fleets) AuditTrail(ctx context.Context) ([]greengageroute.AuditRecord, error) {
	return scanAll[greengageroute.AuditRecord](ctx, fleets.table, fleetAuditPrefix, fleetAuditPrefix)
}
