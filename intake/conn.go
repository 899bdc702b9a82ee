package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// receiveBuffer and sendBuffer bound what the kernel holds for a connection: unread bytes
	// count as the process's memory. With this receive buffer Linux was measured to hold up to
	// 72 KB, without one it lets the buffer grow to megabytes. 64 KB a round trip of 20 ms are
	// 25 Mbit/s.
	receiveBuffer = 32 << 10
	sendBuffer    = 64 << 10
	// writePiece is how much is written at once, so that a slow reader's progress shows.
	writePiece = 16 << 10
	// writeStallLimit is the number of checks, one a second, after which a write without
	// progress ends its connection.
	writeStallLimit = 30
)

// Conn is a connection of a caller. It counts what is received and written.
type Conn struct {
	net.Conn // a *net.TCPConn
	listener *Listener

	received      atomic.Int64
	written       atomic.Int64
	writing       atomic.Bool
	stalledChecks atomic.Int32            // checks in a row in which a write made no progress
	bodyStalled   atomic.Bool             // a body has brought nothing for some checks
	reader        atomic.Pointer[Holding] // of the request whose body is being read; nil if none is

	mu           sync.Mutex
	busy         bool // carries a request
	expired      bool // reads fail until a request was read
	used         bool // has carried a request
	since        time.Time
	receivedIdle int64 // received when the connection became idle
	writtenSeen  int64 // at the last check
}

// ConnContext is the hook of an HTTP server that lets requests find their connection.
func ConnContext(ctx context.Context, served net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, served)
}

// Read implements net.Conn.
func (conn *Conn) Read(into []byte) (int, error) {
	count, err := conn.Conn.Read(into)
	conn.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn. Long data is written in pieces.
func (conn *Conn) Write(data []byte) (written int, err error) {
	conn.writing.Store(true)
	defer conn.writing.Store(false)
	for err == nil && (len(data) > 0 || written == 0) {
		count := 0
		count, err = conn.Conn.Write(data[:min(len(data), writePiece)])
		written += count
		conn.written.Add(int64(count))
		if data = data[count:]; len(data) == 0 {
			break
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A caller with HTTP/1.0 takes a regular close for the end of the answer.
		_ = conn.SetLinger(0)
		_ = conn.Close() // what follows would not be read either
	}
	return written, err
}

// ReadFrom implements io.ReaderFrom, which the HTTP server calls for answers that are copied.
// The kernel's copy would not count.
func (conn *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{conn}, source)
}

// SetLinger sets what Close does with data that was not sent.
func (conn *Conn) SetLinger(seconds int) error {
	return conn.Conn.(*net.TCPConn).SetLinger(seconds)
}

// CloseWrite closes the side for writing, which the HTTP server does before it closes a
// connection whose request it has not read completely.
func (conn *Conn) CloseWrite() error { return conn.Conn.(*net.TCPConn).CloseWrite() }

// setBusy records whether the connection carries a request. One whose request was read is
// not closed before its answer.
func (conn *Conn) setBusy(busy bool) {
	now := time.Now()
	conn.mu.Lock()
	conn.busy, conn.since, conn.used = busy, now, conn.used || busy
	conn.receivedIdle = conn.received.Load()
	if busy && conn.expired {
		conn.expired = false
		_ = conn.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection
	}
	conn.mu.Unlock()
	if conn.listener.closing.Load() {
		conn.expireIfIdle()
	}
}

// expireIfIdle has the server close a connection without a request: its wait for one fails.
func (conn *Conn) expireIfIdle() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.busy {
		conn.expired = true
		_ = conn.Conn.SetReadDeadline(longAgo) // fails on a closed connection
	}
}

// SetReadDeadline implements net.Conn. The HTTP server sets a deadline before it reads a
// request.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.expired {
		deadline = longAgo
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// state describes the connection for the choice of one to close.
func (conn *Conn) state(now time.Time) greengageroute.CallerConnection {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	state := greengageroute.CallerConnection{Phase: greengageroute.ConnectionIdle, Since: now.Sub(conn.since)}
	switch {
	case conn.expired && !conn.busy:
		state.Phase, state.Since = greengageroute.ConnectionBusy, 0 // it closes already
	case conn.busy && (conn.bodyStalled.Load() || conn.unread()):
		state.Phase = greengageroute.ConnectionStalled
	case conn.busy && conn.reader.Load() != nil:
		state.Phase = greengageroute.ConnectionReceiving
	case conn.busy:
		state.Phase = greengageroute.ConnectionBusy
	case !conn.used || conn.received.Load() > conn.receivedIdle:
		state.Phase = greengageroute.ConnectionInHeader
	}
	return state
}

// unread reports whether the caller reads nothing of what is being written.
func (conn *Conn) unread() bool {
	return conn.writing.Load() && conn.stalledChecks.Load() >= stalledWriteChecks
}

// check ends a write without progress. It is called once a second, and a process that is
// suspended makes no checks.
func (conn *Conn) check() (stalled bool) {
	written := conn.written.Load()
	if !conn.writing.Load() || written != conn.writtenSeen {
		conn.writtenSeen = written
		conn.stalledChecks.Store(0)
		return false
	}
	if conn.stalledChecks.Add(1) != writeStallLimit {
		return false
	}
	_ = conn.SetWriteDeadline(longAgo) // fails on a closed connection
	return true
}
