package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// stallsAfter is a step of a script: the target sends a part of its stream and goes silent.
func stallsAfter(text string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { writer.CloseWithError(ctx.Err()) })
		go func() { _, _ = io.WriteString(writer, text) }() // fails when the attempt ends
		answer, err := answers(200, "")(ctx, attempt)
		answer.Body = reader
		return answer, err
	}
}

// TestStoppingEntryPassesOnWhatEndsInTime guards against requests that a stopping entry sends
// to a target and then cuts off, and against refusals of what can be served.
func TestStoppingEntryPassesOnWhatEndsInTime(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		forwarded bool
		usual     time.Duration // of answers on the route; 0: none was observed
		stopAfter time.Duration // from the request on; negative: before it
		acceptFor time.Duration
		endAfter  time.Duration
		script    script
		status    int
		attempts  int
		remaining time.Duration // handed to the target at most
		body      string
		aborted   bool
	}{
		{name: "its deadline is before the end", path: "/post/x", acceptFor: 2 * time.Second, endAfter: 8 * time.Second, script: script{answers(200, "done")}, status: 200, attempts: 1, remaining: time.Second},
		{name: "its deadline is before the end, late", path: "/post/x", endAfter: 2 * time.Second, script: script{answers(200, "done")}, status: 200, attempts: 1, remaining: time.Second},
		{name: "it usually ends in time", path: "/post/x", usual: 20 * time.Millisecond, acceptFor: 300 * time.Millisecond, endAfter: 900 * time.Millisecond, script: script{answers(200, "done")}, status: 200, attempts: 1, remaining: 900 * time.Millisecond},
		{name: "it usually ends in time, late", path: "/post/x", usual: 20 * time.Millisecond, endAfter: 900 * time.Millisecond, script: script{answers(200, "late")}, status: 503},
		{name: "it usually takes longer", path: "/get/x", usual: 950 * time.Millisecond, acceptFor: 300 * time.Millisecond, endAfter: 900 * time.Millisecond, script: script{answers(200, "late")}, status: 503},
		{name: "an action that may take longer", path: "/post/x", usual: 400 * time.Millisecond, acceptFor: 300 * time.Millisecond, endAfter: 700 * time.Millisecond, script: script{answers(200, "late")}, status: 503},
		{name: "a short stream", path: "/chat/x", acceptFor: time.Second, endAfter: 3 * time.Second, script: script{answers(200, events(1, 3))}, status: 200, attempts: 1, remaining: 3 * time.Second, body: events(1, 3)},
		{name: "a stream that takes longer", path: "/chat/x", acceptFor: 300 * time.Millisecond, endAfter: 700 * time.Millisecond, script: script{answers(200, events(1, 3))}, status: 503},
		{name: "a forwarded action, late", path: "/post/x", forwarded: true, endAfter: 900 * time.Millisecond, script: script{answers(200, "late")}, status: 421},
		{name: "a running action", path: "/post/x", stopAfter: 100 * time.Millisecond, endAfter: 400 * time.Millisecond, script: script{hangs}, status: 504, attempts: 1, remaining: time.Second},
		{name: "a running read", path: "/get/x", stopAfter: 100 * time.Millisecond, endAfter: 300 * time.Millisecond, script: script{hangs}, status: 504, attempts: 1, remaining: time.Second},
		{name: "a stream that has not begun", path: "/chat/x", stopAfter: 100 * time.Millisecond, endAfter: 400 * time.Millisecond, script: script{hangs}, status: 504, attempts: 1, remaining: 8 * time.Second},
		{name: "a running stream", path: "/chat/x", stopAfter: 100 * time.Millisecond, endAfter: 400 * time.Millisecond, script: script{stallsAfter(events(1, 2) + "id: 3\nda")}, status: 200, attempts: 1, remaining: 8 * time.Second, body: events(1, 2), aborted: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				for range 20 {
					if test.usual > 0 {
						fixture.service.Latencies.Observe("post", test.usual)
						fixture.service.Latencies.Observe("get", test.usual)
					}
				}
				stop := func() {
					fixture.service.Stop(time.Now().Add(test.acceptFor), time.Now().Add(test.endAfter))
				}
				if test.stopAfter > 0 {
					time.AfterFunc(test.stopAfter, stop)
				} else {
					stop()
				}
				request := newRequest("POST", test.path)
				if test.forwarded {
					request.Header.Set("Entry-Attempts", "0")
				}
				began := time.Now()
				recorder, aborted := fixture.serve(request)
				if recorder.Code != test.status || len(fixture.attempts) != test.attempts || aborted != test.aborted {
					t.Errorf("got %d after %d attempts, aborted %t, want %d after %d, %t", recorder.Code, len(fixture.attempts), aborted, test.status, test.attempts, test.aborted)
				}
				if took, limit := time.Since(began), test.stopAfter+test.endAfter; took > limit {
					t.Errorf("took %s, want at most %s", took, limit)
				}
				if len(fixture.attempts) > 0 && fixture.attempts[0].Remaining > test.remaining {
					t.Errorf("the target was given %s, want at most %s", fixture.attempts[0].Remaining, test.remaining)
				}
				if test.body != "" && recorder.Body.String() != test.body {
					t.Errorf("got body %q, want %q", recorder.Body.String(), test.body)
				}
				if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
					t.Error("the 503 has no Retry-After header")
				}
				if test.stopAfter == 0 && recorder.Header().Get("Connection") != "close" {
					t.Error("the answer doesn't close the connection")
				}
				time.Sleep(2 * time.Second) // lets the timers of the stop and the crash checks finish
			})
		})
	}
}

// TestStoppingEntryRefusesUnfinishedBody guards against callers whose connection ends without
// an answer because their body came too slowly for a stopping entry.
func TestStoppingEntryRefusesUnfinishedBody(t *testing.T) {
	fixture := newFixture(script{answers(200, "late")})
	server := httptest.NewServer(fixture.service)
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /post/x HTTP/1.1\r\nHost: h\r\nX-Greengageroute-Attempt-Id: id-1\r\nAuthorization: Bearer key\r\nContent-Length: 10\r\n\r\nhalf")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { fixture.service.Stop(time.Now(), time.Now().Add(100*time.Millisecond)) })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a failure shows below
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || len(fixture.attempts) != 0 {
		t.Errorf("got %d after %d attempts, want 503 after none", response.StatusCode, len(fixture.attempts))
	}
}
