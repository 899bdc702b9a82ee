package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/relay"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
	"greengageroute.example/greengageroute/upstream"
)

const (
	id    = "X-Greengageroute-Attempt-Id: id-1\r\n"
	ids   = id + "X-Greengageroute-Instance-Id: i-1\r\n"
	sound = "HTTP/1.1 200 OK\r\n" + ids
)

type (
	// recordedFaults counts malformed responses of targets.
	recordedFaults struct{ count int }
	noStore        struct{}
	oneReader      string
)

func (*recordedFaults) RecordAvailability(greengageroute.Target, greengageroute.AnswerHead) {}

func (faults *recordedFaults) RecordFault(_ greengageroute.Target, cause error) {
	faults.record("", cause)
}

func (faults *recordedFaults) record(_ string, cause error) {
	var malformed *http1.MalformedError
	if errors.As(cause, &malformed) {
		faults.count++
	}
}

func (noStore) Read(context.Context, string) (platform.Rows, error) {
	return platform.Rows{}, errors.New("no store")
}

func (noStore) Changes(context.Context, string, greengageroute.StoreRevision, time.Duration) (platform.Rows, error) {
	return platform.Rows{}, errors.New("no store")
}

func (reader oneReader) Readers() ([]string, int) { return []string{string(reader)}, 1 }

// serveBytes answers all requests with the bytes that respond returns for the number of the request.
func serveBytes(t *testing.T, respond func(number int) string) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body) // a failed read is followed by a failed write
					if _, err := io.WriteString(conn, respond(int(requests.Add(1)-1))); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// forward sends a request by the client for targets and other entries.
func forward(toEntry bool) func(ctx context.Context, address string) error {
	return func(ctx context.Context, address string) error {
		request := greengageroute.Request{ID: "id-1", Method: "POST", Host: "h", URI: "/x", Header: http.Header{platform.HeaderAttemptID: {"id-1"}}}
		answer, err := upstream.NewClient(func() {}).Do(ctx, request, greengageroute.Attempt{Target: greengageroute.Target{ID: "i-1", Address: address}, Remaining: time.Second, ToEntry: toEntry})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(answer.Body)
		answer.Close(err == nil)
		return err
	}
}

// checkKeptConnection checks a target's health on a connection that carried a request before.
func checkKeptConnection(ctx context.Context, address string) error {
	client, target := upstream.NewClient(func() {}), greengageroute.Target{ID: "i-1", Address: address}
	request := greengageroute.Request{ID: "id-1", Method: "GET", Host: "h", URI: "/x", Header: http.Header{platform.HeaderAttemptID: {"id-1"}}}
	answer, err := client.Do(ctx, request, greengageroute.Attempt{Target: target, Remaining: time.Second})
	if err != nil {
		return err
	}
	_, err = io.ReadAll(answer.Body)
	answer.Close(err == nil)
	_, err = client.CheckKeptConnection(ctx, target, "/health", time.Now())
	return err
}

