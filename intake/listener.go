package intake

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

// Counters; docs/OPERATIONS.md lists them.
const (
	// CountConnectionsClosed counts connections that were closed at the bound in favour of new
	// ones, CountConnectionsRefused new ones for which none could be closed.
	CountConnectionsClosed  = "caller-connections-closed"
	CountConnectionsRefused = "caller-connections-refused"
	// CountWritesStalled counts connections that were closed since nothing was read from
	// them.
	CountWritesStalled = "answers-not-read"
)

const (
	// checkInterval is the interval of checks for callers that make no progress.
	checkInterval = time.Second
	// closingShare is the part of the bound by which connections that are about to be closed
	// may exceed it.
	closingShare = 8
)

type (
	// Listener is the listener of an HTTP server. It bounds the open connections, and tracks
	// them, so that those without a request can be closed. http.Server.Shutdown waits for new
	// connections without a request, and drops a request that comes on one of them without an
	// answer.
	Listener struct {
		*net.TCPListener
		maxConns atomic.Int64
		closing  atomic.Bool
		counters *expvar.Map

		mu        sync.Mutex
		conns     map[*Conn]struct{}
		empty     chan struct{} // closed when the last connection has ended
		closeOnce sync.Once     // a connection may be accepted as the listener is closed
	}
)

// Listen opens a listener that keeps at most the given number of connections open.
func Listen(network, address string, maxConns int, counters *expvar.Map) (*Listener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tracked := &Listener{TCPListener: listener.(*net.TCPListener), counters: counters, conns: map[*Conn]struct{}{}, empty: make(chan struct{})}
	tracked.SetMaxConns(maxConns)
	return tracked, nil
}

// SetMaxConns replaces the bound for new connections.
func (listener *Listener) SetMaxConns(maxConns int) { listener.maxConns.Store(int64(maxConns)) }

// Configure lets an HTTP server tell the listener what its connections do, and its requests
// find their connections.
func (listener *Listener) Configure(server *http.Server) *http.Server {
	server.ConnState, server.ConnContext = listener.connState, ConnContext
	return server
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if !listener.admit() {
			listener.counters.Add(CountConnectionsRefused, 1)
			_ = accepted.Close()
			continue
		}
		_ = accepted.SetReadBuffer(receiveBuffer) // fails on a closed connection, as the next line
		_ = accepted.SetWriteBuffer(sendBuffer)
		conn := &Conn{Conn: accepted, listener: listener}
		listener.mu.Lock()
		listener.conns[conn] = struct{}{}
		listener.mu.Unlock()
		conn.setBusy(false)
		return conn, nil
	}
}

// admit makes room for a new connection and reports whether there is any.
func (listener *Listener) admit() bool {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	open, bound := int64(len(listener.conns)), listener.maxConns.Load()
	if open < bound {
		return true
	}
	if open >= bound+bound/closingShare {
		return false // those chosen before have not closed yet
	}
	now := time.Now()
	var conns []*Conn
	var states []greengageroute.CallerConnection
	for conn := range listener.conns {
		conns, states = append(conns, conn), append(states, conn.state(now))
	}
	index := greengageroute.ChooseClosed(states)
	if index < 0 {
		return false
	}
	conn := conns[index]
	switch states[index].Phase {
	case greengageroute.ConnectionStalled:
		_ = conn.SetLinger(0) // an answer that was cut off must not look complete
		_ = conn.Conn.Close()
	case greengageroute.ConnectionReceiving:
		if reader := conn.reader.Load(); reader == nil || !reader.endReading(errNoConnection) {
			return false // the body has just been read
		}
	default:
		conn.expireIfIdle() // a request that was just read is still served
	}
	listener.counters.Add(CountConnectionsClosed, 1)
	return true
}

// Check ends writes without progress. It is to be called once a second.
func (listener *Listener) Check() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for conn := range listener.conns {
		if conn.check() {
			listener.counters.Add(CountWritesStalled, 1)
		}
	}
}

// Stop accepts no more connections and closes those without a request, the others after
// their answers. The returned channel is closed when all have ended.
func (listener *Listener) Stop() <-chan struct{} {
	listener.TCPListener.Close()
	listener.closing.Store(true)
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for conn := range listener.conns {
		conn.expireIfIdle()
	}
	if len(listener.conns) == 0 {
		listener.closeOnce.Do(func() { close(listener.empty) })
	}
	return listener.empty
}

// connState is the hook of the HTTP server for changes of a connection's state.
func (listener *Listener) connState(served net.Conn, state http.ConnState) {
	conn, tracked := served.(*Conn)
	if !tracked {
		return
	}
	switch state {
	case http.StateActive:
		conn.setBusy(true)
	case http.StateIdle:
		conn.setBusy(false)
	case http.StateClosed, http.StateHijacked:
		listener.remove(conn)
	}
}

func (listener *Listener) remove(conn *Conn) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	delete(listener.conns, conn)
	if len(listener.conns) == 0 && listener.closing.Load() {
		listener.closeOnce.Do(func() { close(listener.empty) })
	}
}

// RunChecks checks a budget and listeners once a second until the context ends, and logs when
// requests or connections were ended or refused by their bounds since the last check.
func RunChecks(ctx context.Context, budget *Budget, log logr.Logger, listeners ...*Listener) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	counted := budget.endedCallers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			budget.Check()
			for _, listener := range listeners {
				listener.Check()
			}
			if ended := budget.endedCallers(); ended != counted {
				log.Info("requests or connections were ended or refused by the bounds for callers", "count", ended-counted, "held-bytes", budget.Used())
				counted = ended
			}
		}
	}
}
