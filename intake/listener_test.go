package intake

import (
	"bufio"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const testRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"

// trackedServer serves requests that take the given time, and counts them.
func trackedServer(t *testing.T, work time.Duration, handled *atomic.Int64) *Listener {
	tracker, err := Listen("tcp4", "127.0.0.1:0", 1000, new(expvar.Map).Init())
	if err != nil {
		t.Fatal(err)
	}
	server := tracker.Configure(&http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handled.Add(1)
		_, _ = io.Copy(io.Discard, request.Body) // a cut body ends the request's context
		select {
		case <-time.After(work):
			_, _ = io.WriteString(writer, "done")
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})})
	go func() { _ = server.Serve(tracker) }() // returns an error when the listener is closed
	t.Cleanup(func() { server.Close() })
	return tracker
}

func dial(t *testing.T, tracker *Listener) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp4", tracker.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // a failure shows in the exchange
	return conn, bufio.NewReader(conn)
}

// exchange sends a request and reports whether a whole answer came.
func exchange(conn net.Conn, reader *bufio.Reader) bool {
	if _, err := io.WriteString(conn, testRequest); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "done"
}

// TestStopEndsOnlyUnusedConnections guards against entries that wait for connections without a
// request until the end of their grace period, and against answers that are cut meanwhile.
func TestStopEndsOnlyUnusedConnections(t *testing.T) {
	var handled atomic.Int64
	tracker := trackedServer(t, 500*time.Millisecond, &handled)
	unused, unusedReader := dial(t, tracker)
	kept, keptReader := dial(t, tracker)
	if !exchange(kept, keptReader) {
		t.Fatal("no answer before the stop")
	}
	busy, busyReader := dial(t, tracker)
	answered := make(chan bool)
	go func() { answered <- exchange(busy, busyReader) }()
	for handled.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	done := tracker.Stop()
	for name, reader := range map[string]*bufio.Reader{"unused": unusedReader, "kept": keptReader} {
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("the %s connection ends with %v, want EOF", name, err)
		}
	}
	_ = unused.Close()
	if !<-answered {
		t.Error("the running request was not answered")
	}
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the connections have not ended")
	}
}

// TestStopAnswersWhatItHasRead guards against requests that a server reads as it closes its
// idle connections, begins to handle and cuts off.
func TestStopAnswersWhatItHasRead(t *testing.T) {
	for range 20 {
		var handled, answered atomic.Int64
		tracker := trackedServer(t, 5*time.Millisecond, &handled)
		var callers sync.WaitGroup
		for range 40 {
			conn, reader := dial(t, tracker)
			callers.Go(func() {
				for exchange(conn, reader) {
					answered.Add(1)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		<-tracker.Stop()
		callers.Wait()
		if handled.Load() != answered.Load() {
			t.Errorf("%d requests were handled, %d answered", handled.Load(), answered.Load())
		}
	}
}

// TestBoundClosesIdleConnections guards against connections that nobody uses and that keep
// callers out, and against more open connections than the descriptors allow.
func TestBoundClosesIdleConnections(t *testing.T) {
	var handled atomic.Int64
	tracker := trackedServer(t, time.Millisecond, &handled)
	tracker.SetMaxConns(8)
	open := func() int {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return len(tracker.conns)
	}
	for range 40 {
		// A new connection is refused until the one that was chosen for the last has closed.
		for deadline := time.Now().Add(5 * time.Second); open() > 8; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("a connection that was chosen at the bound does not close")
			}
		}
		idle, reader := dial(t, tracker)
		if !exchange(idle, reader) {
			t.Fatal("a new connection is not served at the bound")
		}
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if open := len(tracker.conns); open > 9 {
		t.Errorf("%d connections are open, want at most 8 and one that is closing", open)
	}
}

// TestUnreadAnswerEndsItsConnection guards against answers that are held without end for a
// caller that doesn't read, and against ending one that reads slowly.
func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		reads bool
		ends  bool
	}{{"read slowly", true, false}, {"not read", false, true}} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := Listen("tcp4", "127.0.0.1:0", 10, new(expvar.Map).Init())
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan error, 1)
			server := listener.Configure(&http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, err := writer.Write(make([]byte, 64<<20))
				written <- err
			})})
			go func() { _ = server.Serve(listener) }() // returns an error when the listener is closed
			defer server.Close()
			conn, reader := dial(t, listener)
			_, _ = io.WriteString(conn, testRequest) // a failure shows in the answer
			buffer := make([]byte, 1<<20)
			for range writeStallLimit + 5 {
				if test.reads {
					_, _ = io.ReadFull(reader, buffer) // a cut answer shows in the handler's error
				}
				time.Sleep(20 * time.Millisecond)
				listener.Check()
			}
			select {
			case err := <-written:
				if !test.ends || err == nil {
					t.Errorf("the write ended with %v", err)
				}
			case <-time.After(500 * time.Millisecond):
				if test.ends {
					t.Error("the write goes on")
				}
			}
		})
	}
}

// TestBoundEndsSlowBodies guards against bodies that arrive piece by piece and take all connections, so
// that no new one is served as long as they do.
func TestBoundEndsSlowBodies(t *testing.T) {
	const bound = 8
	counters := new(expvar.Map).Init()
	budget := NewBudget(greengageroute.BodyBudget{Total: bound * testLimit}, counters)
	listener := intakeServer(t, budget)
	listener.SetMaxConns(bound)
	stop := make(chan struct{})
	statuses := make(chan int, bound)
	var senders sync.WaitGroup
	for range bound {
		conn, reader := dial(t, listener)
		senders.Go(func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if _, err := conn.Write(make([]byte, 4<<10)); err != nil {
					break
				}
			}
		})
		go func() {
			if response, err := http.ReadResponse(reader, nil); err == nil {
				statuses <- response.StatusCode
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	conn, reader := dial(t, listener)
	_, _ = io.WriteString(conn, testRequest)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("a new connection beside slow bodies got %v, %v, want an answer", response, err)
	}
	if status := <-statuses; status != http.StatusServiceUnavailable {
		t.Errorf("the slow body that made room was answered %d, want 503", status)
	}
	close(stop)
	senders.Wait()
	if closed := counters.Get(CountConnectionsClosed).String(); closed != "1" {
		t.Errorf("%s connections were closed for one new one", closed)
	}
}
