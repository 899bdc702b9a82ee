package caller

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	gencaller "greengageroute.example/greengageroute/gen/caller"
	"greengageroute.example/greengageroute/target"
)

const (
	contentJSON   = "application/json"
	contentEvents = "text/event-stream"
)

type (
	// chatBody writes a streamed answer, token by token.
	chatBody struct {
		ctx     context.Context
		service *Service
		run     *run
		id      string
		digest  []byte
		first   target.Chunk
		whole   bool // the end mark came in place of the first token
		release func()
	}
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
	if service.quarantine.Check(hex.EncodeToString(digest), time.Now()) == greengageroute.Refused {
		service.counters.Add(CountQuarantined, 1)
		return quarantined()
	}
	return nil
}

func (service *Service) limit(ctx context.Context, workspace greengageroute.Workspace, completion Completion) (func(), error) {
	return service.chats.Acquire(ctx, greengageroute.Ticket{
		Workspace: workspace.Name, Share: workspace.Share,
		Class: service.state.Config().Class(workspace.Class), Cost: float64(completion.MaxTokens),
	})
}

// begin waits for the first token, so that a request that cannot be served is
// still answered with an error status.
func (answer *chatBody) begin() error {
	chunk, err := answer.run.next(answer.ctx)
	if errors.Is(err, target.ErrWhole) {
		answer.whole = true
		return nil
	}
	if err != nil {
		answer.finish()
		return err
	}
	answer.first = chunk
	return nil
}

func (answer *chatBody) finish() {
	answer.run.leave()
	answer.release()
}

// collect returns the whole answer as one JSON document.
func (answer *chatBody) collect() (io.ReadCloser, error) {
	defer answer.finish()
	var text strings.Builder
	text.WriteString(answer.first.Text)
	for !answer.whole {
		chunk, err := answer.run.next(answer.ctx)
		switch {
		case errors.Is(err, target.ErrWhole):
			answer.whole = true
		case err != nil:
			answer.service.counters.Add(CountCut, 1)
			return nil, err
		default:
			text.WriteString(chunk.Text)
		}
	}
	encoded, err := json.Marshal(completionAnswer{
		ID: answer.id, Object: "chat.completion", Model: answer.run.generation.Model,
		Choices: []answerChoice{{Message: ChatMessage{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   usage{CompletionTokens: answer.run.generation.From},
	})
	return io.NopCloser(bytes.NewReader(encoded)), trace.Wrap(err)
}

// Read is not used: goa calls WriteTo.
func (answer *chatBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close ends the request.
func (answer *chatBody) Close() error {
	answer.finish()
	return nil
}

// WriteTo writes the events of the answer. An answer that cannot be completed
// ends with an error event and without the end mark.
func (answer *chatBody) WriteTo(writer io.Writer) (int64, error) {
	if response, ok := writer.(http.ResponseWriter); ok {
		return answer.events(writer, http.NewResponseController(response))
	}
	return answer.events(writer, nil)
}

func (answer *chatBody) events(writer io.Writer, controller *http.ResponseController) (int64, error) {
	written := int64(0)
	put := func(text string) error {
		count, err := io.WriteString(writer, text)
		written += int64(count)
		if err == nil && controller != nil {
			err = controller.Flush()
		}
		return err
	}
	chunk := answer.first
	for !answer.whole {
		if err := put(answer.event(chunk)); err != nil {
			return written, nil // the caller went away
		}
		var err error
		chunk, err = answer.run.next(answer.ctx)
		if errors.Is(err, target.ErrWhole) {
			break
		}
		if err != nil {
			answer.service.counters.Add(CountCut, 1)
			_ = put(cutEvent(err))
			return written, nil
		}
	}
	return written, put(answer.lastEvent())
}

func (answer *chatBody) event(chunk target.Chunk) string {
	id := answer.service.events.ID(Event{Digest: answer.digest, Seed: answer.run.generation.Seed, Offset: chunk.Offset})
	return formatEvent(id, completionChunk{
		ID: answer.id, Object: "chat.completion.chunk", Model: answer.run.generation.Model,
		Choices: []chunkChoice{{Delta: chatDelta{Content: chunk.Text}}},
	})
}

// lastEvent carries the count of tokens, and the end mark.
func (answer *chatBody) lastEvent() string {
	stop := "stop"
	return formatEvent("", completionChunk{
		ID: answer.id, Object: "chat.completion.chunk", Model: answer.run.generation.Model,
		Choices: []chunkChoice{{FinishReason: &stop}}, Usage: &usage{CompletionTokens: answer.run.generation.From},
	}) + "data: [DONE]\n\n"
}

func formatEvent(id string, value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return "" // the types above always encode
	}
	if id == "" {
		return fmt.Sprintf("data: %s\n\n", encoded)
	}
	return fmt.Sprintf("id: %s\ndata: %s\n\n", id, encoded)
}

func cutEvent(err error) string {
	encoded, _ := json.Marshal(refuse(err)) // a Refusal always encodes
	return fmt.Sprintf("event: error\ndata: %s\n\n", encoded)
}
