package caller

import (
	"context"
	"encoding/hex"
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
	// groupPoll is how often an entry without a servable group looks again.
	groupPoll = 50 * time.Millisecond
	// suspectPause lets news of a death reach the other entries before a
	// request that may have caused it is run again.
	suspectPause = 250 * time.Millisecond
)

type (
	// run is one chat completion under way: the pick, send and deliver filters,
	// with what moves a request to another group.
	run struct {
		service    *Service
		class      greengageroute.Class
		digest     string
		generation target.GenerateRequest
		prefix     string
		first      bool // a token was delivered
		avoid      greengageroute.Set[string]

		choice greengageroute.GroupChoice
		group  greengageroute.Group
		stream *target.Stream
		ctx    context.Context // ends when the group is lost
		end    func()
	}
)

func (service *Service) newRun(workspace greengageroute.Workspace, completion Completion, digest []byte, from int, seed uint64) *run {
	prompt := completion.prompt()
	class := service.state.Config().Class(workspace.Class)
	return &run{
		service: service, class: class, digest: hex.EncodeToString(digest),
		prefix: greengageroute.PrefixKey(completion.Model, prompt), avoid: greengageroute.Set[string]{},
		generation: target.GenerateRequest{
			ID: uuid.NewString(), Model: completion.Model, Prompt: prompt, Seed: seed, From: from,
			MaxTokens: completion.MaxTokens, Priority: class.Rank,
		},
	}
}

// next returns the next token in order, target.ErrAnswerComplete behind the last, or why
// the answer cannot be completed. A group that is lost is replaced by another.
func (run *run) next(ctx context.Context) (target.Chunk, error) {
	for {
		if run.stream == nil {
			if err := run.open(ctx); err != nil {
				return target.Chunk{}, err
			}
		}
		chunk, err := run.stream.Next(run.ctx)
		switch {
		case err == nil:
			run.delivered(chunk)
			return chunk, nil
		case errors.Is(err, target.ErrAnswerComplete):
			run.service.quarantine.RecordSuccess(run.digest)
			return chunk, err
		case ctx.Err() != nil:
			return target.Chunk{}, trace.Wrap(ctx.Err())
		}
		if err := run.failover(ctx, err); err != nil {
			return target.Chunk{}, err
		}
	}
}

func (run *run) delivered(chunk target.Chunk) {
	if !run.first {
		run.first = true
		run.service.router.RecordFirstToken(run.choice, time.Now())
	}
	run.generation.From = chunk.Offset + 1
	run.service.counters.Add(CountTokens, 1)
}

// open picks groups until one takes the request.
func (run *run) open(ctx context.Context) error {
	for {
		group, err := run.pick(ctx)
		if err != nil {
			return err
		}
		run.group = group
		run.generation.Group, run.generation.Generation = group.Name, group.Generation
		run.ctx, run.end = run.service.flights.Start(ctx, group)
		until := func() time.Time { return run.service.state.WholeUntil(group) }
		reattached := func() { run.service.counters.Add(CountReattached, 1) }
		run.stream, err = run.service.targets.Generate(run.ctx, group.Leader().Address, run.generation, until, reattached)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			run.leave()
			return trace.Wrap(ctx.Err())
		}
		if err := run.failover(ctx, err); err != nil {
			return err
		}
	}
}

// pick waits for a servable group for as long as the class's deadline. For half
// of that time a suspected request waits for one that runs nothing.
func (run *run) pick(ctx context.Context) (greengageroute.Group, error) {
	began := time.Now()
	for {
		now := time.Now()
		suspicion := run.service.quarantine.Check(run.digest, now)
		if suspicion == greengageroute.QuarantineRefused {
			return greengageroute.Group{}, quarantined()
		}
		candidates := slices.DeleteFunc(run.service.state.Servable(run.generation.Model, now), func(candidate greengageroute.GroupCandidate) bool {
			return run.avoid.Has(candidate.Group.Assignment())
		})
		if suspicion == greengageroute.QuarantineIsolated && now.Sub(began) < run.class.Deadline/2 {
			candidates = run.quiet(candidates)
		}
		if run.choice = run.service.router.Pick(run.prefix, candidates, now); run.choice.Index >= 0 {
			return candidates[run.choice.Index].Group, nil
		}
		if now.Sub(began) > run.class.Deadline {
			return greengageroute.Group{}, noGroup(run.generation.Model)
		}
		select {
		case <-ctx.Done():
			return greengageroute.Group{}, trace.Wrap(ctx.Err())
		case <-time.After(groupPoll):
		}
	}
}

// quiet keeps the candidates that run nothing, so that a suspected request
// takes no other down with it.
func (run *run) quiet(candidates []greengageroute.GroupCandidate) []greengageroute.GroupCandidate {
	return slices.DeleteFunc(candidates, func(candidate greengageroute.GroupCandidate) bool {
		return candidate.ReportedStreams > 0 || run.service.flights.Count(candidate.Group.Name) > 0
	})
}

// failover notes why the group gave no more and decides whether the request may
// go on elsewhere.
func (run *run) failover(ctx context.Context, cause error) error {
	group := run.group
	run.leave()
	run.service.counters.Add(CountFailovers, 1)
	death := group.Assignment()
	run.avoid.Add(death)
	var refused *target.RefusedError
	if errors.As(cause, &refused) {
		// The group changed before this entry heard of it; nothing died.
		run.service.state.GroupFailed(group, refused.Error())
		return nil
	}
	run.service.state.GroupFailed(group, cause.Error())
	run.service.quarantine.RecordCrash(run.digest, death, time.Now())
	run.service.state.RequestDied(run.digest, death)
	if !run.service.budget.Take() {
		return &Refusal{
			Status: 503, Code: "group-lost", RetryAfter: time.Second,
			Message: fmt.Sprintf("group %q was lost and the retry budget is used up; send the request again", group.Name),
		}
	}
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(suspectPause):
		return nil
	}
}

// leave ends the request's stay at its group.
func (run *run) leave() {
	if run.stream != nil {
		run.stream.Close()
		run.stream = nil
	}
	if run.end != nil {
		run.end()
		run.end = nil
		run.service.router.Done(run.choice, time.Now())
	}
}

func quarantined() *Refusal {
	return &Refusal{
		Status: 422, Code: "quarantined", RetryAfter: greengageroute.QuarantineDuration,
		Message: "the groups that ran this request died; change the request or send it again later",
	}
}

func noGroup(model string) *Refusal {
	return &Refusal{
		Status: 503, Code: "no-group", RetryAfter: time.Second, Outcome: greengageroute.OutcomeNotRun,
		Message: fmt.Sprintf("no group of model %q is in service; send the request again", model),
	}
}
