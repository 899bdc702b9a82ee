// Package upstream is the HTTP/1.1 client for targets. It pools connections,
// matches answers to requests by their id, and distinguishes requests that were
// not sent from requests that may have run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/platform"
)

const (
	// dialTimeout is the timeout of a new connection. A live target accepts within
	// milliseconds, and a lost SYN is sent again only after a second.
	dialTimeout = 200 * time.Millisecond
	// maxIdleAtMostOnce is the longest idle time of a connection that is reused for
	// a request that must not run twice. Targets drop idle connections without
	// notice, and a request that is lost on a dropped connection may have run.
	maxIdleAtMostOnce = 700 * time.Millisecond
	// idleMargin is subtracted from the idle timeout that a target announces:
	// a connection is not reused so shortly before its timeout.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies to targets that announce no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxInlineBody is the longest body that is written before the answer is read:
	// it fits into the socket's buffers.
	maxInlineBody = 8 << 10
	bufferSize    = 2 << 10
	// maxHeadBytes limits the head of a response, and maxForeignBytes the body of an
	// answer to another request that is skipped. A target in trouble may send
	// either without end.
	maxHeadBytes    = 64 << 10
	maxForeignBytes = 1 << 20
	// maxResponses is how many responses are read in search of the request's own.
	// Late answers to earlier requests, copies of them and 1xx responses are skipped.
	maxResponses = 3
	// maxNotices is how many further interim responses another entry may send.
	maxNotices = 16
	// maxForeignWait is how long the request's own answer is awaited after a refusal that
	// bears no id on a connection that has carried answers with ids.
	maxForeignWait = time.Second
	// unframedTTL is how long after an answer without length and chunks the targets of its
	// pool are expected to send such answers again.
	unframedTTL = time.Minute
)

type (
	// Client sends requests to targets. It is safe for use by several goroutines.
	Client struct {
		mu         sync.Mutex
		idle       map[string][]*conn   // by address and ID of the target
		unframedAt map[string]time.Time // last answer without length and chunks, by pool
		onDial     func()
	}

	// Answer is a target's answer whose body has not been read yet.
	Answer struct {
		greengageroute.AnswerHead
		Body   io.Reader
		SentAt time.Time // when the request was about to be written
		client *Client
		conn   *conn
		key    string
		stop   func() bool // detaches conn from the context; false if the context has ended
		closed bool
	}

	// NotSentError reports that no connection to the target could be made: no byte
	// of the request reached it.
	NotSentError struct {
		Target string
		Cause  error
	}

	// AnswerLostError reports that no complete answer was received after a request
	// may have reached the target: it may have run.
	AnswerLostError struct {
		Target string
		Cause  error
		// AttemptsAtEntry is how many attempts another entry is known to have made; 0 if it
		// didn't say so.
		AttemptsAtEntry int
	}

	// TooLongError reports that a target sent more than an answer may have.
	TooLongError struct {
		What  string // the part that is too long
		Bytes int    // received before the rest was left unread
		Limit int
	}

	// limitedReader reads from a connection until the limit of the response's head is
	// used up, and keeps what it reads of the head.
	limitedReader struct {
		conn      net.Conn
		remaining int
		unlimited bool
		head      []byte
	}

	conn struct {
		net.Conn
		limit       *limitedReader
		reader      *bufio.Reader // reads from limit
		openedAt    time.Time
		exchanges   int // requests sent
		idleSince   time.Time
		idleTimeout time.Duration // announced by the target; 0 if none is
		written     chan error    // result of a body that is written in the background; nil without one
	}
)

func (err *NotSentError) Error() string {
	return "target " + strconv.Quote(err.Target) + " is unreachable (" + err.Cause.Error() + "); send the request to another target"
}

// Unwrap returns the cause.
func (err *NotSentError) Unwrap() error { return err.Cause }

func (err *AnswerLostError) Error() string {
	return "target " + strconv.Quote(err.Target) + " did not answer (" + err.Cause.Error() + "); the request may have run"
}

// Unwrap returns the cause.
func (err *AnswerLostError) Unwrap() error { return err.Cause }

func (err *TooLongError) Error() string {
	return err.What + " is longer than " + strconv.Itoa(err.Limit) + " bytes"
}

func (limit *limitedReader) Read(buffer []byte) (int, error) {
	if limit.unlimited {
		return limit.conn.Read(buffer)
	}
	if limit.remaining <= 0 {
		return 0, &TooLongError{What: "the head of the response", Bytes: maxHeadBytes, Limit: maxHeadBytes}
	}
	read, err := limit.conn.Read(buffer[:min(len(buffer), limit.remaining)])
	limit.remaining -= read
	limit.head = append(limit.head, buffer[:read]...)
	return read, err
}

