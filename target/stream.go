package target

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxReattach bounds the broken connections in a row without a token. Silent
	// ones are not counted: a slow engine is waited for until the deadline.
	maxReconnects = 3
	bufferedLines = 16
)

var (
	// ErrAnswerComplete is returned by Next after the end mark, when every token was yielded.
	ErrAnswerComplete = errors.New("the answer is whole")

	errStalled   = errors.New("the connection went silent")
	errDuplicate = errors.New("the token was yielded before")
)

type (
	// Stream is an answer under way. It yields tokens in order, without gaps or
	// repeats, whatever the connection under it does.
	Stream struct {
		client      *Client
		address     string
		request     GenerateRequest
		deadline    func() time.Time // when what allows a new connection ends
		nextOffset  int              // offset of the next token
		onReconnect func()
		connection  *connection
		failures    int // broken connections since the last token
	}

	// connection is one HTTP response being read line by line.
	connection struct {
		cancel context.CancelFunc
		opened chan error
		lines  chan line
	}

	// line is a chunk, or the end of the connection with its cause.
	line struct {
		chunk Chunk
		err   error
	}
)

// Generate asks an engine for an answer. Each connection is made before the time
// that until returns then, or not at all: a *RefusedError says that the engine was
// not asked. reattached is called for each connection that was replaced.
func (client *Client) Generate(ctx context.Context, address string, request GenerateRequest, deadline func() time.Time, onReconnect func()) (*Stream, error) {
	stream := &Stream{client: client, address: address, request: request, deadline: deadline, nextOffset: request.From, onReconnect: onReconnect}
	if err := stream.connect(ctx, client.pooled); err != nil {
		return nil, err
	}
	return stream, nil
}

// Next returns the next token, ErrAnswerComplete behind the last, or why the engine
// gives no more.
func (stream *Stream) Next(ctx context.Context) (Chunk, error) {
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
			if cause == nil || errors.Is(cause, ErrAnswerComplete) {
				return line.chunk, cause
			}
		}
		if errors.Is(cause, errDuplicate) {
			continue
		}
		if err := stream.reconnect(ctx, cause); err != nil {
			return Chunk{}, err
		}
		stall.Reset(StallTimeout)
	}
}

// accept tells a new token from a repeat, a gap and the end.
func (stream *Stream) accept(line line) error {
	chunk := line.chunk
	switch {
	case line.err != nil:
		return line.err
	case chunk.End && chunk.Count == stream.nextOffset:
		return ErrAnswerComplete
	case chunk.End:
		return fmt.Errorf("the end mark counts %d tokens after %d", chunk.Count, stream.nextOffset)
	case chunk.Offset < stream.nextOffset:
		return errDuplicate
	case chunk.Offset > stream.nextOffset:
		return fmt.Errorf("token %d came where %d was next", chunk.Offset, stream.nextOffset)
	}
	stream.nextOffset++
	stream.failures = 0
	return nil
}

// reattach asks the engine on a new connection whether it lives and goes on
// from the last token. It gives up when the engine does not answer.
func (stream *Stream) reconnect(ctx context.Context, cause error) error {
	stream.connection.cancel()
	if ctx.Err() != nil {
		return trace.Wrap(context.Cause(ctx))
	}
	report, err := stream.client.ProbeNewConnection(ctx, stream.address)
	if err != nil {
		return &AnswerLostError{Address: stream.address, Cause: cause}
	}
	if !report.LoadedFor(stream.request.Group, stream.request.Generation) {
		return &AnswerLostError{Address: stream.address, Cause: errors.New("the engine left the group")}
	}
	if !errors.Is(cause, errStalled) {
		stream.failures++
	}
	if stream.failures > maxReconnects {
		return &AnswerLostError{Address: stream.address, Cause: cause}
	}
	stream.onReconnect()
	return stream.connect(ctx, stream.client.unpooled)
}

// connect opens a connection from the next token on and waits for its header.
func (stream *Stream) connect(ctx context.Context, httpClient *http.Client) error {
	request := stream.request
	request.From = stream.nextOffset
	encoded, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	stream.connection = &connection{cancel: cancel, opened: make(chan error, 1), lines: make(chan line, bufferedLines)}
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

// Close drops the connection, which makes the engine cancel what it has not
// sent.
func (stream *Stream) Close() {
	if stream.connection != nil {
		stream.connection.cancel()
	}
}

func (connection *connection) read(ctx context.Context, httpClient *http.Client, address string, body body) {
	response, err := send(ctx, httpClient, http.MethodPost, address, "/generate", body)
	connection.opened <- err
	if err != nil {
		return
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		var received line
		received.err = json.Unmarshal(scanner.Bytes(), &received.chunk)
		if !connection.put(ctx, received) || received.err != nil {
			return
		}
	}
	err = scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	connection.put(ctx, line{err: err})
}

func (connection *connection) put(ctx context.Context, received line) bool {
	select {
	case connection.lines <- received:
		return true
	case <-ctx.Done():
		return false
	}
}
