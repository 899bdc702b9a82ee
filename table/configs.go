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
	headKey     = "config/head"
	filePrefix  = "config/file/"
	auditPrefix = "audit/config/"
	scanPage    = 500
	// auditWindow is how many revisions back an apply id is looked for.
	auditWindow   = 1000
	applyAttempts = 8
	applyPause    = 50 * time.Millisecond
)

type (
	// Configs keeps the configuration in the table. The version of the head row
	// is the configuration's revision, the version of a file's row the file's.
	Configs struct {
		table Table
	}

	// head says which revision each file was last changed by.
	head struct {
		Files map[string]uint64 `json:"files"`
	}

	// Proposal is a file that an operator wants in force.
	Proposal struct {
		Name    string
		Text    string
		Base    uint64 // version on which the text is based
		ApplyID string
		Who     string
	}

	// LostRaceError says that another operator changed the file first.
	LostRaceError struct {
		File    string
		Base    uint64
		Version uint64
		Who     string
		At      time.Time
	}
)

func (err *LostRaceError) Error() string {
	return fmt.Sprintf("file %q is at version %d, put in force by %s at %s, not at version %d; run \"greengageroute diff\" and apply again",
		err.File, err.Version, err.Who, err.At.UTC().Format(time.RFC3339), err.Base)
}

// NewConfigs returns the configuration kept in a table.
func NewConfigs(table Table) *Configs { return &Configs{table: table} }

// Latest returns the configuration in force, given one known earlier. Only the
// files changed since are read.
func (configs *Configs) Latest(ctx context.Context, known *greengageroute.Config) (*greengageroute.Config, error) {
	row, index, err := configs.head(ctx)
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
		file, err := configs.file(ctx, name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if file.Revision > row.Version { // changed again meanwhile
			return configs.Latest(ctx, known)
		}
		changed = append(changed, file)
	}
	config, err := known.WithFiles(row.Version, changed...)
	return config, trace.Wrap(err, "merging revision %d", row.Version)
}

func (configs *Configs) head(ctx context.Context) (Row, head, error) {
	index := head{Files: map[string]uint64{}}
	row, err := configs.table.Read(ctx, headKey)
	if err != nil {
		return Row{}, index, trace.Wrap(err)
	}
	if row.Version > 0 {
		err = json.Unmarshal(row.Value, &index)
	}
	return row, index, trace.Wrap(err, "decoding row %q", headKey)
}

func (configs *Configs) file(ctx context.Context, name string) (greengageroute.FileVersion, error) {
	var file greengageroute.FileVersion
	row, err := configs.table.Read(ctx, filePrefix+name)
	if err == nil && row.Version > 0 {
		err = json.Unmarshal(row.Value, &file)
	}
	return file, trace.Wrap(err, "reading file %q", name)
}

// Apply puts a file in force as a whole and returns the configuration that
// carries it. A proposal whose apply id was accepted before is answered with
// the configuration in force. Errors: *greengageroute.ValidationError,
// *LostRaceError, *UnavailableError if nothing was changed, *UncertainError if
// the same proposal has to be sent again to learn its outcome.
func (configs *Configs) Apply(ctx context.Context, known *greengageroute.Config, proposal Proposal) (*greengageroute.Config, error) {
	var lost error
	for range applyAttempts {
		config, err := configs.try(ctx, known, proposal)
		var conflict *ConflictError
		var uncertain *UncertainError
		switch {
		case err == nil:
			return config, nil
		case errors.As(err, &conflict):
		case errors.As(err, &uncertain):
			// The write is conditional on the head, so trying it again either
			// finds its own effect or takes effect once.
			lost = err
		case lost != nil && !isRefusal(err):
			lost = &UncertainError{Cause: err}
		default:
			return nil, trace.Wrap(err)
		}
		if latest, err := configs.Latest(ctx, known); err == nil {
			known = latest
		}
		greengageroute.Sleep(ctx, applyPause)
	}
	if lost != nil {
		return nil, lost
	}
	return nil, &UnavailableError{Cause: fmt.Errorf("file %q met %d other changes in a row", proposal.Name, applyAttempts)}
}

func isRefusal(err error) bool {
	var race *LostRaceError
	var faults *greengageroute.ValidationError
	return errors.As(err, &race) || errors.As(err, &faults)
}

func (configs *Configs) try(ctx context.Context, known *greengageroute.Config, proposal Proposal) (*greengageroute.Config, error) {
	known, err := configs.Latest(ctx, known)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	current, _ := known.Version(proposal.Name)
	if current.ApplyID == proposal.ApplyID {
		return known, nil
	}
	if current.Version != proposal.Base {
		return configs.superseded(ctx, known, current, proposal)
	}
	next := greengageroute.FileVersion{
		Name: proposal.Name, Text: proposal.Text, Version: current.Version + 1, Revision: known.Revision() + 1,
		ApplyID: proposal.ApplyID, Actor: proposal.Who,
	}
	config, err := known.WithFiles(next.Revision, next)
	if err != nil {
		return nil, err
	}
	return config, trace.Wrap(configs.commit(ctx, config, current, next))
}

func (configs *Configs) commit(ctx context.Context, config *greengageroute.Config, current, next greengageroute.FileVersion) error {
	index := head{Files: map[string]uint64{}}
	for name, version := range config.Versions() {
		index.Files[name] = version.Revision
	}
	change := greengageroute.AuditRecord{
		Revision: next.Revision, At: time.Now().UTC(), Actor: next.Actor, Subject: next.Name, From: current.Version, To: next.Version,
		Changes: greengageroute.DiffFiles(next.Name, current.Text, next.Text), ApplyID: next.ApplyID,
	}
	writes, err := encodeWrites(
		keyed{headKey, next.Revision - 1, index},
		keyed{filePrefix + next.Name, current.Version, next},
		keyed{auditKey(next.Revision), 0, change},
	)
	if err != nil {
		return err
	}
	return configs.table.Commit(ctx, writes...)
}

// superseded tells a proposal that was accepted and then replaced from one that
// lost the race.
func (configs *Configs) superseded(ctx context.Context, known *greengageroute.Config, current greengageroute.FileVersion, proposal Proposal) (*greengageroute.Config, error) {
	race := &LostRaceError{File: proposal.Name, Base: proposal.Base, Version: current.Version, Who: current.Actor}
	changes, err := configs.Trail(ctx, known.Revision()-min(known.Revision(), auditWindow))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, change := range changes {
		if change.ApplyID == proposal.ApplyID {
			return known, nil
		}
		if change.Revision == current.Revision {
			race.At = change.At
		}
	}
	return nil, race
}

// Trail returns the accepted changes after a revision, oldest first.
func (configs *Configs) Trail(ctx context.Context, after uint64) ([]greengageroute.AuditRecord, error) {
	return scanAll[greengageroute.AuditRecord](ctx, configs.table, auditPrefix, auditKey(after))
}

func auditKey(revision uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, revision) }
