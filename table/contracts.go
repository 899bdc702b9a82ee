package table

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	contractKey        = "contract"
	contractAttempts   = 10
	contractRetryDelay = 20 * time.Millisecond
	monthFormat        = "2006-01"
)

type (
	// Contracts stores the contract: one row that limits how many VMs all data
	// centres hold together.
	Contracts struct {
		table Table
	}
)

// NewContracts returns the contract stored in a table.
func NewContracts(table Table) *Contracts { return &Contracts{table: table} }

// Get returns the contract of the current month, with the given limit.
func (contracts *Contracts) Get(ctx context.Context, limit int) (greengageroute.Contract, error) {
	contract, _, err := contracts.read(ctx, limit)
	return contract, err
}

func (contracts *Contracts) read(ctx context.Context, limit int) (greengageroute.Contract, uint64, error) {
	contract, version, err := readRow[greengageroute.Contract](ctx, contracts.table, contractKey)
	if err != nil {
		return contract, 0, trace.Wrap(err, "reading the contract")
	}
	contract.Limit = limit
	return contract.WithMonth(time.Now().UTC().Format(monthFormat)), version, nil
}

// SetHeld sets the number of VMs that a data centre may hold. The error is a
// *greengageroute.ContractLimitError if the number of all data centres would
// grow past the limit. After a lost reply it reads the row again, which shows
// whether the write took effect.
func (contracts *Contracts) SetHeld(ctx context.Context, limit int, dataCentre string, vms int) (greengageroute.Contract, error) {
	for range contractAttempts {
		contract, version, err := contracts.read(ctx, limit)
		if err != nil {
			return contract, err
		}
		held, known := contract.Held[dataCentre]
		if known && held == vms {
			return contract, nil
		}
		next, err := contract.WithHeld(dataCentre, vms)
		if err != nil {
			return contract, err
		}
		writes, err := encodeWrites(rowWrite{contractKey, version, next})
		if err != nil {
			return contract, err
		}
		err = contracts.table.Commit(ctx, writes...)
		var conflict *ConflictError
		var uncertain *UncertainError
		if err == nil {
			return next, nil
		}
		if !errors.As(err, &conflict) && !errors.As(err, &uncertain) {
			return contract, trace.Wrap(err, "writing the contract")
		}
		greengageroute.Sleep(ctx, contractRetryDelay)
	}
	return greengageroute.Contract{}, &UnavailableError{Cause: errors.New("every attempt to write the contract's row conflicted or lost its reply")}
}