// TestReadersTakeNoMalformedResponse guards against responses that a reader repairs into ones that
// nobody sent, wherever responses are read.
func TestReadersTakeNoMalformedResponse(t *testing.T) {
	readers := []struct {
		name  string
		body  string
		later bool // the first request is answered as it should be; the others have no id
		read  func(ctx context.Context, address string) error
	}{
		{"a request to a target", "{}", false, forward(false)},
		{"a request to another entry", "{}", false, forward(true)},
		{"a health check on a kept connection", "{}", true, checkKeptConnection},
		{"an order", "{}", false, func(ctx context.Context, address string) error {
			return platform.NewTargetClient(&recordedFaults{}).Send(ctx, greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: greengageroute.Target{ID: "i-1", Address: address}}, time.Second)
		}},
		{"a report", "{}", false, func(ctx context.Context, address string) error {
			_, err := platform.NewTargetClient(&recordedFaults{}).Report(ctx, greengageroute.Target{ID: "i-1", Address: address}, time.Second)
			return err
		}},
		{"rows of the store", "{}", false, func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address).Read(ctx, "op")
			return err
		}},
		{"a commit", "{}", false, func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address).Commit(ctx, platform.Write{Table: "t", Key: "k"})
			return err
		}},
		{"rows of a reader of the store", "\xa0", false, func(ctx context.Context, address string) error {
			clock := greengageroute.RuntimeClock{}
			_, err := relay.NewSource(noStore{}, oneReader(address), relay.NewCache(clock), clock, func() {}).Read(ctx, "op")
			return err
		}},
		{"a row of the own platform", "{}", false, func(ctx context.Context, address string) error {
			_, err := table.NewClient(address).Read(ctx, "k")
			return err
		}},
		{"a call of a service", "{}", false, func(ctx context.Context, address string) error {
			_, err := target.NewClient(nil, nil).Call(ctx, address, target.ServiceCall{Method: "GET", Path: "/x"})
			return err
		}},
		{"an action of a service", "{}", false, func(ctx context.Context, address string) error {
			_, err := target.NewClient(nil, nil).Call(ctx, address, target.ServiceCall{Method: "POST", Path: "/x", Key: "k"})
			return err
		}},
		{"a probe of an engine", "{}", false, func(ctx context.Context, address string) error {
			_, err := target.NewClient(nil, nil).Probe(ctx, address)
			return err
		}},
		{"a second probe of an engine", "{}", true, func(ctx context.Context, address string) error {
			client := target.NewClient(nil, nil)
			if _, err := client.Probe(ctx, address); err != nil {
				return err
			}
			_, err := client.Probe(ctx, address)
			return err
		}},
		{"an order of an engine", "{}", false, func(ctx context.Context, address string) error {
			return target.NewClient(nil, nil).SendOrder(ctx, greengageroute.EngineOrder{Address: address})
		}},
		{"a stream of an engine", "{\"end\":true}\n", false, func(ctx context.Context, address string) error {
			stream, err := target.NewClient(nil, nil).Generate(ctx, address, target.GenerateRequest{}, func() time.Time { return time.Now().Add(time.Hour) }, func() {})
			if err != nil {
				return err
			}
			defer stream.Close()
			if _, err = stream.Next(ctx); errors.Is(err, target.ErrAnswerComplete) {
				return nil
			}
			return err
		}},
	}
	heads := []struct {
		name, head string
		refused    bool
	}{
		{"a sound head", sound, false},
		{"a sound head after an interim one", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sound, false},
		{"status 000", "HTTP/1.1 000 X\r\n" + ids, true},
		{"status 099", "HTTP/1.1 099 X\r\n" + ids, true},
		{"status 101", "HTTP/1.1 101 X\r\n" + ids, true},
		{"status 600", "HTTP/1.1 600 X\r\n" + ids, true},
		{"another version", "HTTP/9.9 200 OK\r\n" + ids, true},
		{"a blank in a name", sound + "X bad: 1\r\n", true},
		{"a blank after a name", sound + "X-Bad : 1\r\n", true},
		{"a control byte in a name", sound + "X\x01bad: 1\r\n", true},
		{"a folded line", sound + "X-Bad: 1\r\n 2\r\n", true},
		{"a malformed interim head", "HTTP/1.1 103 X\r\nX bad: 1\r\n\r\n" + sound, true},
		{"a length beside chunks", sound + "Transfer-Encoding: chunked\r\n", true},
	}
	for _, reader := range readers {
		for _, head := range heads {
			t.Run(reader.name+", "+head.name, func(t *testing.T) {
				t.Parallel()
				length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(reader.body), reader.body)
				body := length
				if head.refused && !strings.Contains(head.head, "200") {
					// What is skipped as an interim response is followed by this one.
					body = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(sound+length), sound+length)
				}
				if strings.Contains(head.head, "chunked") {
					body = fmt.Sprintf("Content-Length: 1\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(reader.body), reader.body)
				}
				address := serveBytes(t, func(number int) string {
					if reader.later && number == 0 {
						return sound + length
					}
					if reader.later {
						return strings.ReplaceAll(head.head, id, "") + body
					}
					return head.head + body
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				if err := reader.read(ctx, address); (err != nil) != head.refused {
					t.Errorf("got error %v, want one: %t", err, head.refused)
				}
			})
		}
	}
}

