package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

// process is a target's process. It answers calls without a length, and health checks
// with its id.
type process struct {
	id       string
	listener net.Listener
	conns    chan net.Conn
	checks   atomic.Int64
	silence  atomic.Int64 // before each response to a health check, in nanoseconds
	crashed  atomic.Bool
}

func startProcess(t *testing.T, id, address string) *process {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	process := &process{id: id, listener: listener, conns: make(chan net.Conn, 100)}
	t.Cleanup(process.crash)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			process.conns <- conn
			if process.crashed.Load() {
				conn.Close() // accepted as the process crashed
				continue
			}
			go process.serve(conn)
		}
	}()
	return process
}

func (process *process) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, _ := readRequest(reader)
		switch {
		case request == nil:
			return
		case request.URL.Path == "/health":
			process.checks.Add(1)
			time.Sleep(time.Duration(process.silence.Load()))
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Greengageroute-Instance-Id: "+process.id+"\r\nContent-Length: 0\r\n\r\n")
		case request.Method == http.MethodGet:
			reply(conn, request.Header.Get(platform.HeaderAttemptID), "own")
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platform.HeaderAttemptID+": "+request.Header.Get(platform.HeaderAttemptID)+"\r\n\r\nown")
			return
		}
	}
}

// crash ends the process: the operating system closes its listener and its connections.
func (process *process) crash() {
	process.crashed.Store(true)
	process.listener.Close()
	for {
		select {
		case conn := <-process.conns:
			conn.Close()
		default:
			return
		}
	}
}

func (process *process) target() greengageroute.Target {
	return greengageroute.Target{ID: process.id, Address: process.listener.Addr().String()}
}

// TestKeptConnectionOfASilentProcess guards against a whole answer that isn't delivered because
// its target was silent for a moment at its end.
func TestKeptConnectionOfASilentProcess(t *testing.T) {
	process := startProcess(t, "i-1", "127.0.0.1:0")
	target, client := process.target(), NewClient(func() {})
	sendUnframed(t, client, target, true)
	sentAt := sendUnframed(t, client, target, true)
	process.silence.Store(int64(600 * time.Millisecond))
	if _, err := client.CheckKeptConnection(t.Context(), target, "/health", sentAt); err != nil {
		t.Error("a process that goes on after a silence isn't taken for the one that answered")
	}
	sentAt = sendUnframed(t, client, target, true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.CheckKeptConnection(ctx, target, "/health", sentAt); err == nil {
		t.Error("confirmed beyond the context's deadline")
	}
}

// TestKeptConnectionTellsTheProcess guards against a crashed target that counts as running
// because another process accepts connections at its address.
func TestKeptConnectionTellsTheProcess(t *testing.T) {
	tests := []struct {
		name      string
		after     func(t *testing.T, process *process) // between the request and the check
		confirmed bool
	}{
		{"the process runs", func(*testing.T, *process) {}, true},
		{"the process has crashed", func(_ *testing.T, process *process) { process.crash() }, false},
		{"the target has restarted at its address", func(t *testing.T, process *process) {
			address := process.listener.Addr().String()
			process.crash()
			startProcess(t, process.id, address)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			process := startProcess(t, "i-1", "127.0.0.1:0")
			target, client := process.target(), NewClient(func() {})
			sentAt := sendUnframed(t, client, target, true)
			if _, err := client.CheckKeptConnection(context.Background(), target, "/health", sentAt); err == nil {
				t.Fatal("confirmed without a connection from before the request")
			}
			// The target is now known to send such answers.
			sentAt = sendUnframed(t, client, target, true)
			test.after(t, process)
			time.Sleep(20 * time.Millisecond) // the connections' end arrives
			if _, err := client.CheckKeptConnection(context.Background(), target, "/health", sentAt); (err == nil) != test.confirmed {
				t.Errorf("got error %v, want it confirmed: %t", err, test.confirmed)
			}
		})
	}
}

func TestSparesAreOpenedOnlyForUnframedAnswers(t *testing.T) {
	tests := []struct {
		name       string
		method     string
		needsSpare bool
		dials      int64
	}{
		{"answers with a length", http.MethodGet, true, 1},
		{"answers without one", http.MethodPost, true, 4}, // one for each request and a spare
		{"answers without one of an engine", http.MethodPost, false, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			process := startProcess(t, "i-1", "127.0.0.1:0")
			var dials atomic.Int64
			client := NewClient(func() { dials.Add(1) })
			for range 3 {
				exchangeOne(t, client, process.target(), test.method, test.needsSpare)
			}
			if dials.Load() != test.dials {
				t.Errorf("opened %d connections, want %d", dials.Load(), test.dials)
			}
		})
	}
}

func sendUnframed(t *testing.T, client *Client, target greengageroute.Target, needsSpare bool) (sentAt time.Time) {
	return exchangeOne(t, client, target, http.MethodPost, needsSpare)
}

func exchangeOne(t *testing.T, client *Client, target greengageroute.Target, method string, needsSpare bool) (sentAt time.Time) {
	t.Helper()
	request := greengageroute.Request{ID: "id-1", Method: method, Host: "h", URI: "/x", Header: http.Header{platform.HeaderAttemptID: {"id-1"}}}
	answer, err := client.Do(context.Background(), request, greengageroute.Attempt{Target: target, Remaining: time.Second, NeedsSpare: needsSpare})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "own" {
		t.Fatalf("got %q and error %v", body, err)
	}
	answer.Close(true)
	return answer.SentAt
}
