package caller

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	gencaller "greengageroute.example/greengageroute/gen/caller"
	"greengageroute.example/greengageroute/target"
)

const (
	// minChargedAnswer is the length up to which answers are not charged to the budget. They are
	// bounded by the number of connections.
	minChargedAnswer = 4 << 10
	// storedCopies is how many copies of an answer there are at most while it is stored or read
	// from the store.
	storedCopies = 4
)

var idempotencyKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

type (
	// serviceRequest is a checked call of a plain service.
	serviceRequest struct {
		workspace greengageroute.Workspace
		service   greengageroute.Service
		call      target.ServiceCall
		targets   []string // in the order in which they are tried
		digest    string
		// firstAttempt reports whether the caller states that no other request was
		// sent under the idempotency key.
		firstAttempt bool
	}
)

// Call implements the caller service of the design.
func (service *Service) Call(ctx context.Context, payload *gencaller.CallPayload, body io.ReadCloser) (*gencaller.CallResult, io.ReadCloser, error) {
	service.counters.Add(CountCalls, 1)
	workspace, err := service.authenticate(payload.Authorization)
	if err != nil {
		return nil, nil, err
	}
	request, err := service.newServiceRequest(ctx, workspace, payload, body)
	if err != nil {
		return nil, nil, err
	}
	release, err := service.callAdmission.Acquire(ctx, service.admissionRequest(request))
	if err != nil {
		return nil, nil, service.refuseUnsent(request, err.Error(), err)
	}
	defer release()
	var answer greengageroute.Answer
	if request.call.Key == "" {
		answer, err = service.callWithRetries(ctx, request)
	} else {
		answer, err = service.runAtMostOnce(ctx, request)
	}
	if err != nil {
		return nil, nil, err
	}
	exchangeFrom(ctx).status = answer.Status
	return &gencaller.CallResult{ContentType: answer.ContentType}, io.NopCloser(bytes.NewReader(answer.Body)), nil
}

func (service *Service) newServiceRequest(ctx context.Context, workspace greengageroute.Workspace, payload *gencaller.CallPayload, body io.Reader) (serviceRequest, error) {
	config := service.state.Config()
	declared, err := config.Service(payload.Service)
	if err != nil {
		return serviceRequest{}, err
	}
	if err := checkAllowed(workspace.Services, "service", declared.Name, workspace.Name); err != nil {
		return serviceRequest{}, err
	}
	raw, err := readBody(ctx, body)
	if err != nil {
		return serviceRequest{}, err
	}
	incoming := exchangeFrom(ctx).request
	path := "/" + payload.Path
	call := target.ServiceCall{Method: incoming.Method, Path: path, Body: raw}
	if incoming.URL != nil && incoming.URL.RawQuery != "" {
		call.Path += "?" + incoming.URL.RawQuery
	}
	if payload.ContentType != nil {
		call.ContentType = *payload.ContentType
	}
	if !declared.CallFor(call.Method, path).Idempotent {
		if payload.IdempotencyKey == nil || !idempotencyKeyPattern.MatchString(*payload.IdempotencyKey) {
			return serviceRequest{}, trace.BadParameter("%s %s may not be retried; send an Idempotency-Key of up to 128 letters, digits, dots, dashes, colons or underscores, new for each action", call.Method, path)
		}
		call.Key = *payload.IdempotencyKey
	}
	return serviceRequest{
		workspace: workspace, service: declared, call: call, targets: service.orderTargets(declared, workspace.Name+call.Key),
		firstAttempt: payload.FirstAttempt != nil && *payload.FirstAttempt,
		digest:       hex.EncodeToString(requestDigest(declared.Name, call.Method, call.Path, string(raw))),
	}, nil
}

// orderTargets returns the targets that are not draining, in rendezvous order of
// the key.
func (service *Service) orderTargets(declared greengageroute.Service, key string) []string {
	config := service.state.Config()
	var addresses []string
	for _, candidate := range declared.Targets {
		if !config.Draining(greengageroute.DrainTarget, candidate.Address) {
			addresses = append(addresses, candidate.Address)
		}
	}
	return greengageroute.Rendezvous(key, addresses, len(addresses))
}

