package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	headKey      = "config/head"
	filePrefix   = "config/file/"
	auditPrefix  = "audit/config/"
	scanPageSize = 500
	// auditWindow is the number of latest revisions that are searched for an
	// apply ID.
	auditWindow     = 1000
	applyAttempts   = 8
	applyRetryDelay = 50 * time.Millisecond
)

type (
	// Configs stores the configuration in the table. The version of the head row
	// is the configuration's revision; the version of a file's row is the file's
	// version.
	Configs struct {
		table Table
	}

	// fileRevisions is the value of the head row: the revision that last changed
	// each file.
	fileRevisions struct {
		Files map[string]uint64 `json:"files"`
	}

	// Proposal is the new text of a file, as submitted by an operator.
	Proposal struct {
		Name        string
		Text        string
		BaseVersion uint64 // version of the file that the text was edited from
		ApplyID     string
		Actor       string
	}

	// StaleBaseError says that a proposal is based on an old version of the file:
	// another operator has changed it since.
	StaleBaseError struct {
		File        string
		BaseVersion uint64
		Version     uint64
		Actor       string
		AppliedAt   time.Time
	}
)

func (err *StaleBaseError) Error() string {
	return fmt.Sprintf("file %q is at version %d, put in force by %s at %s, not at version %d; run \"greengageroute diff\" and apply again",
		err.File, err.Version, err.Actor, err.AppliedAt.UTC().Format(time.RFC3339), err.BaseVersion)
}

// NewConfigs returns the configuration stored in a table.
func NewConfigs(table Table) *Configs { return &Configs{table: table} }

// Latest returns the current configuration. It reads only the files that have
// changed since the known configuration.
func (configs *Configs) Latest(ctx context.Context, known *greengageroute.Config) (*greengageroute.Config, error) {
	row, index, err := configs.readHead(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if row.Version <= known.Revision() {
		return known, nil
	}
	var changed []greengageroute.FileVersion
	for name, revision := range index.Files {
		if revision <= known.Revision() {
			continue
		}
		file, err := configs.readFile(ctx, name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if file.Revision > row.Version { // changed after the head row was read
			return configs.Latest(ctx, known)
		}
		changed = append(changed, file)
	}
	config, err := known.WithFiles(row.Version, changed...)
	return config, trace.Wrap(err, "merging revision %d", row.Version)
}

func (configs *Configs) readHead(ctx context.Context) (Row, fileRevisions, error) {
	index := fileRevisions{Files: map[string]uint64{}}
	row, err := configs.table.Read(ctx, headKey)
	if err != nil {
		return Row{}, index, trace.Wrap(err)
	}
	if row.Version > 0 {
		err = json.Unmarshal(row.Value, &index)
	}
	return row, index, trace.Wrap(err, "decoding row %q", headKey)
}

func (configs *Configs) readFile(ctx context.Context, name string) (greengageroute.FileVersion, error) {
	var file greengageroute.FileVersion
	row, err := configs.table.Read(ctx, filePrefix+name)
	if err == nil && row.Version > 0 {
		err = json.Unmarshal(row.Value, &file)
	}
	return file, trace.Wrap(err, "reading file %q", name)
}

// Apply replaces the whole text of a file and returns the resulting
// configuration. If the proposal's apply ID was accepted before, it returns the
// current configuration. The error is a *greengageroute.ValidationError, a
// *StaleBaseError, an *UnavailableError if nothing was changed, or an
// *UncertainError if the same proposal has to be sent again to learn its outcome.
func (configs *Configs) Apply(ctx context.Context, known *greengageroute.Config, proposal Proposal) (*greengageroute.Config, error) {
	var uncertainErr error
	for range applyAttempts {
		config, err := configs.tryApply(ctx, known, proposal)
		var conflict *ConflictError
		var uncertain *UncertainError
		switch {
		case err == nil:
			return config, nil
		case errors.As(err, &conflict):
		case errors.As(err, &uncertain):
			// The write is conditional on the head row's version, so a retry
			// either finds the apply ID accepted or takes effect once.
			uncertainErr = err
		case uncertainErr != nil && !isRejection(err):
			uncertainErr = &UncertainError{Cause: err}
		default:
			return nil, trace.Wrap(err)
		}
		if latest, err := configs.Latest(ctx, known); err == nil {
			known = latest
		}
		greengageroute.Sleep(ctx, applyRetryDelay)
	}
	if uncertainErr != nil {
		return nil, uncertainErr
	}
	return nil, &UnavailableError{Cause: fmt.Errorf("file %q: all %d attempts conflicted with other changes", proposal.Name, applyAttempts)}
}

func isRejection(err error) bool {
	var stale *StaleBaseError
	var invalid *greengageroute.ValidationError
	return errors.As(err, &stale) || errors.As(err, &invalid)
}

func (configs *Configs) tryApply(ctx context.Context, known *greengageroute.Config, proposal Proposal) (*greengageroute.Config, error) {
	known, err := configs.Latest(ctx, known)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	current, _ := known.Version(proposal.Name)
	if current.ApplyID == proposal.ApplyID {
		return known, nil
	}
	if current.Version != proposal.BaseVersion {
		return configs.findAccepted(ctx, known, current, proposal)
	}
	next := greengageroute.FileVersion{
		Name: proposal.Name, Text: proposal.Text, Version: current.Version + 1, Revision: known.Revision() + 1,
		ApplyID: proposal.ApplyID, Actor: proposal.Actor,
	}
	config, err := known.WithFiles(next.Revision, next)
	if err != nil {
		return nil, err
	}
	return config, trace.Wrap(configs.commit(ctx, config, current, next))
}

func (configs *Configs) commit(ctx context.Context, config *greengageroute.Config, current, next greengageroute.FileVersion) error {
	index := fileRevisions{Files: map[string]uint64{}}
	for name, version := range config.Versions() {
		index.Files[name] = version.Revision
	}
	record := greengageroute.AuditRecord{
		Revision: next.Revision, At: time.Now().UTC(), Actor: next.Actor, Subject: next.Name, From: current.Version, To: next.Version,
		Changes: greengageroute.DiffFiles(next.Name, current.Text, next.Text), ApplyID: next.ApplyID,
	}
	writes, err := encodeWrites(
		rowWrite{headKey, next.Revision - 1, index},
		rowWrite{filePrefix + next.Name, current.Version, next},
		rowWrite{auditKey(next.Revision), 0, record},
	)
	if err != nil {
		return err
	}
	return configs.table.Commit(ctx, writes...)
}

// findAccepted returns the known configuration if the audit trail shows that the
// proposal was accepted and a later change replaced it, else a *StaleBaseError.
func (configs *Configs) findAccepted(ctx context.Context, known *greengageroute.Config, current greengageroute.FileVersion, proposal Proposal) (*greengageroute.Config, error) {
	stale := &StaleBaseError{File: proposal.Name, BaseVersion: proposal.BaseVersion, Version: current.Version, Actor: current.Actor}
	records, err := configs.AuditTrail(ctx, known.Revision()-min(known.Revision(), auditWindow))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, record := range records {
		if record.ApplyID == proposal.ApplyID {
			return known, nil
		}
		if record.Revision == current.Revision {
			stale.AppliedAt = record.At
		}
	}
	return nil, stale
}

// AuditTrail returns the records of the changes accepted after a revision,
// oldest first.
func (configs *Configs) AuditTrail(ctx context.Context, after uint64) ([]greengageroute.AuditRecord, error) {
	return scanAll[greengageroute.AuditRecord](ctx, configs.table, auditPrefix, auditKey(after))
}

func auditKey(revision uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, revision) }