// readHead reads the head of the next response. The error is a *http1.MalformedError if there is
// none.
func (conn *conn) readHead(method string) (*http.Response, error) {
	limit := conn.limit
	buffered, _ := conn.reader.Peek(conn.reader.Buffered()) // never fails
	limit.remaining, limit.unlimited, limit.head = maxHeadBytes, false, append(limit.head[:0], buffered...)
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	limit.unlimited = true
	defer limit.forget()
	if err != nil {
		if malformed := http1.CheckStart(limit.head, platform.SingleFields...); malformed != nil {
			return nil, malformed
		}
		return nil, err
	}
	if err := http1.CheckHead(limit.head[:len(limit.head)-conn.reader.Buffered()], platform.SingleFields...); err != nil {
		return nil, err
	}
	return response, nil
}

// forget drops a long head.
func (limit *limitedReader) forget() {
	if cap(limit.head) > bufferSize {
		limit.head = nil
	}
}

// NewClient returns a client that calls onDial before it dials a new connection.
func NewClient(onDial func()) *Client {
	return &Client{idle: map[string][]*conn{}, unframedAt: map[string]time.Time{}, onDial: onDial}
}

// Do sends an attempt and returns its answer as soon as the header is read. When
// the context ends, the connection is closed, so that the target cancels the
// request. The error is a *NotSentError or an *AnswerLostError.
func (client *Client) Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*Answer, error) {
	target := attempt.Target
	key := poolKey(target)
	conn, err := client.acquire(ctx, key, target.Address, attempt.AtMostOnce)
	if err != nil {
		return nil, &NotSentError{Target: target.ID, Cause: err}
	}
	if attempt.NeedsSpare {
		client.keepSpare(ctx, key, target)
	}
	return client.exchange(ctx, conn, key, request, attempt)
}

// exchange sends an attempt on a connection and reads the head of its answer.
func (client *Client) exchange(ctx context.Context, conn *conn, key string, request greengageroute.Request, attempt greengageroute.Attempt) (*Answer, error) {
	target, sentAt := attempt.Target, time.Now()
	conn.exchanges++
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	responses, attemptsAtEntry := maxResponses, 0
	if attempt.ToEntry {
		responses += maxNotices
	}
	lost := func(cause error) error {
		stop()
		conn.Close()
		if ctx.Err() != nil {
			cause = context.Cause(ctx)
		}
		return &AnswerLostError{Target: target.ID, Cause: cause, AttemptsAtEntry: attemptsAtEntry}
	}
	if err := conn.send(request, attempt); err != nil {
		return nil, lost(err)
	}
	limited := false // the wait for the request's own answer
	for range responses {
		response, err := conn.readHead(request.Method)
		if err != nil {
			return nil, lost(err)
		}
		if response.StatusCode < http.StatusOK {
			attemptsAtEntry = max(attemptsAtEntry, platform.DecodeAttempts(response.Header))
			continue
		}
		head := platform.DecodeAnswer(response)
		refusedWithoutID := head.ID == "" && head.Status >= http.StatusBadRequest
		if head.ID == request.ID || refusedWithoutID && conn.exchanges == 1 {
			conn.idleTimeout = head.IdleTimeout
			if attempt.ToEntry {
				// Forwarded requests may run once only and use no older connection. The few entries
				// that help many others have descriptors for other things.
				conn.idleTimeout = maxIdleAtMostOnce + idleMargin
			}
			// Once the connection is kept, a refusal without an id may be a copy of an
			// earlier one.
			head.CloseConnection = head.CloseConnection || head.ID != request.ID
			if limited {
				if err := conn.SetReadDeadline(time.Time{}); err != nil {
					return nil, lost(err)
				}
			}
			body := io.Reader(http1.CheckedBody(response))
			if head.EndsWithConnection {
				client.recordUnframed(target.Pool)
				body = &unframedBody{conn: conn}
			}
			return &Answer{AnswerHead: head, Body: body, SentAt: sentAt, client: client, conn: conn, key: key, stop: stop}, nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
		if err == nil && skipped == maxForeignBytes {
			err = &TooLongError{What: "the answer to another request", Bytes: maxForeignBytes, Limit: maxForeignBytes}
		}
		if err != nil {
			return nil, lost(err)
		}
		if refusedWithoutID {
			limited = true
			if err := conn.SetReadDeadline(time.Now().Add(maxForeignWait)); err != nil {
				return nil, lost(err)
			}
		}
	}
	return nil, lost(errors.New("received only answers to other requests"))
}

// Close ends the exchange; complete is true if the body was read to its end. The
// connection returns to the pool only if the body was read completely, the request
// was written completely, no further data was received, the target keeps the
// connection open and the context has not ended.
func (answer *Answer) Close(complete bool) {
	if answer.closed || answer.conn == nil {
		return
	}
	answer.closed = true
	stopped := answer.stop()
	if !complete || !stopped || answer.CloseConnection || !answer.conn.exchangeComplete() {
		answer.conn.Close()
		return
	}
	answer.conn.idleSince = time.Now()
	answer.client.put(answer.key, answer.conn)
}

func (client *Client) acquire(ctx context.Context, key, address string, atMostOnce bool) (*conn, error) {
	for {
		idle := client.pop(key)
		if idle == nil {
			break
		}
		if atMostOnce && time.Since(idle.idleSince) > maxIdleAtMostOnce {
			client.put(key, idle)
			break
		}
		if idle.usable() {
			return idle, nil
		}
		idle.Close()
	}
	return client.dial(ctx, address)
}

func (client *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	client.onDial()
	netConn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limit := &limitedReader{conn: netConn}
	return &conn{Conn: netConn, limit: limit, reader: bufio.NewReaderSize(limit, bufferSize), openedAt: time.Now()}, nil
}

// HasIdleConnection reports whether the pool has an idle connection to the target
// that a request may use. With atMostOnce, only a connection that may carry a
// request that must not run twice counts.
func (client *Client) HasIdleConnection(target greengageroute.Target, atMostOnce bool) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	conns := client.idle[poolKey(target)]
	if len(conns) == 0 {
		return false
	}
	last := conns[len(conns)-1]
	return last.withinIdleTimeout() && (!atMostOnce || time.Since(last.idleSince) <= maxIdleAtMostOnce)
}

