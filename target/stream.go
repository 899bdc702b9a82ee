package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"greengageroute.example/greengageroute/intake"
)

const (
	// maxReconnects limits the consecutive reconnects after failed connections that
	// yielded no token. Stalled connections do not count, so that a slow engine may
	// take until the request's deadline.
	maxReconnects = 3
	bufferedLines = 16
)

var (
	// ErrAnswerComplete is returned by Next after the end mark, when every token
	// has been returned.
	ErrAnswerComplete = errors.New("the answer is complete")

	errStalled   = errors.New("the connection stalled")
	errDuplicate = errors.New("the token was returned before")
)

type (
	// Stream reads an engine's answer. It returns the tokens in order, without gaps
	// or duplicates, across reconnects.
	Stream struct {
		client      *Client
		address     string
		request     GenerateRequest
		deadline    func() time.Time // time before which a new request must be sent
		nextOffset  int              // offset of the next token
		onReconnect func()
		connection  *connection
		failures    int           // failed connections since the last token
		used        chan struct{} // of the line last taken, nil if it was short
	}

	// connection reads one HTTP response line by line.
	connection struct {
		cancel context.CancelFunc
		opened chan error // result of the request, once the header is received
		lines  chan line
		client *Client
		reader atomic.Pointer[lineReader] // nil until the header is received
		// repeated reports whether the last line was a duplicate. Only the stream uses it.
		repeated bool
	}

	// line is a chunk, or the error that ended the connection.
	line struct {
		chunk Chunk
		err   error
		used  chan struct{} // closed once the token of a long line has been used; nil for others
	}
)

// Generate requests an answer from an engine. For every connection, deadline is
// called, and the request is sent before the returned time or not at all. If it
// isn't sent, the error is a *RefusedError. onReconnect is called before each
// reconnect.
func (client *Client) Generate(ctx context.Context, address string, request GenerateRequest, deadline func() time.Time, onReconnect func()) (*Stream, error) {
	stream := &Stream{client: client, address: address, request: request, deadline: deadline, nextOffset: request.From, onReconnect: onReconnect}
	if err := stream.connect(ctx, client.pooled); err != nil {
		return nil, err
	}
	return stream, nil
}

// Next returns the next token, ErrAnswerComplete after the last, or the error that
// ended the answer: an *intake.Refusal if a token doesn't fit into the budget. The token before
// is no longer charged.
func (stream *Stream) Next(ctx context.Context) (Chunk, error) {
	stream.freeLine()
	stall := time.NewTimer(StallTimeout)
	defer stall.Stop()
	for {
		cause := errStalled
		select {
		case <-ctx.Done():
			return Chunk{}, trace.Wrap(context.Cause(ctx))
		case <-stall.C:
		case line := <-stream.connection.lines:
			cause = stream.accept(line)
			stream.used = line.used
			stream.connection.repeated = errors.Is(cause, errDuplicate)
			if cause == nil || errors.Is(cause, ErrAnswerComplete) {
				return line.chunk, cause
			}
		}
		if errors.Is(cause, errDuplicate) {
			stream.freeLine()
			continue
		}
		var refused *intake.Refusal
		if errors.As(cause, &refused) {
			return Chunk{}, refused
		}
		if err := stream.reconnect(ctx, cause); err != nil {
			return Chunk{}, err
		}
		stall.Reset(StallTimeout)
	}
}

// accept checks a received line and advances the offset if it is the next token.
// It returns errDuplicate, ErrAnswerComplete or the error of an invalid sequence
// otherwise.
func (stream *Stream) accept(line line) error {
	chunk := line.chunk
	switch {
	case line.err != nil:
		return line.err
	case chunk.End && chunk.Count == stream.nextOffset:
		return ErrAnswerComplete
	case chunk.End:
		return fmt.Errorf("the end mark counts %d tokens, but %d were received", chunk.Count, stream.nextOffset)
	case chunk.Offset < stream.nextOffset:
		return errDuplicate
	case chunk.Offset > stream.nextOffset:
		return fmt.Errorf("received token %d, expected token %d", chunk.Offset, stream.nextOffset)
	case stream.request.MaxTokens > 0 && chunk.Offset >= stream.request.MaxTokens:
		return &TooLongError{What: "the answer", Limit: stream.request.MaxTokens, Unit: "tokens"}
	}
	stream.nextOffset++
	stream.failures = 0
	return nil
}

