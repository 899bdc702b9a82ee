package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	"greengageroute.example/greengageroute/target"
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

// begin waits for the first token, so that a request that cannot be served is
// still answered with an error status.
func (answer *chatBody) begin() error {
	chunk, err := answer.run.next(answer.ctx)
	if errors.Is(err, target.ErrAnswerComplete) {
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
		case errors.Is(err, target.ErrAnswerComplete):
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
		if errors.Is(err, target.ErrAnswerComplete) {
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
