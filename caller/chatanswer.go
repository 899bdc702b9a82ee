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

// documentCopies is how many copies of an answer its document takes at most: the text in two
// buffers while it grows, and encoded in two.
const documentCopies = 4

type (
	// chatAnswer is the answer to a chat completion, streamed token by token or
	// collected into one document.
	chatAnswer struct {
		ctx        context.Context
		service    *Service
		run        *chatRun
		id         string
		digest     []byte
		causes     chatCauses
		firstChunk target.Chunk
		complete   bool // the end mark came instead of the first token, or collect received it
		release    func()
	}
)

// awaitFirstToken waits for the first token before the header is written, so that
// a request that cannot be served gets an error status.
func (answer *chatAnswer) awaitFirstToken() error {
	chunk, err := answer.run.next(answer.ctx)
	if errors.Is(err, target.ErrAnswerComplete) {
		answer.complete = true
		return nil
	}
	if err != nil {
		answer.finish()
		return err
	}
	answer.firstChunk = chunk
	return nil
}

func (answer *chatAnswer) finish() {
	answer.run.leaveGroup()
	answer.release()
}

// collect returns the complete answer as one JSON document.
func (answer *chatAnswer) collect() (io.ReadCloser, error) {
	defer answer.finish()
	var text strings.Builder
	text.WriteString(answer.firstChunk.Text)
	charged := minChargedAnswer
	for !answer.complete {
		chunk, err := answer.run.next(answer.ctx)
		switch {
		case errors.Is(err, target.ErrAnswerComplete):
			answer.complete = true
		case err != nil:
			answer.service.counters.Add(CountAnswersAborted, 1)
			return nil, err
		default:
			text.WriteString(chunk.Text)
		}
		if grown := text.Cap() - charged; grown > 0 {
			if err := exchangeFrom(answer.ctx).holding.Reserve(int64(grown) * documentCopies); err != nil {
				answer.service.counters.Add(CountAnswersAborted, 1)
				return nil, bodyError(err)
			}
			charged = text.Cap()
		}
	}
	encoded, err := json.Marshal(completionAnswer{
		ID: answer.id, Object: "chat.completion", Model: answer.run.generateRequest.Model,
		Choices: []answerChoice{{Message: ChatMessage{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   usage{CompletionTokens: answer.run.generateRequest.From},
	})
	return io.NopCloser(bytes.NewReader(encoded)), trace.Wrap(err)
}

// Read implements io.Reader. It is not used: goa calls WriteTo.
func (answer *chatAnswer) Read([]byte) (int, error) { return 0, io.EOF }

// Close ends the request and releases its admission slot.
func (answer *chatAnswer) Close() error {
	answer.finish()
	return nil
}

// WriteTo writes the answer as server-sent events. An answer that cannot be
// completed ends with an error event and without the end mark.
func (answer *chatAnswer) WriteTo(writer io.Writer) (int64, error) {
	if response, ok := writer.(http.ResponseWriter); ok {
		return answer.writeEvents(writer, http.NewResponseController(response))
	}
	return answer.writeEvents(writer, nil)
}

func (answer *chatAnswer) writeEvents(writer io.Writer, controller *http.ResponseController) (int64, error) {
	bytesWritten := int64(0)
	write := func(text string) error {
		count, err := io.WriteString(writer, text)
		bytesWritten += int64(count)
		if err == nil && controller != nil {
			err = controller.Flush()
		}
		return err
	}
	chunk := answer.firstChunk
	for !answer.complete {
		if err := write(answer.chunkEvent(chunk)); err != nil {
			return bytesWritten, nil // the caller disconnected
		}
		var err error
		chunk, err = answer.run.next(answer.ctx)
		if errors.Is(err, target.ErrAnswerComplete) {
			break
		}
		if err != nil {
			answer.service.counters.Add(CountAnswersAborted, 1)
			_ = write(errorEvent(err))
			return bytesWritten, nil
		}
	}
	return bytesWritten, write(answer.endEvents())
}

func (answer *chatAnswer) chunkEvent(chunk target.Chunk) string {
	id := answer.service.eventKey.ID(EventPosition{Digest: answer.digest, Seed: answer.run.generateRequest.Seed, Offset: chunk.Offset})
	return formatEvent(id, completionChunk{
		ID: answer.id, Object: "chat.completion.chunk", Model: answer.run.generateRequest.Model,
		Choices: []chunkChoice{{Delta: chatDelta{Content: chunk.Text}}},
	})
}

// endEvents returns the event with the count of tokens, and the end mark.
func (answer *chatAnswer) endEvents() string {
	stop := "stop"
	return formatEvent("", completionChunk{
		ID: answer.id, Object: "chat.completion.chunk", Model: answer.run.generateRequest.Model,
		Choices: []chunkChoice{{FinishReason: &stop}}, Usage: &usage{CompletionTokens: answer.run.generateRequest.From},
	}) + "data: [DONE]\n\n"
}

func formatEvent(id string, value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return "" // the event types always encode
	}
	if id == "" {
		return fmt.Sprintf("data: %s\n\n", encoded)
	}
	return fmt.Sprintf("id: %s\ndata: %s\n\n", id, encoded)
}

func errorEvent(err error) string {
	encoded, _ := json.Marshal(refusalFor(err)) // a Refusal always encodes
	return fmt.Sprintf("event: error\ndata: %s\n\n", encoded)
}
