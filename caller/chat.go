package caller

import (
	"bytes"
	"context"
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
	return service.completeChat(ctx, workspace, raw, lastEventID, true)
}

// AnswerForwarded serves a chat completion that an entry of another data centre
// has authenticated and forwarded. It is not forwarded again.
func (service *Service) AnswerForwarded(ctx context.Context, workspace string, raw []byte, lastEventID string) (*gencaller.ChatResult, io.ReadCloser, error) {
	found, err := service.state.Config().Workspace(workspace)
	if err != nil {
		return nil, nil, err
	}
	return service.completeChat(ctx, found, raw, lastEventID, false)
}

func (service *Service) completeChat(ctx context.Context, workspace greengageroute.Workspace, raw []byte, lastEventID string, mayForward bool) (*gencaller.ChatResult, io.ReadCloser, error) {
	completion, err := parseCompletion(raw)
	if err != nil {
		return nil, nil, err
	}
	if _, err := service.state.Config().Model(completion.Model); err != nil {
		return nil, nil, err
	}
	if err := checkAllowed(workspace.Models, "model", completion.Model, workspace.Name); err != nil {
		return nil, nil, err
	}
	answer := &chatAnswer{ctx: ctx, service: service, id: uuid.NewString(), digest: requestDigest(workspace.Name, string(raw))}
	from, seed := 0, completion.seed(answer.id)
	if lastEventID != "" {
		position, err := service.parseLastEventID(lastEventID, answer.digest)
		if err != nil {
			return nil, nil, err
		}
		from, seed = position.Offset+1, position.Seed
	}
	answer.causes = newChatCauses(answer.digest, completion)
	if err := service.checkQuarantine(answer.causes); err != nil {
		return nil, nil, err
	}
	if mayForward {
		if err := service.tokenLimiter.Reserve(workspace, completion.MaxTokens-from, service.state.LiveEntries(), time.Now()); err != nil {
			return nil, nil, err
		}
	}
	if len(service.state.Available(completion.Model, time.Now())) == 0 {
		if !mayForward {
			return nil, nil, noGroup(completion.Model)
		}
		if result, body, err := service.forwardChat(ctx, workspace, raw, lastEventID); err == nil {
			return result, body, nil
		}
	}
	return service.startChat(answer, workspace, completion, from, seed)
}

// forwardChat forwards the request to another data centre.
func (service *Service) forwardChat(ctx context.Context, workspace greengageroute.Workspace, raw []byte, lastEventID string) (*gencaller.ChatResult, io.ReadCloser, error) {
	forwarded, err := service.state.ForwardChat(ctx, workspace.Name, raw, lastEventID)
	if err != nil {
		return nil, nil, err
	}
	service.counters.Add(CountForwarded, 1)
	return &gencaller.ChatResult{ContentType: forwarded.ContentType}, &forwardedBody{forwarded.Body}, nil
}

func (service *Service) startChat(answer *chatAnswer, workspace greengageroute.Workspace, completion Completion, from int, seed uint64) (*gencaller.ChatResult, io.ReadCloser, error) {
	var err error
	if answer.release, err = service.admitChat(answer.ctx, workspace, completion); err != nil {
		return nil, nil, err
	}
	service.retryBudget.RecordRequest()
	answer.run = service.newChatRun(workspace, completion, answer.causes, from, seed)
	if err := answer.awaitFirstToken(); err != nil {
		return nil, nil, err
	}
	if completion.Stream {
		return &gencaller.ChatResult{ContentType: contentEvents}, answer, nil
	}
	document, err := answer.collect()
	if err != nil {
		return nil, nil, err
	}
	return &gencaller.ChatResult{ContentType: contentJSON}, document, nil
}

func (service *Service) parseLastEventID(id string, digest []byte) (EventPosition, error) {
	position, err := service.eventKey.Parse(id)
	if err != nil {
		return position, err
	}
	if !bytes.Equal(position.Digest, digest) {
		return position, trace.BadParameter("the Last-Event-ID belongs to another request; send the same body and workspace key as in the first request")
	}
	return position, nil
}

func (service *Service) admitChat(ctx context.Context, workspace greengageroute.Workspace, completion Completion) (func(), error) {
	return service.chatAdmission.Acquire(ctx, greengageroute.AdmissionRequest{
		Workspace: workspace.Name, Share: workspace.Share,
		Class: service.state.Config().Class(workspace.Class), Cost: float64(completion.MaxTokens),
	})
}
