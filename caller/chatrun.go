package caller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/target"
)

const (
	// groupPollInterval is the time between checks for an available group.
	groupPollInterval = 50 * time.Millisecond
	// failoverDelay lets a crash report reach the other entries before the
	// request that may have caused the crash is run again.
	failoverDelay = 250 * time.Millisecond
)

type (
	// chatRun is a running chat completion. It implements the filters pick, send and
	// deliver, and the failover to another group.
	chatRun struct {
		service         *Service
		class           greengageroute.Class
		causes          chatCauses
		progress        greengageroute.AnswerProgress // of the group that runs the request
		generateRequest target.GenerateRequest
		prefixKey       string
		tokenDelivered  bool
		hasFailed       bool          // at a group
		waited          time.Duration // for groups, since the last token

		choice       greengageroute.GroupChoice
		group        greengageroute.Group
		stream       *target.Stream
		groupContext context.Context // ends when the group is found out of service
		endRequest   func()
	}
)

func (service *Service) newChatRun(workspace greengageroute.Workspace, completion Completion, causes chatCauses, from int, seed uint64) *chatRun {
	prompt := completion.prompt()
	class := service.state.Config().Class(workspace.Class)
	return &chatRun{
		service: service, class: class, causes: causes,
		prefixKey: greengageroute.PrefixKey(completion.Model, prompt),
		generateRequest: target.GenerateRequest{
			ID: uuid.NewString(), Model: completion.Model, Prompt: prompt, Seed: seed, From: from,
			MaxTokens: completion.MaxTokens, Priority: class.Rank,
		},
	}
}

// next returns the next token in order, target.ErrAnswerComplete after the last, or the
// error that prevents the answer from being completed. If the group fails, the
// run continues on another group.
func (run *chatRun) next(ctx context.Context) (target.Chunk, error) {
	for {
		if run.stream == nil {
			if err := run.openStream(ctx); err != nil {
				return target.Chunk{}, err
			}
		}
		chunk, err := run.stream.Next(run.groupContext)
		switch {
		case err == nil:
			run.recordToken(chunk)
			return chunk, nil
		case errors.Is(err, target.ErrAnswerComplete):
			run.recordSound()
			return chunk, err
		case ctx.Err() != nil:
			return target.Chunk{}, trace.Wrap(ctx.Err())
		case isOverBudget(err): // says nothing of the group
			return target.Chunk{}, bodyError(err)
		}
		if err := run.failover(ctx, err); err != nil {
			return target.Chunk{}, err
		}
	}
}

func (run *chatRun) recordToken(chunk target.Chunk) {
	if !run.tokenDelivered {
		run.tokenDelivered = true
		run.service.router.RecordFirstToken(run.choice, time.Now())
	}
	wasSound := run.progress.IsSound()
	run.progress = run.progress.WithPiece(time.Now())
	if !wasSound && run.progress.IsSound() {
		run.recordSound()
	}
	run.generateRequest.From, run.waited = chunk.Offset+1, 0
	run.service.counters.Add(CountTokens, 1)
}

// openStream picks groups until one accepts the request.
func (run *chatRun) openStream(ctx context.Context) error {
	for {
		group, err := run.pickGroup(ctx)
		if err != nil {
			return err
		}
		run.group, run.progress = group, greengageroute.AnswerProgress{}
		run.generateRequest.Group, run.generateRequest.Generation = group.Name, group.Generation
		run.groupContext, run.endRequest = run.service.inFlight.Start(ctx, group)
		healthyUntil := func() time.Time { return run.service.state.HealthyUntil(group) }
		onReconnect := func() { run.service.counters.Add(CountReconnected, 1) }
		run.stream, err = run.service.targets.Generate(run.groupContext, group.Leader().Address, run.generateRequest, healthyUntil, onReconnect)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			run.leaveGroup()
			return trace.Wrap(ctx.Err())
		}
		if err := run.failover(ctx, err); err != nil {
			return err
		}
	}
}

// pickGroup waits for an available group until the class's deadline, in which the waits since the
// last token count together. For half of that time an isolated request accepts only a group that
// runs no other request. A group that failed is available again once a later probe has found it
// whole in the same boots: it was only silent, and may be the only one.
func (run *chatRun) pickGroup(ctx context.Context) (greengageroute.Group, error) {
	start := time.Now().Add(-run.waited)
	defer func() { run.waited = time.Since(start) }()
	for {
		now := time.Now()
		decision := run.service.quarantine.Check(run.causes.request, run.causes.parts, false, now)
		if decision.State == greengageroute.QuarantineRefused && run.hasFailed {
			return greengageroute.Group{}, quarantined(decision)
		}
		candidates := run.service.state.Available(run.generateRequest.Model, now)
		if decision.State == greengageroute.QuarantineIsolated && now.Sub(start) < run.class.Deadline/2 {
			candidates = run.idleCandidates(candidates)
		}
		if run.choice = run.service.router.Pick(run.prefixKey, candidates, now); run.choice.Index >= 0 {
			return candidates[run.choice.Index].Group, nil
		}
		if now.Sub(start) > run.class.Deadline {
			return greengageroute.Group{}, noGroup(run.generateRequest.Model)
		}
		select {
		case <-ctx.Done():
			return greengageroute.Group{}, trace.Wrap(ctx.Err())
		case <-time.After(groupPollInterval):
		}
	}
}

// idleCandidates returns the candidates that run no request, so that a crash by
// an isolated request fails no other request.
func (run *chatRun) idleCandidates(candidates []greengageroute.GroupCandidate) []greengageroute.GroupCandidate {
	return slices.DeleteFunc(candidates, func(candidate greengageroute.GroupCandidate) bool {
		return candidate.ReportedStreams > 0 || run.service.inFlight.Count(candidate.Group.Name) > 0
	})
}

// failover records why the group failed and returns an error if the request may
// not continue on another group.
func (run *chatRun) failover(ctx context.Context, cause error) error {
	group := run.group
	run.leaveGroup()
	run.service.counters.Add(CountFailovers, 1)
	assignment := group.Assignment()
	run.hasFailed = true
	var refused *target.RefusedError
	if errors.As(cause, &refused) {
		// The group changed before this entry learnt of it. Nothing crashed.
		run.service.state.RecordGroupFailure(group, refused.Error())
		return nil
	}
	run.service.state.RecordGroupFailure(group, cause.Error())
	if !run.progress.IsSound() {
		run.recordCrash(assignment)
	}
	if !run.service.retryBudget.AllowRetry() {
		return &Refusal{
			Status: 503, Code: "group-lost", RetryAfter: time.Second,
			Message: fmt.Sprintf("group %q failed and the retry budget is used up; send the request again", group.Name),
		}
	}
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(failoverDelay):
		return nil
	}
}

// leaveGroup closes the stream and removes the request from its group.
func (run *chatRun) leaveGroup() {
	if run.stream != nil {
		run.stream.Close()
		run.stream = nil
	}
	if run.endRequest != nil {
		run.endRequest()
		run.endRequest = nil
		run.service.router.Done(run.choice, time.Now())
	}
}

func noGroup(model string) *Refusal {
	return &Refusal{
		Status: 503, Code: "no-group", RetryAfter: time.Second, Outcome: greengageroute.OutcomeNotRun,
		Message: fmt.Sprintf("no group of model %q is available; send the request again", model),
	}
}