func (service *Service) admissionRequest(request serviceRequest) greengageroute.AdmissionRequest {
	path, _, _ := strings.Cut(request.call.Path, "?")
	class := request.service.CallFor(request.call.Method, path).Class
	if class == "" {
		class = request.workspace.Class
	}
	return greengageroute.AdmissionRequest{
		Workspace: request.workspace.Name, Share: request.workspace.Share,
		Class: service.state.Config().Class(class), Cost: 1,
	}
}

// callWithRetries sends an idempotent call. If a target fails and the retry
// budget allows, it tries the next target.
func (service *Service) callWithRetries(ctx context.Context, request serviceRequest) (greengageroute.Answer, error) {
	service.retryBudget.RecordRequest()
	ctx, cancel := context.WithTimeout(ctx, request.service.Timeout)
	defer cancel()
	var lastErr error
	for i, address := range request.targets {
		if i > 0 && !service.retryBudget.AllowRetry() {
			break
		}
		answer, err := service.targets.Call(ctx, address, request.call)
		if err == nil {
			return answer, holdAnswer(ctx, answer, 1)
		}
		if isOverBudget(err) { // says nothing of the target
			return greengageroute.Answer{}, bodyError(err)
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	if lastErr == nil {
		lastErr = errors.New("every target is draining")
	}
	return greengageroute.Answer{}, &Refusal{
		Status: http.StatusBadGateway, Code: "no-target", RetryAfter: time.Second,
		Message: "service " + request.service.Name + " gave no answer (" + lastErr.Error() + "); send the request again",
	}
}

// holdAnswer charges an answer, of which there are some copies, until the request ends.
func holdAnswer(ctx context.Context, answer greengageroute.Answer, copies int64) error {
	if len(answer.Body) <= minChargedAnswer {
		return nil
	}
	if err := exchangeFrom(ctx).holding.Reserve(int64(len(answer.Body)) * copies); err != nil {
		return bodyError(err)
	}
	return nil
}

// Action implements the caller service of the design.
func (service *Service) Action(ctx context.Context, payload *gencaller.ActionPayload) (*gencaller.ActionOutcome, error) {
	workspace, err := service.authenticate(payload.Authorization)
	if err != nil {
		return nil, err
	}
	stored, err := service.actions.Get(ctx, workspace.Name, payload.Key)
	if err != nil {
		return nil, unknownOutcome(payload.Key)
	}
	if stored.Version == 0 {
		return nil, trace.NotFound("no action has the key %q; no call was run under this key, or its claim is not yet written", payload.Key)
	}
	stored = service.awaitOutcome(ctx, stored)
	outcome := &gencaller.ActionOutcome{Outcome: stored.Outcome()}
	switch stored.Outcome() {
	case greengageroute.OutcomeDone:
		if err := holdAnswer(ctx, stored.Answer, storedCopies); err != nil {
			return nil, err
		}
		text := string(stored.Answer.Body)
		outcome.Status, outcome.ContentType, outcome.Answer = &stored.Answer.Status, &stored.Answer.ContentType, &text
	case greengageroute.OutcomeUnknown:
		outcomePath := "/actions/" + payload.Key
		outcome.Ask = &outcomePath
	}
	return outcome, nil
}

// Health implements the caller service of the design.
func (service *Service) Health(context.Context) (*gencaller.HealthState, error) {
	config := service.state.Config()
	if service.state.Stopping() {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: "stopping", Message: "the entry is stopping; send the request to another entry"}
	}
	if config.Revision() == 0 {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: "no-configuration", Message: "the entry has no configuration yet; apply a file, or wait until the platform or another entry sends one"}
	}
	return &gencaller.HealthState{Entry: service.entry, Revision: config.Revision()}, nil
}
