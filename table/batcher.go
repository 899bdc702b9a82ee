package table

import (
	"context"
	"errors"
	"time"
)

const (
	batchDelay       = 2 * time.Millisecond
	maxBatchCommits  = 64
	batchQueueLength = 1024
)

type (
	// Batcher is a Table that combines the commits of several goroutines into one
	// transaction, so that the platform receives fewer writes. Reads are not
	// batched.
	Batcher struct {
		Table
		pending chan pendingCommit
	}

	pendingCommit struct {
		writes []Write
		result chan error
	}
)

// NewBatcher returns a batcher that runs until the context ends.
func NewBatcher(ctx context.Context, table Table) *Batcher {
	batcher := &Batcher{Table: table, pending: make(chan pendingCommit, batchQueueLength)}
	go batcher.run(ctx)
	return batcher
}

// Commit implements Table.
func (batcher *Batcher) Commit(ctx context.Context, writes ...Write) error {
	commit := pendingCommit{writes: writes, result: make(chan error, 1)}
	select {
	case batcher.pending <- commit:
	case <-ctx.Done():
		return &UnavailableError{Cause: ctx.Err()}
	}
	select {
	case err := <-commit.result:
		return err
	case <-ctx.Done():
		return &UncertainError{Cause: ctx.Err()}
	}
}

func (batcher *Batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-batcher.pending:
			batch := batcher.collect(ctx, first)
			go batcher.flush(ctx, batch)
		}
	}
}

func (batcher *Batcher) collect(ctx context.Context, first pendingCommit) []pendingCommit {
	batch := []pendingCommit{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatchCommits {
		select {
		case next := <-batcher.pending:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// flush writes the batch in one transaction. If a row conflicts, or two commits
// write the same row, it makes each commit separately, so that a conflict fails
// only the commit that it belongs to.
func (batcher *Batcher) flush(ctx context.Context, batch []pendingCommit) {
	var writes []Write
	keys := map[string]bool{}
	sharedRow := false
	for _, commit := range batch {
		for _, write := range commit.writes {
			sharedRow = sharedRow || keys[write.Key]
			keys[write.Key] = true
		}
		writes = append(writes, commit.writes...)
	}
	var conflict *ConflictError
	var err error
	if !sharedRow {
		err = batcher.Table.Commit(ctx, writes...)
	}
	if !sharedRow && (len(batch) == 1 || !errors.As(err, &conflict)) {
		for _, commit := range batch {
			commit.result <- err
		}
		return
	}
	for _, commit := range batch {
		commit.result <- batcher.Table.Commit(ctx, commit.writes...)
	}
}