// TestRedirectsAreNotFollowed guards against an action that runs at a server that nobody chose, and
// against the answer of another server in place of the one that was asked.
func TestRedirectsAreNotFollowed(t *testing.T) {
	tests := []struct {
		name string
		read func(ctx context.Context, address string) (status int, err error)
	}{
		{"a call of a service", func(ctx context.Context, address string) (int, error) {
			answer, err := target.NewClient(nil, nil).Call(ctx, address, target.ServiceCall{Method: "GET", Path: "/x"})
			return answer.Status, err
		}},
		{"an action of a service", func(ctx context.Context, address string) (int, error) {
			answer, err := target.NewClient(nil, nil).Call(ctx, address, target.ServiceCall{Method: "POST", Path: "/x", Key: "k", Body: []byte("pay")})
			return answer.Status, err
		}},
		{"a probe of an engine", func(ctx context.Context, address string) (int, error) {
			_, err := target.NewClient(nil, nil).Probe(ctx, address)
			var refused *target.RefusedError
			if errors.As(err, &refused) {
				return refused.Status, nil
			}
			return 0, err
		}},
		{"an order", func(ctx context.Context, address string) (int, error) {
			err := platform.NewTargetClient(&recordedFaults{}).Send(ctx, greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: greengageroute.Target{ID: "i-1", Address: address}}, time.Second)
			var refused *greengageroute.OrderRefusedError
			if errors.As(err, &refused) {
				return refused.Status, nil
			}
			return 0, err
		}},
	}
	for _, test := range tests {
		var asked atomic.Bool
		other := serveBytes(t, func(int) string {
			asked.Store(true)
			return sound + "Content-Length: 2\r\n\r\n{}"
		})
		address := serveBytes(t, func(int) string {
			return "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + other + "/y\r\nContent-Length: 0\r\n\r\n"
		})
		if status, err := test.read(t.Context(), address); status != http.StatusTemporaryRedirect || err != nil || asked.Load() {
			t.Errorf("%s: got status %d and error %v, another server was asked: %t; want the redirect", test.name, status, err, asked.Load())
		}
	}
}

// TestMalformedResponsesAreReported guards against a faulty target that nobody hears of, or that counts
// more than once for one response.
func TestMalformedResponsesAreReported(t *testing.T) {
	tests := []struct {
		name string
		read func(ctx context.Context, address string, faults *recordedFaults) error
	}{
		{"an order", func(ctx context.Context, address string, faults *recordedFaults) error {
			return platform.NewTargetClient(faults).Send(ctx, greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: greengageroute.Target{ID: "i-1", Address: address}}, time.Second)
		}},
		{"a report", func(ctx context.Context, address string, faults *recordedFaults) error {
			_, err := platform.NewTargetClient(faults).Report(ctx, greengageroute.Target{ID: "i-1", Address: address}, time.Second)
			return err
		}},
		{"a call of a service", func(ctx context.Context, address string, faults *recordedFaults) error {
			_, err := target.NewClient(nil, faults.record).Call(ctx, address, target.ServiceCall{Method: "GET", Path: "/x"})
			return err
		}},
		{"an order of an engine", func(ctx context.Context, address string, faults *recordedFaults) error {
			return target.NewClient(nil, faults.record).SendOrder(ctx, greengageroute.EngineOrder{Address: address})
		}},
		{"a stream of an engine", func(ctx context.Context, address string, faults *recordedFaults) error {
			_, err := target.NewClient(nil, faults.record).Generate(ctx, address, target.GenerateRequest{}, func() time.Time { return time.Now().Add(time.Hour) }, func() {})
			return err
		}},
	}
	for _, test := range tests {
		for head, count := range map[string]int{sound: 0, sound + "X bad: 1\r\n": 1} {
			address, faults := serveBytes(t, func(int) string { return head + "Content-Length: 2\r\n\r\n{}" }), &recordedFaults{}
			if err := test.read(t.Context(), address, faults); (err != nil) != (count > 0) || faults.count != count {
				t.Errorf("%s: got error %v and %d reports, want %d", test.name, err, faults.count, count)
			}
		}
	}
}

// TestTrailersAreChecked guards against a body whose framing is lost in what follows it.
func TestTrailersAreChecked(t *testing.T) {
	tests := []struct {
		trailer string
		whole   bool
	}{
		{"", true},
		{"X-Sum: 1\r\n", true},
		{"X sum: 1\r\n", false},
	}
	for _, test := range tests {
		address := serveBytes(t, func(int) string {
			return sound + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + test.trailer + "\r\n"
		})
		_, call := target.NewClient(nil, nil).Call(t.Context(), address, target.ServiceCall{Method: "GET", Path: "/x"})
		for reader, err := range map[string]error{"a request to a target": forward(false)(t.Context(), address), "a call of a service": call} {
			if (err == nil) != test.whole {
				t.Errorf("%s, trailer %q: got error %v, want it whole: %t", reader, test.trailer, err, test.whole)
			}
		}
	}
}
