// Package operator implements the operators' HTTP service: it applies and checks
// configuration files, marks what has to drain, and returns the status and the
// audit trail.
package operator

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/caller"
	genoperator "greengageroute.example/greengageroute/gen/operator"
	"greengageroute.example/greengageroute/table"
)

const (
	drainAttempts = 5

	// bootstrapTeam is the team that the token in the settings authenticates.
	bootstrapTeam = "bootstrap"
)

// Counters of the operator service; docs/OPERATIONS.md lists them.
const (
	CountApplied = "operator-applied"
	CountRefused = "operator-refused"
	CountDenied  = "operator-denied"
)

type (
	// State is the entry as the operator service uses it.
	State interface {
		Config() *greengageroute.Config
		// ConfigAccepted adopts a configuration that the platform accepted from this entry.
		ConfigAccepted(config *greengageroute.Config)
		// Status returns the entries and groups as this entry knows them.
		Status() *genoperator.SystemStatus
		// UnreachableDataCentres returns the data centres of which no entry responds.
		UnreachableDataCentres(ctx context.Context) []string
	}

	// Configs stores the configuration files and their audit trail.
	Configs interface {
		Apply(ctx context.Context, known *greengageroute.Config, proposal table.Proposal) (*greengageroute.Config, error)
		AuditTrail(ctx context.Context, after uint64) ([]greengageroute.AuditRecord, error)
	}

	// Fleets returns the audit trail of the groups.
	Fleets interface {
		AuditTrail(ctx context.Context) ([]greengageroute.AuditRecord, error)
	}

	// Service implements genoperator.Service.
	Service struct {
		state         State
		configs       Configs
		fleets        Fleets
		bootstrapHash string
		counters      *expvar.Map
	}
)

// New returns the service. bootstrapHash is the hash of a token that has every
// scope on every file; if it is empty, there is no such token.
func New(state State, configs Configs, fleets Fleets, bootstrapHash string, counters *expvar.Map) *Service {
	return &Service{state: state, configs: configs, fleets: fleets, bootstrapHash: bootstrapHash, counters: counters}
}

// Authorize returns the team of an Authorization header if the team has the scope
// for the file. If the file is empty, only the scope is checked.
func (service *Service) Authorize(header *string, scope, file string) (greengageroute.Team, error) {
	team, err := service.authenticate(header)
	if err != nil {
		service.counters.Add(CountDenied, 1)
		return team, err
	}
	if !team.Allows(scope, file) {
		service.counters.Add(CountDenied, 1)
		subject := "this request"
		if file != "" {
			subject = "file " + file
		}
		return team, &caller.Refusal{
			Status: http.StatusForbidden, Code: "forbidden",
			Message: "team " + team.Name + " does not have the scope " + scope + " for " + subject + "; ask the owners of the teams file to grant it",
		}
	}
	return team, nil
}

func (service *Service) authenticate(header *string) (greengageroute.Team, error) {
	token, err := caller.BearerToken(header)
	if err != nil {
		return greengageroute.Team{}, err
	}
	if service.bootstrapHash != "" && greengageroute.HashKey(token) == service.bootstrapHash {
		return greengageroute.Team{
			Name: bootstrapTeam, Files: []string{"*"},
			Scopes: []string{greengageroute.ScopeRead, greengageroute.ScopeApply, greengageroute.ScopeDrain},
		}, nil
	}
	return service.state.Config().TeamByToken(token)
}

// Apply stores a new version of a file and returns its version and revision.
func (service *Service) Apply(ctx context.Context, payload *genoperator.ApplyPayload) (*genoperator.Applied, error) {
	team, err := service.Authorize(payload.Authorization, greengageroute.ScopeApply, payload.Name)
	if err != nil {
		return nil, err
	}
	if payload.EveryDataCentre != nil && *payload.EveryDataCentre {
		if unreachable := service.state.UnreachableDataCentres(ctx); len(unreachable) > 0 {
			return nil, &caller.Refusal{
				Status: http.StatusServiceUnavailable, Code: "data-centre-unheard",
				Message: "no entry of data centre " + unreachable[0] + " responds; retry later or apply without --every-data-centre",
			}
		}
	}
	return service.apply(ctx, table.Proposal{
		Name: payload.Name, Text: payload.Text, BaseVersion: payload.Base, ApplyID: payload.ApplyID, Actor: team.Name,
	})
}

func (service *Service) apply(ctx context.Context, proposal table.Proposal) (*genoperator.Applied, error) {
	config, err := service.configs.Apply(ctx, service.state.Config(), proposal)
	if err != nil {
		service.counters.Add(CountRefused, 1)
		return nil, refusalFor(err)
	}
	service.counters.Add(CountApplied, 1)
	service.state.ConfigAccepted(config)
	version, _ := config.Version(proposal.Name)
	return &genoperator.Applied{Name: proposal.Name, Version: version.Version, Revision: version.Revision}, nil
}

