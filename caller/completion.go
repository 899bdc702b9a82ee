package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"strings"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

const (
	maxBodyBytes     = 4 << 20
	defaultMaxTokens = 256
	maxTokensLimit   = 32768
	// decodedCopies is how many copies of a body its decoding makes at most: in one slice, in
	// the strings of its fields, in the prompt and in the request to the engine.
	decodedCopies = 4
)

type (
	// Completion is the body of a chat completion request; fields that the
	// system does not use are ignored.
	Completion struct {
		Model     string        `json:"model"`
		Messages  []ChatMessage `json:"messages"`
		Stream    bool          `json:"stream"`
		MaxTokens int           `json:"max_tokens"`
		Seed      *uint64       `json:"seed"`
	}

	// ChatMessage is one message of a chat.
	ChatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// completionChunk is one event of a streamed answer.
	completionChunk struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Model   string        `json:"model"`
		Choices []chunkChoice `json:"choices"`
		Usage   *usage        `json:"usage,omitempty"`
	}

	chunkChoice struct {
		Index        int       `json:"index"`
		Delta        chatDelta `json:"delta"`
		FinishReason *string   `json:"finish_reason"`
	}

	chatDelta struct {
		Content string `json:"content,omitempty"`
	}

	// completionAnswer is the body of an answer that is not streamed.
	completionAnswer struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Model   string         `json:"model"`
		Choices []answerChoice `json:"choices"`
		Usage   usage          `json:"usage"`
	}

	answerChoice struct {
		Index        int         `json:"index"`
		Message      ChatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}

	// usage counts the tokens of a complete answer.
	usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
)

// readBody reads a request's complete body, up to maxBodyBytes. What the request's decoding
// takes is charged too.
func readBody(ctx context.Context, source io.Reader) ([]byte, error) {
	exchange := exchangeFrom(ctx)
	exchange.bodyRead = true
	body, err := exchange.holding.ReadBody(source, exchange.announced(), maxBodyBytes)
	if err == nil {
		err = exchange.holding.Reserve(int64(body.Len()) * decodedCopies)
	}
	if err != nil {
		return nil, bodyError(err)
	}
	return body.Bytes(), nil
}

// ChargeBody charges a body that another entry has read and forwarded, and its decoding.
func ChargeBody(holding *intake.Holding, body []byte) error {
	if err := holding.Reserve(int64(len(body)) * (1 + decodedCopies)); err != nil {
		return bodyError(err)
	}
	return nil
}

// bodyError returns the error of a request whose body was not read.
func bodyError(err error) error {
	var refused *intake.Refusal
	if errors.As(err, &refused) {
		return &Refusal{Status: refused.Status, Code: bodyCodes[refused.Status], Message: refused.Error(), RetryAfter: refused.RetryAfter}
	}
	return trace.BadParameter("the body is incomplete (%v); send all of it", err)
}

// isOverBudget reports whether an answer was not read because of the budget.
func isOverBudget(err error) bool {
	var refused *intake.Refusal
	return errors.As(err, &refused)
}

// parseCompletion decodes and checks a chat completion request.
func parseCompletion(raw []byte) (Completion, error) {
	var completion Completion
	if err := json.Unmarshal(raw, &completion); err != nil {
		return completion, trace.BadParameter("the body is not a chat completion request (%v); correct it", err)
	}
	if completion.Model == "" || len(completion.Messages) == 0 {
		return completion, trace.BadParameter("the body names no model or has no message; give \"model\" and \"messages\"")
	}
	if completion.MaxTokens < 0 || completion.MaxTokens > maxTokensLimit {
		return completion, trace.BadParameter("max_tokens %d is out of range; use 1 to %d", completion.MaxTokens, maxTokensLimit)
	}
	if completion.MaxTokens == 0 {
		completion.MaxTokens = defaultMaxTokens
	}
	return completion, nil
}

// prompt returns the text that is sent to the engine.
func (completion Completion) prompt() string {
	var text strings.Builder
	for _, message := range completion.Messages {
		fmt.Fprintf(&text, "%s: %s\n", message.Role, message.Content)
	}
	return text.String()
}

// partCauses returns what stands in the quarantine for the messages that other
// requests may share: all but the last.
func (completion Completion) partCauses() []greengageroute.CrashCause {
	var causes []greengageroute.CrashCause
	for _, message := range completion.Messages[:len(completion.Messages)-1] {
		causes = append(causes, greengageroute.PromptPartCause(message.Role+"\x00"+message.Content))
	}
	return causes
}

// seed returns the caller's seed, or one derived from the request's id.
func (completion Completion) seed(requestID string) uint64 {
	if completion.Seed != nil {
		return *completion.Seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(requestID)) // never fails
	return hash.Sum64()
}

// requestDigest hashes the parts with their lengths, so that no two lists of parts
// give the same input.
func requestDigest(parts ...string) []byte {
	hash := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hash.Sum(nil)
}
