package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

// serveRaw starts a TCP server on loopback that calls answer for each connection.
func serveRaw(t *testing.T, answer func(conn net.Conn, reader *bufio.Reader)) greengageroute.Target {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				answer(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return greengageroute.Target{ID: "i-1", Address: listener.Addr().String()}
}

func send(client *Client, target greengageroute.Target, id string, body []byte) (*Answer, error) {
	request := greengageroute.Request{
		ID: id, Method: http.MethodPost, Host: "h", URI: "/x?y=1", Body: greengageroute.Body{body},
		Header: http.Header{platform.HeaderAttemptID: {id}},
	}
	return client.Do(context.Background(), request, greengageroute.Attempt{Target: target, Remaining: time.Second})
}

func readRequest(reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body) // a truncated body is returned as far as it was received
	return request, string(body)
}

func reply(conn net.Conn, id, body string) {
	// A failed write is seen by the test as a missing answer.
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platform.HeaderAttemptID+": "+id+"\r\nContent-Length: "+
		string(rune('0'+len(body)))+"\r\n\r\n"+body)
}

func TestAnswersAreMatchedByID(t *testing.T) {
	tests := []struct {
		name   string
		answer func(conn net.Conn, id string)
		body   string
		lost   bool
	}{
		{"the request's own answer", func(conn net.Conn, id string) { reply(conn, id, "own") }, "own", false},
		{"a late answer to another request before its own", func(conn net.Conn, id string) {
			reply(conn, "other", "late")
			reply(conn, id, "own")
		}, "own", false},
		{"only answers to other requests", func(conn net.Conn, _ string) {
			for range 5 {
				reply(conn, "other", "late")
			}
		}, "", true},
		{"no answer", func(net.Conn, string) {}, "", true},
		{"bytes that are not an HTTP response", func(conn net.Conn, _ string) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") }, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				if request, _ := readRequest(reader); request != nil {
					test.answer(conn, request.Header.Get(platform.HeaderAttemptID))
				}
			})
			answer, err := send(NewClient(func() {}), target, "id-1", []byte("body"))
			var lost *AnswerLostError
			if errors.As(err, &lost) != test.lost {
				t.Fatalf("got error %v, want an AnswerLostError only without an own answer", err)
			}
			if err != nil {
				return
			}
			body, err := io.ReadAll(answer.Body)
			if string(body) != test.body || err != nil {
				t.Errorf("got body %q and error %v, want the request's own answer", body, err)
			}
		})
	}
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platform.HeaderAttemptID+": id-1\r\nContent-Length: 100\r\n\r\nhalf")
	})
	answer, err := send(NewClient(func() {}), target, "id-1", nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); err == nil {
		t.Errorf("the truncated body %q was read without an error", body)
	}
}

// TestAnswersThatEndWithTheirConnection guards against a truncated answer without length
// or chunks that looks complete, and against the reuse of its connection.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	tests := []struct {
		name  string
		end   func(conn net.Conn)
		whole bool
	}{
		{"closed", func(net.Conn) {}, true},
		{"reset", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0) // closing then resets the connection
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			read := make(chan struct{})
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platform.HeaderAttemptID+": id-1\r\n\r\nown")
				<-read // a reset may discard what the client hasn't read
				test.end(conn)
			})
			client := NewClient(func() {})
			answer, err := send(client, target, "id-1", nil)
			if err != nil {
				t.Fatal(err)
			}
			if !answer.EndsWithConnection {
				t.Error("the answer doesn't say that only its connection's end delimits it")
			}
			var body [3]byte
			if _, err := io.ReadFull(answer.Body, body[:]); err != nil {
				t.Fatal(err)
			}
			close(read)
			rest, err := io.ReadAll(answer.Body)
			if (err == nil) != test.whole || len(rest) > 0 {
				t.Errorf("the answer ended with %q and error %v, want it complete: %t", rest, err, test.whole)
			}
			answer.Close(err == nil)
			if client.HasIdleConnection(target, false) {
				t.Error("the connection counts as reusable")
			}
		})
	}
}

