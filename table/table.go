// Package table is the client of the platform's transactional table, list of VMs
// and supplier. It stores in the table what must be durable: configuration,
// leases, fleets, actions, the contract and the audit trail.
package table

import (
	"context"
	"fmt"

	greengageroute "greengageroute.example/greengageroute"
)

type (
	// Row is one row of the table. Its version starts at 1 and grows with each write.
	Row struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}

	// Write sets a row's value if the row still has the expected version; 0 means
	// that the row must not exist.
	Write struct {
		Key             string `json:"key"`
		ExpectedVersion uint64 `json:"expect"`
		Value           []byte `json:"value"`
	}

	// Table is the platform's transactional table.
	Table interface {
		// Read returns the row, or a zero Row if there is none.
		Read(ctx context.Context, key string) (Row, error)
		// Scan returns the rows whose keys start with the prefix and come after
		// the given key, ascending, at most the given number.
		Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
		// Commit makes all writes or none. The error is a *ConflictError if a
		// version did not match, an *UnavailableError if nothing can have been
		// written, and an *UncertainError if it may have been.
		Commit(ctx context.Context, writes ...Write) error
	}

	// VMList is the platform's list of VMs, which lags behind their real state.
	VMList interface {
		VMs(ctx context.Context, dataCentre string) ([]greengageroute.VM, error)
	}

	// Supplier rents VMs out. Both calls are idempotent.
	Supplier interface {
		// Take rents VMs until a data centre holds the given number in a fabric
		// domain.
		Take(ctx context.Context, dataCentre, domain string, vms int) error
		// GiveBack gives VMs back. VMs that are no longer rented are ignored.
		GiveBack(ctx context.Context, vms ...string) error
	}

	// ConflictError says that a row no longer has the expected version.
	ConflictError struct{ Key string }

	// UnavailableError says that the platform did not accept the request.
	UnavailableError struct{ Cause error }

	// UncertainError says that the reply to a write was lost: the write may have
	// taken effect.
	UncertainError struct{ Cause error }
)

func (err *ConflictError) Error() string {
	return fmt.Sprintf("row %q was changed by another writer; read it again", err.Key)
}

func (err *UnavailableError) Error() string {
	return fmt.Sprintf("the platform is not available (%v); send the request again later", err.Cause)
}

// Unwrap returns the cause.
func (err *UnavailableError) Unwrap() error { return err.Cause }

func (err *UncertainError) Error() string {
	return fmt.Sprintf("the platform's reply was lost (%v); read the row to learn whether it was written", err.Cause)
}

// Unwrap returns the cause.
func (err *UncertainError) Unwrap() error { return err.Cause }
