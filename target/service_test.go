package target

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

// TestCutAnswersOfServicesAreLost guards against a part of an answer that is taken for the
// whole because the service crashed or stopped midway.
func TestCutAnswersOfServicesAreLost(t *testing.T) {
	tests := []struct {
		name     string
		response string
		whole    bool
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
		{"without a body", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"with neither a length nor chunks", "HTTP/1.1 200 OK\r\n\r\nwhole", false},
		{"cut within its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", false},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", false},
		{"cut within the status line", "HTTP/1.1 200", false},
		{"cut after a header line", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", false},
		{"cut within the name of a header", "HTTP/1.1 200 OK\r\nContent-Le", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serveOnce(t, test.response)
			_, err := NewClient(nil, nil).Call(context.Background(), address, ServiceCall{Method: http.MethodPost, Path: "/x", Key: "k"})
			var lost *AnswerLostError
			if errors.As(err, &lost) == test.whole || test.whole && err != nil {
				t.Errorf("got error %v, want the answer whole: %t", err, test.whole)
			}
		})
	}
}

// TestServicesAnswersWithoutEnd guards against an answer without end that takes more than its
// part of the budget, or stays charged.
func TestServicesAnswersWithoutEnd(t *testing.T) {
	for _, test := range []struct {
		name     string
		bytes    int
		budgetMB int64
		want     any // nil: the answer
	}{
		{"short, no budget", answerBufferBytes - 1, 0, nil},
		{"longest", maxAnswerBytes, 16, nil},
		{"too long", maxAnswerBytes + 1, 16, new(*TooLongError)},
		{"over the budget", maxAnswerBytes, 1, new(*intake.Refusal)},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serveOnce(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", test.bytes, strings.Repeat("x", test.bytes)))
			budget := intake.NewBudget(greengageroute.BodyBudget{Total: test.budgetMB << 20}, new(expvar.Map).Init())
			answer, err := NewClient(budget, nil).Call(t.Context(), address, ServiceCall{Method: http.MethodGet, Path: "/x"})
			if test.want == nil && (err != nil || len(answer.Body) != test.bytes) || test.want != nil && !errors.As(err, test.want) {
				t.Errorf("got %d bytes and error %v, want %d and %T", len(answer.Body), err, test.bytes, test.want)
			}
			if used := budget.Used(); used != 0 {
				t.Errorf("%d bytes are charged after the answer", used)
			}
		})
	}
}

// serveOnce answers each connection's first request and closes it.
func serveOnce(t *testing.T, response string) (address string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