// TestResetDuringTheUploadIsNoEnd guards against a truncated answer without length or chunks that looks
// complete because the writing of the request's body is told of the reset, and the reading isn't.
func TestResetDuringTheUploadIsNoEnd(t *testing.T) {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) } // closing then resets the connection
	tests := []struct {
		name  string
		end   func(conn *net.TCPConn)
		whole bool
	}{
		{"closed with unread data", func(*net.TCPConn) {}, false},
		{"reset at once", reset, false},
		{"reset after the end of the answer", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		}, false},
		{"half closed, the body is read", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		{"half closed, the body is not read", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			<-t.Context().Done()
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				tcp := conn.(*net.TCPConn)
				if err := tcp.SetReadBuffer(bufferSize); err != nil {
					t.Error(err)
				}
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platform.HeaderAttemptID+": id-1\r\n\r\nown")
					test.end(tcp)
				}
			})
			answer, err := send(NewClient(func() {}), target, "id-1", make([]byte, 16<<20))
			if err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(5 * time.Second); !test.whole && len(answer.conn.written) == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the writing of the body didn't end")
				}
			}
			body, err := io.ReadAll(answer.Body)
			answer.Close(err == nil)
			if (err == nil) != test.whole || string(body) != "own" {
				t.Errorf("the answer ended with %q and error %v, want it complete: %t", body, err, test.whole)
			}
		})
	}
}

func TestUnreachableTargetIsReportedAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	_, err = send(NewClient(func() {}), greengageroute.Target{ID: "i-1", Address: listener.Addr().String()}, "id-1", nil)
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("got error %v, want a NotSentError", err)
	}
}

func TestConnectionsAreReusedOnlyWithoutUnreadData(t *testing.T) {
	tests := []struct {
		name  string
		after string // what the target sends after its answer
		dials int
	}{
		{"nothing more is sent", "", 1},
		{"a second answer is sent", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					request, _ := readRequest(reader)
					if request == nil {
						return
					}
					reply(conn, request.Header.Get(platform.HeaderAttemptID), "own")
					_, _ = io.WriteString(conn, test.after)
				}
			})
			dials := 0
			client := NewClient(func() { dials++ })
			for _, id := range []string{"id-1", "id-2"} {
				answer, err := send(client, target, id, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(answer.Body); err != nil {
					t.Fatal(err)
				}
				answer.Close(true)
				waitForUnreadData(t, client, test.after != "")
			}
			if dials != test.dials {
				t.Errorf("%d connections were dialled, want %d", dials, test.dials)
			}
		})
	}
}

// waitForUnreadData waits until an idle connection has received unread data, if
// such data is expected, or until no connection is idle.
func waitForUnreadData(t *testing.T, client *Client, expected bool) {
	t.Helper()
	if !expected {
		return
	}
	for range 200 {
		client.mu.Lock()
		found := false
		for _, conns := range client.idle {
			for _, conn := range conns {
				found = found || !conn.usable()
			}
		}
		empty := len(client.idle) == 0
		client.mu.Unlock()
		if found || empty {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A request that must not run twice isn't sent over a connection that has been
// idle for long: the target may have dropped it without notice, and a request that
// is lost there may have run.
func TestAtMostOnceRequestsAvoidIdleConnections(t *testing.T) {
	tests := []struct {
		name       string
		idle       time.Duration
		atMostOnce bool
		dials      int
	}{
		{"an action on a recently used connection", 0, true, 1},
		{"an action on an idle connection", 2 * maxIdleAtMostOnce, true, 2},
		{"an idempotent request on an idle connection", 2 * maxIdleAtMostOnce, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				for request, _ := readRequest(reader); request != nil; request, _ = readRequest(reader) {
					reply(conn, request.Header.Get(platform.HeaderAttemptID), "own")
				}
			})
			dials := 0
			client := NewClient(func() { dials++ })
			for _, id := range []string{"id-1", "id-2"} {
				request := greengageroute.Request{ID: id, Method: "POST", Host: "h", URI: "/x", Header: http.Header{platform.HeaderAttemptID: {id}}}
				answer, err := client.Do(context.Background(), request, greengageroute.Attempt{Target: target, Remaining: time.Second, AtMostOnce: test.atMostOnce})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(answer.Body); err != nil {
					t.Fatal(err)
				}
				answer.Close(true)
				answer.conn.idleSince = answer.conn.idleSince.Add(-test.idle)
				if reusable := client.HasIdleConnection(target, test.atMostOnce); reusable != (test.dials == 1) {
					t.Errorf("HasIdleConnection returned %t, want the opposite", reusable)
				}
			}
			if dials != test.dials {
				t.Errorf("%d connections were dialled, want %d", dials, test.dials)
			}
		})
	}
}

