package intake

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const testLimit = 1 << 20

// intakeServer reads bodies of up to testLimit and answers with their lengths.
func intakeServer(t *testing.T, budget *Budget) *Listener {
	listener, err := Listen("tcp4", "127.0.0.1:0", 1000, budget.counters)
	if err != nil {
		t.Fatal(err)
	}
	server := listener.Configure(&http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var holding Holding
		holding.Begin(request.Context(), budget, writer)
		defer holding.Release()
		body, err := holding.ReadBody(request.Body, request.ContentLength, testLimit)
		var refused *Refusal
		switch {
		case errors.As(err, &refused):
			writer.WriteHeader(refused.Status)
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprint(writer, body.Len())
		}
	})})
	go func() { _ = server.Serve(listener) }() // returns an error when the listener is closed
	t.Cleanup(func() { server.Close() })
	return listener
}

// waitUntilFree waits until the budget holds nothing.
func waitUntilFree(t *testing.T, budget *Budget) {
	t.Helper()
	for range 500 {
		if budget.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the budget still holds %d bytes", budget.Used())
}

// TestBudgetReturnsToZero guards against bytes that are never returned, after which a process
// would refuse all callers, and against answers that fit to what was read.
func TestBudgetReturnsToZero(t *testing.T) {
	const small, large = "small", 200 << 10
	for _, test := range []struct {
		name    string
		request string // after the request line
		closes  bool   // the caller closes its side
		checks  int    // that are made meanwhile
		want    string // status, and the body of the answer; empty: the connection is closed
	}{
		{"a small body", "Content-Length: 5\r\n\r\n" + small, false, 0, "200 5"},
		{"a large body", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", large, strings.Repeat("x", large)), false, 0, "200 204800"},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nsmall\r\n0\r\n\r\n", false, 0, "200 5"},
		{"tiny chunks", "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", large) + "0\r\n\r\n", false, 0, "200 204800"},
		{"a body that exceeds the limit by its length", "Content-Length: 1048577\r\n\r\nx", false, 0, "413 "},
		{"a body that exceeds the limit", "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 20), false, 0, "413 "},
		{"a body that ends early", "Content-Length: 300000\r\n\r\nx", true, 0, ""},
		{"a body that stops", "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", large), false, 25, "408 "},
		{"a body that never begins", "Content-Length: 300000\r\n\r\n", false, 25, "408 "},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(greengageroute.NewBodyBudget(greengageroute.VMLimits{MemoryMB: 136}), new(expvar.Map).Init())
			conn, reader := dial(t, intakeServer(t, budget))
			go func() { _, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+test.request) }() // a refused body is not read on
			if test.closes {
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			if test.checks > 0 {
				time.Sleep(200 * time.Millisecond)
			}
			for range test.checks {
				budget.Check()
			}
			got := ""
			if response, err := http.ReadResponse(reader, nil); err == nil {
				body, _ := io.ReadAll(response.Body) // shows in the comparison
				got = fmt.Sprintf("%d %s", response.StatusCode, body)
			}
			if got != test.want {
				t.Errorf("answer %q, want %q", got, test.want)
			}
			waitUntilFree(t, budget)
		})
	}
}

// TestStoppedBodyIsEndedForAnother guards against stopped callers that keep others out, and
// against others that are refused although one can be ended.
func TestStoppedBodyIsEndedForAnother(t *testing.T) {
	budget := NewBudget(greengageroute.BodyBudget{Total: 600 << 10, SmallReserve: 100 << 10}, new(expvar.Map).Init())
	listener := intakeServer(t, budget)
	stopped, stoppedReader := dial(t, listener)
	_, _ = io.WriteString(stopped, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 400_000)) // a failure shows below
	send := func() string {
		_, reader := dialAndSend(t, listener, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 300<<10, strings.Repeat("x", 300<<10)))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err.Error()
		}
		return response.Status
	}
	for budget.Used() < 400_000 {
		time.Sleep(time.Millisecond)
	}
	if status := send(); status != "503 Service Unavailable" {
		t.Errorf("beside a body that has just arrived: %s, want 503", status)
	}
	budget.Check()
	budget.Check()
	budget.Check()
	if status := send(); status != "200 OK" {
		t.Errorf("beside a body that has stopped: %s, want 200", status)
	}
	response, err := http.ReadResponse(stoppedReader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the body that has stopped: %v, %v, want 503", response, err)
	}
	waitUntilFree(t, budget)
}

func dialAndSend(t *testing.T, listener *Listener, text string) (net.Conn, *bufio.Reader) {
	conn, reader := dial(t, listener)
	go func() { _, _ = io.WriteString(conn, text) }() // a refused body is not read on
	return conn, reader
}

// TestReleaseEndsReservations guards against attempts that outlive their request and reserve
// bytes that nobody returns.
func TestReleaseEndsReservations(t *testing.T) {
	budget := NewBudget(greengageroute.BodyBudget{Total: 100}, new(expvar.Map).Init())
	var holding Holding
	holding.Begin(context.Background(), budget, httptest.NewRecorder())
	if err := holding.Reserve(60); err != nil {
		t.Fatal(err)
	}
	holding.Release()
	if err := holding.Reserve(10); err == nil || budget.Used() != 0 {
		t.Errorf("after the release: error %v, %d bytes held, want an error and 0", err, budget.Used())
	}
}

// TestLongHeadersAreCharged guards against requests whose headers of many short fields take many times
// their length, in no account, until the process is out of memory.
func TestLongHeadersAreCharged(t *testing.T) {
	fields := func(count int, value string) http.Header {
		header := http.Header{}
		for i := range count {
			header.Set(fmt.Sprint("X-", i), value)
		}
		return header
	}
	budget := NewBudget(greengageroute.BodyBudget{Total: testLimit, SmallReserve: testLimit / 4}, new(expvar.Map).Init())
	var holdings [4]Holding
	for i, test := range []struct {
		name        string
		header      http.Header
		least, most int64
		refused     bool
	}{
		{"an ordinary one", fields(20, strings.Repeat("x", 100)), 0, 0, false},
		{"many short fields", fields(1800, "x"), 460_000, 520_000, false},
		{"one long field", fields(1, strings.Repeat("x", 15_000)), 30_000, 31_000, false},
		{"many more of them", fields(1800, "x"), 0, 0, true},
	} {
		before, holding := budget.Used(), &holdings[i]
		holding.Begin(context.Background(), budget, nil)
		err := holding.ReserveHeader(test.header)
		if refused := errors.Is(err, errOverBudget); refused != test.refused {
			t.Errorf("%s: got error %v, want a refusal: %t", test.name, err, test.refused)
		}
		if charged := budget.Used() - before; charged < test.least || charged > test.most {
			t.Errorf("%s: %d bytes are charged, want %d to %d", test.name, charged, test.least, test.most)
		}
	}
	for i := range holdings {
		holdings[i].Release()
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes are still held", budget.Used())
	}
}
