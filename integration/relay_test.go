package integration

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type (
	// tcpRelay carries connections to one address and can break them.
	tcpRelay struct {
		listener net.Listener
		to       string
		cut      atomic.Bool  // refuse new connections and close those that there are
		silent   atomic.Int64 // connections with a lower number carry nothing more
		opened   atomic.Int64
		delay    atomic.Int64 // nanoseconds before each piece towards the target
		// holds keep what goes towards the target, or back, until they end: a cut one
		// way loses nothing that TCP sends again.
		holdsTo, holdsBack atomic.Bool

		mu   sync.Mutex
		open map[net.Conn]struct{}
	}

	// udpRelay carries datagrams to one address and can drop those of a source.
	udpRelay struct {
		socket *net.UDPConn
		to     *net.UDPAddr
		drops  func(source string) bool

		mu    sync.Mutex
		paths map[string]*net.UDPConn
	}
)

func newTCPRelay(t *testing.T, to string) *tcpRelay {
	t.Helper()
	return relayAt(t, "127.0.0.1:0", to)
}

func relayAt(t *testing.T, at, to string) *tcpRelay {
	t.Helper()
	listener, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	relay := &tcpRelay{listener: listener, to: to, open: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		_ = listener.Close()
		relay.closeAll()
	})
	go relay.accept()
	return relay
}

func (relay *tcpRelay) address() string { return relay.listener.Addr().String() }

func (relay *tcpRelay) accept() {
	for {
		from, err := relay.listener.Accept()
		if err != nil {
			return
		}
		if relay.cut.Load() {
			_ = from.Close()
			continue
		}
		go relay.carry(from)
	}
}

func (relay *tcpRelay) carry(from net.Conn) {
	to, err := net.Dial("tcp", relay.to)
	if err != nil {
		_ = from.Close()
		return
	}
	number := relay.opened.Add(1)
	relay.mu.Lock()
	relay.open[from], relay.open[to] = struct{}{}, struct{}{}
	relay.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { relay.pipe(to, from, number, &relay.delay, &relay.holdsTo) })
	pipes.Go(func() { relay.pipe(from, to, number, &atomic.Int64{}, &relay.holdsBack) })
	pipes.Wait()
	relay.mu.Lock()
	delete(relay.open, from)
	delete(relay.open, to)
	relay.mu.Unlock()
}

func (relay *tcpRelay) pipe(to, from net.Conn, number int64, delay *atomic.Int64, holds *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if number <= relay.silent.Load() {
			_, _ = io.Copy(io.Discard, from) // swallow without a sign
			return
		}
		time.Sleep(time.Duration(delay.Load()))
		for holds.Load() {
			time.Sleep(poll / 5)
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes every connection that is open now carry nothing more, while new
// ones work.
func (relay *tcpRelay) silence() { relay.silent.Store(relay.opened.Load()) }

// setCut refuses and closes, or heals.
func (relay *tcpRelay) setCut(cut bool) {
	relay.cut.Store(cut)
	if cut {
		relay.closeAll()
	}
}

// reset breaks the open connections off: what was under way on them is lost.
func (relay *tcpRelay) reset() {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for connection := range relay.open {
		// A connection that has closed meanwhile needs no reset.
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}
}

func (relay *tcpRelay) closeAll() {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for connection := range relay.open {
		_ = connection.Close()
	}
}

func newUDPRelay(t *testing.T, to string, drops func(source string) bool) *udpRelay {
	t.Helper()
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	relay := &udpRelay{socket: socket, to: target, drops: drops, paths: map[string]*net.UDPConn{}}
	t.Cleanup(relay.close)
	go relay.accept()
	return relay
}

func (relay *udpRelay) address() string { return relay.socket.LocalAddr().String() }

func (relay *udpRelay) accept() {
	buffer := make([]byte, 64<<10)
	for {
		count, source, err := relay.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || relay.drops(source.String()) {
			continue
		}
		if path := relay.path(source); path != nil {
			_, _ = path.Write(buffer[:count])
		}
	}
}

func (relay *udpRelay) path(source *net.UDPAddr) *net.UDPConn {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if path, ok := relay.paths[source.String()]; ok {
		return path
	}
	path, err := net.DialUDP("udp", nil, relay.to)
	if err != nil {
		return nil
	}
	relay.paths[source.String()] = path
	go relay.back(path, source)
	return path
}

func (relay *udpRelay) back(path *net.UDPConn, source *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := path.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !relay.drops(source.String()) {
			_, _ = relay.socket.WriteToUDP(buffer[:count], source)
		}
	}
}

func (relay *udpRelay) close() {
	_ = relay.socket.Close()
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for _, path := range relay.paths {
		_ = path.Close()
	}
}
