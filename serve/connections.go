package serve

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

type (
	// connTracker is the listener of an HTTP server and tracks its connections, so that those
	// without a request can be closed. http.Server.Shutdown waits for new connections without
	// a request, and drops a request that comes on one of them without an answer.
	connTracker struct {
		*net.TCPListener
		closing atomic.Bool

		mu        sync.Mutex
		conns     map[*trackedConn]struct{}
		empty     chan struct{} // closed when the last connection has ended
		closeOnce sync.Once     // a connection may be accepted as the listener is closed
	}

	// trackedConn is a connection of an HTTP server.
	trackedConn struct {
		*net.TCPConn
		tracker *connTracker

		mu      sync.Mutex
		busy    bool // carries a request
		expired bool // reads fail until a request was read
	}
)

// longAgo is a deadline in the past.
var longAgo = time.Unix(1, 0)

// listenTCP opens a listener that tracks its connections.
func listenTCP(address string) (*connTracker, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &connTracker{TCPListener: listener.(*net.TCPListener), conns: map[*trackedConn]struct{}{}, empty: make(chan struct{})}, nil
}

// Accept implements net.Listener.
func (tracker *connTracker) Accept() (net.Conn, error) {
	accepted, err := tracker.AcceptTCP()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{TCPConn: accepted, tracker: tracker}
	tracker.mu.Lock()
	tracker.conns[conn] = struct{}{}
	tracker.mu.Unlock()
	conn.setBusy(false)
	return conn, nil
}

// stop accepts no more connections and closes those without a request, the others after
// their answers. The returned channel is closed when all have ended.
func (tracker *connTracker) stop() <-chan struct{} {
	tracker.TCPListener.Close()
	tracker.closing.Store(true)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for conn := range tracker.conns {
		conn.expireIfIdle()
	}
	if len(tracker.conns) == 0 {
		tracker.closeOnce.Do(func() { close(tracker.empty) })
	}
	return tracker.empty
}

// connState is the hook of the HTTP server for changes of a connection's state.
func (tracker *connTracker) connState(served net.Conn, state http.ConnState) {
	conn, tracked := served.(*trackedConn)
	if !tracked {
		return
	}
	switch state {
	case http.StateActive:
		conn.setBusy(true)
	case http.StateIdle:
		conn.setBusy(false)
	case http.StateClosed, http.StateHijacked:
		tracker.remove(conn)
	}
}

func (tracker *connTracker) remove(conn *trackedConn) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.conns, conn)
	if len(tracker.conns) == 0 && tracker.closing.Load() {
		tracker.closeOnce.Do(func() { close(tracker.empty) })
	}
}

// setBusy records whether the connection carries a request. One whose request was read is
// not closed before its answer.
func (conn *trackedConn) setBusy(busy bool) {
	conn.mu.Lock()
	conn.busy = busy
	if busy && conn.expired {
		conn.expired = false
		_ = conn.TCPConn.SetReadDeadline(time.Time{}) // fails on a closed connection
	}
	conn.mu.Unlock()
	if conn.tracker.closing.Load() {
		conn.expireIfIdle()
	}
}

// expireIfIdle has the server close a connection without a request: its wait for one fails.
func (conn *trackedConn) expireIfIdle() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.busy {
		conn.expired = true
		_ = conn.TCPConn.SetReadDeadline(longAgo) // fails on a closed connection
	}
}

// SetReadDeadline implements net.Conn. The HTTP server sets a deadline before it reads a
// request.
func (conn *trackedConn) SetReadDeadline(deadline time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.expired {
		deadline = longAgo
	}
	return conn.TCPConn.SetReadDeadline(deadline)
}
