// Package upstream speaks HTTP/1.1 to targets. It keeps connections, matches
// answers with requests by their id, and tells a request that never left from
// one that may have run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

const (
	// dialTimeout bounds a new connection: a live target accepts within
	// milliseconds, and a lost opening packet is sent again only after a second.
	dialTimeout = 200 * time.Millisecond
	// onceIdle is how long a connection may have been idle that carries a request
	// which must not run twice: targets drop idle connections without notice, and
	// what is then lost may have run.
	onceIdle = 700 * time.Millisecond
	// idleMargin is how long before a target's announced idle timeout a connection
	// is no longer used.
	idleMargin = 500 * time.Millisecond
	// idleDefault is the longest idle time where a target announces none.
	idleDefault = 4 * time.Second
	// inlineBody is the longest body that is written before the answer is read: it
	// fits into the socket's buffers.
	inlineBody = 8 << 10
	bufferSize = 2 << 10
	// lateAnswers is how many answers to earlier requests are passed over.
	lateAnswers = 3
)

type (
	// Client sends requests to targets. It is safe for use by several goroutines.
	Client struct {
		mu    sync.Mutex
		idle  map[string][]*conn // by address and target
		dials func()
	}

	// Answer is a target's answer whose body has not been read yet.
	Answer struct {
		greengageroute.AnswerHead
		Body   io.Reader
		client *Client
		conn   *conn
		key    string
		stop   func() bool
		done   bool
	}

	// NotSentError says that no byte of the request reached the target.
	NotSentError struct {
		Target string
		Cause  error
	}

	// LostError says that the request was sent and its answer did not come: it may
	// have run.
	LostError struct {
		Target string
		Cause  error
	}

	conn struct {
		net.Conn
		reader   *bufio.Reader
		idleFrom time.Time
		limit    time.Duration
		written  chan error // result of a body written beside the reading; nil if none is
	}
)

func (err *NotSentError) Error() string {
	return "target " + strconv.Quote(err.Target) + " can't be reached (" + err.Cause.Error() + "); send the request to another"
}

// Unwrap returns the cause.
func (err *NotSentError) Unwrap() error { return err.Cause }

func (err *LostError) Error() string {
	return "target " + strconv.Quote(err.Target) + " did not answer (" + err.Cause.Error() + "); the request may have run"
}

// Unwrap returns the cause.
func (err *LostError) Unwrap() error { return err.Cause }

// NewClient returns a client that calls the function for each new connection.
func NewClient(dials func()) *Client {
	return &Client{idle: map[string][]*conn{}, dials: dials}
}

// Do sends one attempt and returns the head of its answer. When the context
// ends, the connection is closed and the target drops the request. The error is
// a *NotSentError or a *LostError.
func (client *Client) Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*Answer, error) {
	target := attempt.Target
	key := keyOf(target)
	used, err := client.take(ctx, key, target.Address, attempt.AtMostOnce)
	if err != nil {
		return nil, &NotSentError{Target: target.ID, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { used.Close() })
	lost := func(cause error) error {
		stop()
		used.Close()
		if ctx.Err() != nil {
			cause = context.Cause(ctx)
		}
		return &LostError{Target: target.ID, Cause: cause}
	}
	if err := used.send(request, attempt); err != nil {
		return nil, lost(err)
	}
	for range lateAnswers {
		response, err := http.ReadResponse(used.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, lost(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		head := platform.DecodeAnswer(response)
		if head.ID == request.ID || head.ID == "" && head.Status >= http.StatusBadRequest {
			used.limit = head.IdleTimeout
			return &Answer{AnswerHead: head, Body: response.Body, client: client, conn: used, key: key, stop: stop}, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, lost(err)
		}
	}
	return nil, lost(errors.New("only answers to other requests came"))
}

// Close ends the exchange. The connection is kept only if the whole body was
// read, and nothing else is due on it.
func (answer *Answer) Close(whole bool) {
	if answer.done || answer.conn == nil {
		return
	}
	answer.done = true
	stopped := answer.stop()
	if !whole || !stopped || answer.CloseConnection || !answer.conn.settled() {
		answer.conn.Close()
		return
	}
	answer.conn.idleFrom = time.Now()
	answer.client.put(answer.key, answer.conn)
}

func (client *Client) take(ctx context.Context, key, address string, once bool) (*conn, error) {
	for {
		kept := client.pop(key)
		if kept == nil {
			break
		}
		if once && time.Since(kept.idleFrom) > onceIdle {
			client.put(key, kept)
			break
		}
		if kept.usable() {
			return kept, nil
		}
		kept.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	client.dials()
	made, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &conn{Conn: made, reader: bufio.NewReaderSize(made, bufferSize)}, nil
}

// HasIdleConnection tells whether there is an idle connection to the target that can carry a
// request, one that must not run twice if that is asked.
func (client *Client) HasIdleConnection(target greengageroute.Target, once bool) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	kept := client.idle[keyOf(target)]
	if len(kept) == 0 {
		return false
	}
	last := kept[len(kept)-1]
	return last.fresh() && (!once || time.Since(last.idleFrom) <= onceIdle)
}

func keyOf(target greengageroute.Target) string { return target.Address + "/" + target.ID }

func (client *Client) pop(key string) *conn {
	client.mu.Lock()
	defer client.mu.Unlock()
	kept := client.idle[key]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	client.idle[key] = kept[:len(kept)-1]
	return last
}

func (client *Client) put(key string, kept *conn) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.idle[key] = append(client.idle[key], kept)
}

// Sweep closes the connections that have been idle too long.
func (client *Client) Sweep() {
	client.mu.Lock()
	var stale []*conn
	for key, kept := range client.idle {
		fresh := kept[:0]
		for _, one := range kept {
			if one.fresh() {
				fresh = append(fresh, one)
			} else {
				stale = append(stale, one)
			}
		}
		clear(kept[len(fresh):])
		client.idle[key] = fresh
		if len(fresh) == 0 {
			delete(client.idle, key)
		}
	}
	client.mu.Unlock()
	for _, one := range stale {
		one.Close()
	}
}

func (used *conn) fresh() bool {
	limit := idleDefault
	if used.limit > 0 {
		limit = used.limit - idleMargin
	}
	return time.Since(used.idleFrom) < limit
}

// usable tells whether the connection is still open and nothing has come on it
// that no request asked for.
func (used *conn) usable() bool {
	if !used.fresh() || used.reader.Buffered() > 0 {
		return false
	}
	raw, err := used.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var peeked [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// send writes the request. A long body is written beside the reading of the
// answer, which may come first.
func (used *conn) send(request greengageroute.Request, attempt greengageroute.Attempt) error {
	head := bytes.NewBuffer(make([]byte, 0, bufferSize))
	head.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := platform.EncodeAttempt(request, attempt).Write(head); err != nil {
		return trace.Wrap(err)
	}
	head.WriteString("\r\n")
	used.written = nil
	if len(request.Body) <= inlineBody {
		head.Write(request.Body)
		_, err := used.Write(head.Bytes())
		return trace.Wrap(err)
	}
	if _, err := used.Write(head.Bytes()); err != nil {
		return trace.Wrap(err)
	}
	used.written = make(chan error, 1)
	go func(written chan<- error) {
		_, err := used.Write(request.Body)
		written <- err
	}(used.written)
	return nil
}

// settled tells whether the whole request was written and nothing more than its
// answer has been read.
func (used *conn) settled() bool {
	if used.reader.Buffered() > 0 {
		return false
	}
	if used.written == nil {
		return true
	}
	select {
	case err := <-used.written:
		return err == nil
	default:
		return false
	}
}