// TestEndlessResponsesAreCutOff guards against targets in trouble that send bytes
// without end which are no answer to the request.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": other\r\nContent-Length: 9000000000\r\n\r\n"
	tests := []struct {
		name, start, repeated string
	}{
		{"bytes without a line end", "", strings.Repeat("x", 4096)},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("x", 100) + "\r\n"},
		{"one header field", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"an answer to another request", foreign, strings.Repeat("x", 4096)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			closed := make(chan struct{})
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				readRequest(reader)
				_, err := io.WriteString(conn, test.start)
				for err == nil {
					_, err = io.WriteString(conn, test.repeated)
				}
			})
			_, err := send(NewClient(func() {}), target, "id-1", nil)
			var lost *AnswerLostError
			if !errors.As(err, &lost) {
				t.Fatalf("got error %v, want an answer lost", err)
			}
			<-closed // the connection has been closed
		})
	}
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	body := []byte(strings.Repeat("x", 64<<20)) // more than the send buffer holds
	target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		if err := conn.(*net.TCPConn).SetReadBuffer(bufferSize); err != nil {
			t.Error(err)
		}
		if _, err := http.ReadRequest(reader); err == nil {
			reply(conn, "id-1", "early")
			time.Sleep(100 * time.Millisecond) // the rest of the body stays unread
		}
	})
	answer, err := send(NewClient(func() {}), target, "id-1", body)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(answer.Body); string(text) != "early" || err != nil {
		t.Errorf("got body %q and error %v, want \"early\"", text, err)
	}
	answer.Close(true)
	if len(answer.client.idle) > 0 {
		t.Error("a connection whose request body is not completely written was returned to the pool")
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	received := make(chan *http.Request, 1)
	target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		request, body := readRequest(reader)
		request.Header.Set("Body", body)
		received <- request
		reply(conn, "id-1", "own")
	})
	if _, err := send(NewClient(func() {}), target, "id-1", []byte("body")); err != nil {
		t.Fatal(err)
	}
	request := <-received
	if request.Method != "POST" || request.RequestURI != "/x?y=1" || request.Host != "h" || request.Header.Get("Body") != "body" {
		t.Errorf("the target received %s %s %s with body %q", request.Method, request.Host, request.RequestURI, request.Header.Get("Body"))
	}
	if request.Header.Get(platform.HeaderExpectedInstance) != "i-1" {
		t.Error("the request has no header with the id of the expected target")
	}
}

// TestConnectionsToEntriesAreClosed guards against entries that help many others and run out of
// descriptors for connections that are no longer used.
func TestConnectionsToEntriesAreClosed(t *testing.T) {
	tests := []struct {
		name    string
		toEntry bool
		idleFor time.Duration
		kept    int
	}{
		{"of a forwarded request", true, 500 * time.Millisecond, 1},
		{"of a forwarded request, too old for the next", true, 800 * time.Millisecond, 0},
		{"to a target", false, 800 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				if request, _ := readRequest(reader); request != nil {
					reply(conn, request.Header.Get(platform.HeaderAttemptID), "own")
				}
				_, _ = reader.ReadByte() // keeps the connection open
			})
			client := NewClient(func() {})
			request := greengageroute.Request{ID: "id-1", Method: "POST", URI: "/x", Host: "h", Header: http.Header{platform.HeaderAttemptID: {"id-1"}}}
			answer, err := client.Do(t.Context(), request, greengageroute.Attempt{Target: target, Remaining: time.Second, ToEntry: test.toEntry})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(answer.Body); err != nil {
				t.Fatal(err)
			}
			answer.Close(true)
			for _, conn := range client.idle[poolKey(target)] {
				conn.idleSince = time.Now().Add(-test.idleFor)
			}
			client.CloseExpired()
			if kept := len(client.idle[poolKey(target)]); kept != test.kept {
				t.Errorf("%d connections are kept, want %d", kept, test.kept)
			}
		})
	}
}