// refusalFor maps an error of the platform to the response that the operator gets.
func refusalFor(err error) error {
	var invalid *greengageroute.ValidationError
	var stale *table.StaleBaseError
	var unavailable *table.UnavailableError
	var uncertain *table.UncertainError
	refusal := &caller.Refusal{Message: err.Error()}
	switch {
	case errors.As(err, &invalid):
		refusal.Status, refusal.Code, refusal.Message = http.StatusUnprocessableEntity, "faults", invalid.Error()
	case errors.As(err, &stale):
		refusal.Status, refusal.Code, refusal.Message = http.StatusConflict, "conflict", stale.Error()
	case errors.As(err, &uncertain):
		refusal.Status, refusal.Code = http.StatusGatewayTimeout, "uncertain"
		refusal.Message = "the platform did not respond, so the file may have been applied; apply it again with the same apply ID"
	case errors.As(err, &unavailable):
		refusal.Status, refusal.Code = http.StatusServiceUnavailable, "platform-unavailable"
		refusal.Message = "the platform is unavailable and nothing was changed; apply again later"
	default:
		return trace.Wrap(err)
	}
	return refusal
}

// File returns the version of a file that is in force.
func (service *Service) File(_ context.Context, payload *genoperator.FilePayload) (*genoperator.FileInForce, error) {
	if _, err := service.Authorize(payload.Authorization, greengageroute.ScopeRead, payload.Name); err != nil {
		return nil, err
	}
	version, ok := service.state.Config().Version(payload.Name)
	if !ok {
		return nil, trace.NotFound("no file %q is in force; apply it with base 0 to create it", payload.Name)
	}
	return &genoperator.FileInForce{Name: version.Name, Text: version.Text, Version: version.Version, Revision: version.Revision}, nil
}

// Check validates a file against the configuration in force without applying it.
func (service *Service) Check(_ context.Context, payload *genoperator.CheckPayload) (*genoperator.Checked, error) {
	if _, err := service.Authorize(payload.Authorization, greengageroute.ScopeRead, payload.Name); err != nil {
		return nil, err
	}
	config := service.state.Config()
	current, _ := config.Version(payload.Name)
	checked := &genoperator.Checked{Base: current.Version, Faults: []string{}}
	current.Name, current.Text = payload.Name, payload.Text
	_, err := config.WithFiles(config.Revision(), current)
	var invalid *greengageroute.ValidationError
	if errors.As(err, &invalid) {
		checked.Faults = invalid.Lines()
	}
	return checked, nil
}

// Status returns the status of the system as this entry knows it.
func (service *Service) Status(_ context.Context, payload *genoperator.StatusPayload) (*genoperator.SystemStatus, error) {
	if _, err := service.Authorize(payload.Authorization, greengageroute.ScopeRead, ""); err != nil {
		return nil, err
	}
	return service.state.Status(), nil
}

// Drain adds a drain mark or, with Undo, removes it. The marks are kept in a
// configuration file of their own, so that they are distributed like any other
// file. A conflict with a concurrent change is retried.
func (service *Service) Drain(ctx context.Context, payload *genoperator.DrainPayload) (*genoperator.Applied, error) {
	team, err := service.Authorize(payload.Authorization, greengageroute.ScopeDrain, "")
	if err != nil {
		return nil, err
	}
	undo := payload.Undo != nil && *payload.Undo
	drain := greengageroute.Drain{Kind: payload.Kind, Name: payload.Name}
	var applied *genoperator.Applied
	for range drainAttempts {
		applied, err = service.setDrain(ctx, team.Name, drain, undo)
		var refusal *caller.Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusConflict {
			return applied, err
		}
		time.Sleep(time.Duration(drainAttempts) * time.Millisecond)
	}
	return applied, err
}

func (service *Service) setDrain(ctx context.Context, actor string, drain greengageroute.Drain, undo bool) (*genoperator.Applied, error) {
	config := service.state.Config()
	current, _ := config.Version(greengageroute.DrainsFile)
	drains := slices.DeleteFunc(config.Drains(), func(other greengageroute.Drain) bool { return other == drain })
	if !undo {
		drains = append(drains, drain)
	}
	text, err := yaml.Marshal(map[string][]greengageroute.Drain{"drains": drains})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return service.apply(ctx, table.Proposal{
		Name: greengageroute.DrainsFile, Text: string(text), BaseVersion: current.Version, ApplyID: uuid.NewString(), Actor: actor,
	})
}

// Audit returns the audit trail of the files and the groups, ordered by time.
func (service *Service) Audit(ctx context.Context, payload *genoperator.AuditPayload) (*genoperator.Trail, error) {
	if _, err := service.Authorize(payload.Authorization, greengageroute.ScopeRead, ""); err != nil {
		return nil, err
	}
	after := uint64(0)
	if payload.After != nil {
		after = *payload.After
	}
	records, err := service.configs.AuditTrail(ctx, after)
	if err != nil {
		return nil, refusalFor(err)
	}
	fleetRecords, err := service.fleets.AuditTrail(ctx)
	if err != nil {
		return nil, refusalFor(err)
	}
	records = append(records, fleetRecords...)
	slices.SortStableFunc(records, func(a, b greengageroute.AuditRecord) int { return a.At.Compare(b.At) })
	trail := &genoperator.Trail{Changes: []*genoperator.Change{}}
	for _, record := range records {
		trail.Changes = append(trail.Changes, &genoperator.Change{
			Revision: record.Revision, At: record.At.UTC().Format(time.RFC3339Nano), Who: record.Actor,
			Subject: record.Subject, From: record.From, To: record.To, What: record.Changes,
		})
	}
	return trail, nil
}
