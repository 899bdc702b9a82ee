package caller

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	gencaller "greengageroute.example/greengageroute/gen/caller"
)

const (
	contentJSON   = "application/json"
	contentEvents = "text/event-stream"
)

// Chat implements the caller service of the design.
func (service *Service) Chat(ctx context.Context, payload *gencaller.ChatPayload, body io.ReadCloser) (*gencaller.ChatResult, io.ReadCloser, error) {
	service.counters.Add(CountChats, 1)
	workspace, err := service.authenticate(payload.Authorization)
	if err != nil {
		return nil, nil, err
	}
	raw, err := readBody(ctx, body)
	if err != nil {
		return nil, nil, err
	}
	lastEventID := ""
	if payload.LastEventID != nil {
		lastEventID = *payload.LastEventID
	}
	return service.complete(ctx, workspace, raw, lastEventID, true)
}

// AnswerForwarded answers a chat completion that an entry of another data centre
// has authenticated. It is not forwarded again.
func (service *Service) AnswerForwarded(ctx context.Context, workspace string, raw []byte, lastEventID string) (*gencaller.ChatResult, io.ReadCloser, error) {
	known, err := service.state.Config().Workspace(workspace)
	if err != nil {
		return nil, nil, err
	}
	return service.complete(ctx, known, raw, lastEventID, false)
}

func (service *Service) complete(ctx context.Context, workspace greengageroute.Workspace, raw []byte, lastEventID string, forward bool) (*gencaller.ChatResult, io.ReadCloser, error) {
	completion, err := parseCompletion(raw)
	if err != nil {
		return nil, nil, err
	}
	if _, err := service.state.Config().Model(completion.Model); err != nil {
		return nil, nil, err
	}
	if err := mayUse(workspace.Models, "model", completion.Model, workspace.Name); err != nil {
		return nil, nil, err
	}
	answer := &chatBody{ctx: ctx, service: service, id: uuid.NewString(), digest: digestOf(workspace.Name, string(raw))}
	from, seed := 0, completion.seed(answer.id)
	if lastEventID != "" {
		event, err := service.resume(lastEventID, answer.digest)
		if err != nil {
			return nil, nil, err
		}
		from, seed = event.Offset+1, event.Seed
	}
	if err := service.quarantineCheck(answer.digest); err != nil {
		return nil, nil, err
	}
	if forward {
		if err := service.limits.Take(workspace, completion.MaxTokens-from, service.state.Entries(), time.Now()); err != nil {
			return nil, nil, err
		}
	}
	if len(service.state.Servable(completion.Model, time.Now())) == 0 {
		if !forward {
			return nil, nil, noGroup(completion.Model)
		}
		if result, body, err := service.elsewhere(ctx, workspace, raw, lastEventID); err == nil {
			return result, body, nil
		}
	}
	return service.answer(answer, workspace, completion, from, seed)
}

// elsewhere has the request answered in another data centre.
func (service *Service) elsewhere(ctx context.Context, workspace greengageroute.Workspace, raw []byte, lastEventID string) (*gencaller.ChatResult, io.ReadCloser, error) {
	forwarded, err := service.state.Elsewhere(ctx, workspace.Name, raw, lastEventID)
	if err != nil {
		return nil, nil, err
	}
	service.counters.Add(CountForwarded, 1)
	return &gencaller.ChatResult{ContentType: forwarded.ContentType}, &forwardedBody{forwarded.Body}, nil
}

func (service *Service) answer(answer *chatBody, workspace greengageroute.Workspace, completion Completion, from int, seed uint64) (*gencaller.ChatResult, io.ReadCloser, error) {
	var err error
	if answer.release, err = service.limit(answer.ctx, workspace, completion); err != nil {
		return nil, nil, err
	}
	service.budget.First()
	answer.run = service.newRun(workspace, completion, answer.digest, from, seed)
	if err := answer.begin(); err != nil {
		return nil, nil, err
	}
	if completion.Stream {
		return &gencaller.ChatResult{ContentType: contentEvents}, answer, nil
	}
	whole, err := answer.collect()
	if err != nil {
		return nil, nil, err
	}
	return &gencaller.ChatResult{ContentType: contentJSON}, whole, nil
}

func (service *Service) resume(id string, digest []byte) (Event, error) {
	event, err := service.events.Parse(id)
	if err != nil {
		return event, err
	}
	if !bytes.Equal(event.Digest, digest) {
		return event, trace.BadParameter("the Last-Event-ID belongs to another request; send the same body and key as at first")
	}
	return event, nil
}

func (service *Service) quarantineCheck(digest []byte) error {
	if service.quarantine.Check(hex.EncodeToString(digest), time.Now()) == greengageroute.QuarantineRefused {
		service.counters.Add(CountQuarantined, 1)
		return quarantined()
	}
	return nil
}

func (service *Service) limit(ctx context.Context, workspace greengageroute.Workspace, completion Completion) (func(), error) {
	return service.chats.Acquire(ctx, greengageroute.AdmissionRequest{
		Workspace: workspace.Name, Share: workspace.Share,
		Class: service.state.Config().Class(workspace.Class), Cost: float64(completion.MaxTokens),
	})
}
