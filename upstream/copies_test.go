package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

const (
	refusalWithoutID    = "HTTP/1.1 503 Service Unavailable\r\nX-Greengageroute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	misdirectionAnswer  = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	refusalOfAnEarlier  = "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderAttemptID + ": id-0\r\nX-Greengageroute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	shortForeignBodyEnd = "HTTP/1.1 503 Service Unavailable\r\nX-Greengageroute-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nshort"
)

// TestCopiesOfRefusalsAreNotAnswers guards against a refusal that a faulty target writes once
// more, and that tells the next caller that its running request has not run.
func TestCopiesOfRefusalsAreNotAnswers(t *testing.T) {
	tests := []struct {
		name   string
		kept   bool // the connection has carried an answer before
		copies string
		own    bool // the request's own answer follows
		notRun bool
		lost   bool
	}{
		{"its own refusal on a new connection", false, refusalWithoutID, false, true, false},
		{"a copy of a refusal, then the answer", true, refusalWithoutID, true, false, false},
		{"two copies, then the answer", true, refusalWithoutID + refusalWithoutID, true, false, false},
		{"a copy of a 421, then the answer", true, misdirectionAnswer, true, false, false},
		{"a copy with the earlier id, then the answer", true, refusalOfAnEarlier, true, false, false},
		{"a refusal without an id alone", true, refusalWithoutID, false, false, true},
		{"a copy that ends early", true, shortForeignBodyEnd, false, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				if test.kept {
					readRequest(reader)
					reply(conn, "id-0", "old")
				}
				readRequest(reader)
				_, _ = io.WriteString(conn, test.copies)
				if test.own {
					reply(conn, "id-1", "own")
				}
				if test.copies != shortForeignBodyEnd {
					readRequest(reader) // keeps the connection open
				}
			})
			var dials atomic.Int64
			client := NewClient(func() { dials.Add(1) })
			if test.kept {
				readAnswer(t, client, target, "id-0", "old")
			}
			started := time.Now()
			answer, err := send(client, target, "id-1", nil)
			var lost *AnswerLostError
			if errors.As(err, &lost) != test.lost {
				t.Fatalf("got error %v, want an AnswerLostError: %t", err, test.lost)
			}
			if dials.Load() != 1 {
				t.Errorf("opened %d connections, want 1", dials.Load())
			}
			if test.lost {
				if took := time.Since(started); took > 2*maxForeignWait {
					t.Errorf("waited %s for the answer", took)
				}
				return
			}
			if answer.NotRun != test.notRun {
				t.Errorf("taken as not run: %t, want %t", answer.NotRun, test.notRun)
			}
			answer.Close(true)
			if test.notRun && client.HasIdleConnection(target, false) {
				t.Error("a connection is kept after a refusal without an id")
			}
		})
	}
}

// TestAnswersThatEndInTheirHeadAreLost guards against an answer whose head is cut off and that
// reaches its caller as an empty or short success.
func TestAnswersThatEndInTheirHeadAreLost(t *testing.T) {
	tests := []struct{ name, head string }{
		{"nothing", ""},
		{"within the status line", "HTTP/1.1 20"},
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"after the id", "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": id-1\r\n"},
		{"within the name of a header", "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": id-1\r\nContent-Le"},
		{"within the length", "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": id-1\r\nContent-Length: 1"},
		{"within the blank line", "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": id-1\r\n\r"},
		{"after the statement that it was not run", "HTTP/1.1 503 Service Unavailable\r\nX-Greengageroute-Not-Executed: 1\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, test.head)
			})
			_, err := send(NewClient(func() {}), target, "id-1", nil)
			var lost *AnswerLostError
			if !errors.As(err, &lost) {
				t.Errorf("got error %v, want an AnswerLostError", err)
			}
		})
	}
}

func readAnswer(t *testing.T, client *Client, target greengageroute.Target, id, want string) {
	t.Helper()
	answer, err := send(client, target, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != want || answer.Status != http.StatusOK {
		t.Fatalf("got %d %q and error %v", answer.Status, body, err)
	}
	answer.Close(true)
}