func poolKey(target greengageroute.Target) string { return target.Address + "/" + target.ID }

func (client *Client) pop(key string) *conn {
	client.mu.Lock()
	defer client.mu.Unlock()
	conns := client.idle[key]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	client.idle[key] = conns[:len(conns)-1]
	return last
}

func (client *Client) put(key string, conn *conn) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.idle[key] = append(client.idle[key], conn)
}

// CloseExpired closes the connections whose idle timeout has passed.
func (client *Client) CloseExpired() {
	client.mu.Lock()
	var expired []*conn
	for key, conns := range client.idle {
		remaining := conns[:0]
		for _, conn := range conns {
			if conn.withinIdleTimeout() {
				remaining = append(remaining, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		clear(conns[len(remaining):])
		client.idle[key] = remaining
		if len(remaining) == 0 {
			delete(client.idle, key)
		}
	}
	maps.DeleteFunc(client.unframedAt, func(_ string, at time.Time) bool { return time.Since(at) > unframedTTL })
	client.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

func (conn *conn) withinIdleTimeout() bool {
	limit := defaultIdleTimeout
	if conn.idleTimeout > 0 {
		limit = conn.idleTimeout - idleMargin
	}
	return time.Since(conn.idleSince) < limit
}

// usable reports whether the connection is still open and has received no
// unsolicited data.
func (conn *conn) usable() bool {
	if !conn.withinIdleTimeout() || conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buffer [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// send writes the request. A long body is written in the background, because the
// target may answer before it has read the body.
func (conn *conn) send(request greengageroute.Request, attempt greengageroute.Attempt) error {
	buffer, length := bytes.NewBuffer(make([]byte, 0, bufferSize)), request.Body.Len()
	buffer.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if length > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	if err := platform.EncodeAttempt(request, attempt).Write(buffer); err != nil {
		return trace.Wrap(err)
	}
	buffer.WriteString("\r\n")
	conn.written = nil
	if length <= maxInlineBody {
		for _, part := range request.Body {
			buffer.Write(part)
		}
		_, err := conn.Write(buffer.Bytes())
		return trace.Wrap(err)
	}
	if _, err := conn.Write(buffer.Bytes()); err != nil {
		return trace.Wrap(err)
	}
	conn.written = make(chan error, 1)
	go func(written chan<- error) {
		parts := net.Buffers(slices.Clone(request.Body)) // writing consumes the list
		_, err := parts.WriteTo(conn.Conn)
		written <- err
	}(conn.written)
	return nil
}

// exchangeComplete reports whether the request was written completely and no data
// beyond its answer is buffered.
func (conn *conn) exchangeComplete() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	if conn.written == nil {
		return true
	}
	select {
	case err := <-conn.written:
		return err == nil
	default:
		return false
	}
}
