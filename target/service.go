package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

const (
	// maxAnswerBytes is the maximum length of a service's answer.
	maxAnswerBytes = 4 << 20
	// answerBufferBytes is the length up to which answers are not charged to the budget.
	answerBufferBytes = 4 << 10
)

type (
	// ServiceCall is a call to a plain service.
	ServiceCall struct {
		Method      string
		Path        string // with the query
		ContentType string
		Key         string // idempotency key; empty for idempotent calls
		Body        []byte
	}
)

// errNoLength is returned for an answer that only the end of its connection delimits. It
// ends in the same way if the target crashes midway.
var errNoLength = errors.New("the answer has neither a length nor chunks and may be cut off; have the service send a Content-Length")

// Call forwards a call to a target of a plain service. A call with a key uses a
// new connection: if none can be made, nothing has reached the target, and the
// error is an *UnreachableError. Answers with any status are returned without an
// error, if they have a length or chunks. The cause of an *AnswerLostError is an *intake.Refusal
// if the answer doesn't fit into the budget.
func (client *Client) Call(ctx context.Context, address string, call ServiceCall) (greengageroute.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return greengageroute.Answer{}, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", call.ContentType)
	httpClient := client.pooled
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
		httpClient = client.unpooled
	}
	response, err := httpClient.Do(request)
	if err != nil {
		client.reportFault(address, err)
		return greengageroute.Answer{}, classifyError(address, err)
	}
	defer response.Body.Close()
	body, err := client.readAnswer(response.Body)
	if err == nil && greengageroute.EndsWithConnection(response) {
		err = errNoLength
	}
	if err != nil {
		client.reportFault(address, err)
		return greengageroute.Answer{}, &AnswerLostError{Address: address, Cause: err}
	}
	return greengageroute.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// readAnswer reads an answer that is delivered as a whole. What it takes is charged to the budget
// until it is complete; then it is for the caller to charge.
func (client *Client) readAnswer(source io.Reader) ([]byte, error) {
	var held intake.Holding
	held.Begin(context.Background(), client.budget, nil)
	defer held.Release()
	body := make([]byte, 0, answerBufferBytes)
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), maxAnswerBytes+1)
			if err := held.Reserve(int64(size)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		count, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if len(body) > maxAnswerBytes {
			return nil, &TooLongError{What: "the answer", Limit: maxAnswerBytes, Unit: "bytes"}
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Outcome queries a target for the outcome of the action with an idempotency key.
// known is false if the target has no record of the key, which does not prove that
// the action will never run.
func (client *Client) Outcome(ctx context.Context, address, path, key string) (answer greengageroute.Answer, known bool, err error) {
	path = strings.ReplaceAll(path, "{key}", key)
	answer, err = client.Call(ctx, address, ServiceCall{Method: http.MethodGet, Path: path})
	if err != nil {
		return answer, false, err
	}
	return answer, answer.Status == http.StatusOK, nil
}