// freeLine returns what the line last taken holds.
func (stream *Stream) freeLine() {
	if stream.used != nil {
		close(stream.used)
		stream.used = nil
	}
}

// reconnect probes the engine over a new connection and resumes the answer after
// the last token. It fails if the engine doesn't respond or has left the group.
func (stream *Stream) reconnect(ctx context.Context, cause error) error {
	stream.connection.cancel()
	if ctx.Err() != nil {
		return trace.Wrap(context.Cause(ctx))
	}
	stream.client.reportFault(stream.address, cause)
	report, err := stream.client.ProbeNewConnection(ctx, stream.address)
	if err != nil {
		return &AnswerLostError{Address: stream.address, Cause: cause}
	}
	if !report.LoadedFor(stream.request.Group, stream.request.Generation) {
		return &AnswerLostError{Address: stream.address, Cause: errors.New("the engine left the group")}
	}
	if !errors.Is(cause, errStalled) || stream.connection.isFaulty() {
		stream.failures++
	}
	if stream.failures > maxReconnects {
		return &AnswerLostError{Address: stream.address, Cause: cause}
	}
	stream.onReconnect()
	return stream.connect(ctx, stream.client.unpooled)
}

// connect requests the answer from the next token on and waits for the response
// header.
func (stream *Stream) connect(ctx context.Context, httpClient *http.Client) error {
	request := stream.request
	request.From = stream.nextOffset
	encoded, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	stream.connection = &connection{cancel: cancel, opened: make(chan error, 1), lines: make(chan line, bufferedLines), client: stream.client}
	go stream.connection.read(ctx, httpClient, stream.address, body{bytes: encoded, deadline: stream.deadline()})
	stall := time.NewTimer(StallTimeout)
	defer stall.Stop()
	select {
	case err := <-stream.connection.opened:
		if err != nil {
			cancel()
		}
		return err
	case <-stall.C:
		return stream.reconnect(ctx, errStalled)
	case <-ctx.Done():
		cancel()
		return trace.Wrap(context.Cause(ctx))
	}
}

// Close closes the connection, so that the engine cancels the rest of the answer.
func (stream *Stream) Close() {
	if stream.connection != nil {
		stream.connection.cancel()
	}
}

func (connection *connection) read(ctx context.Context, httpClient *http.Client, address string, body body) {
	response, err := connection.client.send(ctx, httpClient, http.MethodPost, address, "/generate", body)
	connection.opened <- err
	if err != nil {
		return
	}
	defer response.Body.Close()
	reader := newLineReader(response.Body, connection.client.budget)
	connection.reader.Store(reader)
	defer reader.free()
	for {
		var received line
		text, err := reader.next()
		if received.err = err; err == nil {
			received.err = json.Unmarshal(text, &received.chunk)
		} else if errors.Is(err, io.EOF) {
			received.err = io.ErrUnexpectedEOF
		}
		if reader.held != nil {
			received.used = make(chan struct{})
		}
		if !connection.put(ctx, received) || received.err != nil {
			return
		}
		if reader.held != nil {
			// One long line at a time, so that what a stream holds is bounded.
			select {
			case <-received.used:
			case <-ctx.Done():
				return
			}
			reader.free()
		}
	}
}

// isFaulty reports whether the engine has sent something since the last token, unlike one that
// is slow.
func (connection *connection) isFaulty() bool {
	reader := connection.reader.Load()
	return connection.repeated || reader != nil && reader.unfinished.Load()
}

func (connection *connection) put(ctx context.Context, received line) bool {
	select {
	case connection.lines <- received:
		return true
	case <-ctx.Done():
		return false
	}
}
