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
	// source is where a reader reads: an address, and the faults that it reports of the target there.
	source struct {
		address string
		faults  int
	}

	noStore struct{}
)

func (*source) RecordAvailability(greengageroute.Target, greengageroute.AnswerHead) {}

func (source *source) RecordFault(_ greengageroute.Target, cause error) { source.record("", cause) }

func (source *source) record(_ string, cause error) {
	var malformed *http1.MalformedError
	if errors.As(cause, &malformed) {
		source.faults++
	}
}

func (source *source) target() greengageroute.Target {
	return greengageroute.Target{ID: "i-1", Address: source.address}
}

func (source *source) client() *target.Client { return target.NewClient(nil, source.record) }

// Readers implements relay.Peers.
func (source *source) Readers() ([]string, int) { return []string{source.address}, 1 }

func (noStore) Read(context.Context, string) (platform.Rows, error) {
	return platform.Rows{}, errors.New("no store")
}

func (noStore) Changes(context.Context, string, greengageroute.StoreRevision, time.Duration) (platform.Rows, error) {
	return platform.Rows{}, errors.New("no store")
}

// serveBytes answers all requests with the bytes that respond returns for the number of the request.
func serveBytes(t *testing.T, respond func(number int) string) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var requests atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body) // a failed read is followed by a failed write
			if _, err := io.WriteString(conn, respond(int(requests.Add(1)-1))); err != nil {
				return
			}
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// forward sends a request by the client for targets and other entries.
func forward(ctx context.Context, client *upstream.Client, target greengageroute.Target, toEntry bool) (status int, err error) {
	request := greengageroute.Request{ID: "id-1", Method: "POST", Host: "h", URI: "/x", Header: http.Header{platform.HeaderAttemptID: {"id-1"}}}
	answer, err := client.Do(ctx, request, greengageroute.Attempt{Target: target, Remaining: time.Second, ToEntry: toEntry})
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(answer.Body)
	answer.Close(err == nil)
	return answer.Status, err
}

func call(ctx context.Context, source *source, call target.ServiceCall) (status int, err error) {
	answer, err := source.client().Call(ctx, source.address, call)
	return answer.Status, err
}

// statusOf returns 200 for a result without an error, and the status with which the target refused
// otherwise.
func statusOf[T any](_ T, err error) (status int, _ error) {
	var refused *target.RefusedError
	var orderRefused *greengageroute.OrderRefusedError
	switch {
	case errors.As(err, &refused):
		return refused.Status, nil
	case errors.As(err, &orderRefused):
		return orderRefused.Status, nil
	case err != nil:
		return 0, err
	}
	return http.StatusOK, nil
}

// reader reads a response, whose body is "{}" unless it is named.
type reader struct {
	name    string
	body    string
	later   bool // the first request is answered as it should be; the others have no id
	reports int  // of faults, for each malformed response
	read    func(ctx context.Context, source *source) (status int, err error)
}

var readers = []reader{
	{"a request to a target", "", false, 0, func(ctx context.Context, source *source) (int, error) {
		return forward(ctx, upstream.NewClient(func() {}), source.target(), false)
	}},
	{"a request to another entry", "", false, 0, func(ctx context.Context, source *source) (int, error) {
		return forward(ctx, upstream.NewClient(func() {}), source.target(), true)
	}},
	{"a health check on a kept connection", "", true, 0, func(ctx context.Context, source *source) (int, error) {
		client := upstream.NewClient(func() {})
		if _, err := forward(ctx, client, source.target(), false); err != nil {
			return 0, err
		}
		head, err := client.CheckKeptConnection(ctx, source.target(), "/health", time.Now())
		return head.Status, err
	}},
	{"an order", "", false, 1, func(ctx context.Context, source *source) (int, error) {
		return statusOf(0, platform.NewTargetClient(source).Send(ctx, greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: source.target()}, time.Second))
	}},
	{"a report", "", false, 1, func(ctx context.Context, source *source) (int, error) {
		return statusOf(platform.NewTargetClient(source).Report(ctx, source.target(), time.Second))
	}},
	{"rows of the store", "", false, 0, func(ctx context.Context, source *source) (int, error) {
		return statusOf(platform.NewStore(source.address).Read(ctx, "op"))
	}},
	{"a commit", "", false, 0, func(ctx context.Context, source *source) (int, error) {
		return statusOf(platform.NewStore(source.address).Commit(ctx, platform.Write{Table: "t", Key: "k"}))
	}},
	{"rows of a reader of the store", "\xa0", false, 0, func(ctx context.Context, source *source) (int, error) {
		clock := greengageroute.RuntimeClock{}
		return statusOf(relay.NewSource(noStore{}, source, relay.NewCache(clock), clock, func() {}).Read(ctx, "op"))
	}},
	{"a row of the own platform", "", false, 0, func(ctx context.Context, source *source) (int, error) {
		return statusOf(table.NewClient(source.address).Read(ctx, "k"))
	}},
	{"a call of a service", "", false, 1, func(ctx context.Context, source *source) (int, error) {
		return call(ctx, source, target.ServiceCall{Method: "GET", Path: "/x"})
	}},
	{"an action of a service", "", false, 1, func(ctx context.Context, source *source) (int, error) {
		return call(ctx, source, target.ServiceCall{Method: "POST", Path: "/x", Key: "k", Body: []byte("pay")})
	}},
	{"a probe of an engine on a new connection", "", false, 1, func(ctx context.Context, source *source) (int, error) {
		return statusOf(source.client().ProbeNewConnection(ctx, source.address))
	}},
	{"a second probe of an engine, and one on a new connection", "", true, 2, func(ctx context.Context, source *source) (int, error) {
		client := source.client()
		if _, err := client.Probe(ctx, source.address); err != nil {
			return 0, err
		}
		return statusOf(client.Probe(ctx, source.address))
	}},
	{"an order of an engine", "", false, 1, func(ctx context.Context, source *source) (int, error) {
		return statusOf(0, source.client().SendOrder(ctx, greengageroute.EngineOrder{Address: source.address}))
	}},
	{"a stream of an engine", "{\"end\":true}\n", false, 1, func(ctx context.Context, source *source) (int, error) {
		stream, err := source.client().Generate(ctx, source.address, target.GenerateRequest{}, func() time.Time { return time.Now().Add(time.Hour) }, func() {})
		if err != nil {
			return statusOf(0, err)
		}
		defer stream.Close()
		if _, err = stream.Next(ctx); errors.Is(err, target.ErrAnswerComplete) {
			err = nil
		}
		return statusOf(0, err)
	}},
}

// TestReadersTakeNoMalformedResponse guards against responses that a reader repairs into ones that
// nobody sent, wherever responses are read, and against faulty targets that nobody hears of.
func TestReadersTakeNoMalformedResponse(t *testing.T) {
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
				text := reader.body
				if text == "" {
					text = "{}"
				}
				length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
				body := length
				switch {
				case strings.Contains(head.head, "chunked"):
					body = fmt.Sprintf("Content-Length: 1\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
				case head.refused && !strings.Contains(head.head, "200"):
					// What is skipped as an interim response is followed by this one.
					body = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(sound+length), sound+length)
				}
				source := &source{address: serveBytes(t, func(number int) string {
					switch {
					case reader.later && number == 0:
						return sound + length
					case reader.later:
						return strings.ReplaceAll(head.head, id, "") + body
					}
					return head.head + body
				})}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				status, err := reader.read(ctx, source)
				if taken := err == nil && status == http.StatusOK; taken == head.refused {
					t.Errorf("got status %d and error %v, want it refused: %t", status, err, head.refused)
				}
				if head.refused && source.faults != reader.reports {
					t.Errorf("%d faults were reported, want %d", source.faults, reader.reports)
				}
			})
		}
	}
}

// TestRedirectsAreNotFollowed guards against an action that runs at a server that nobody chose, and
// against the answer of another server in place of the one that was asked.
func TestRedirectsAreNotFollowed(t *testing.T) {
	for _, reader := range readers {
		if reader.later {
			continue
		}
		var asked atomic.Bool
		other := serveBytes(t, func(int) string {
			asked.Store(true)
			return sound + "Content-Length: 2\r\n\r\n{}"
		})
		address := serveBytes(t, func(int) string {
			return "HTTP/1.1 307 Temporary Redirect\r\n" + ids + "Location: http://" + other + "/y\r\nContent-Length: 0\r\n\r\n"
		})
		if status, err := reader.read(t.Context(), &source{address: address}); err == nil && status != http.StatusTemporaryRedirect || asked.Load() {
			t.Errorf("%s: got status %d and error %v, another server was asked: %t; want the redirect", reader.name, status, err, asked.Load())
		}
	}
}

// TestTrailersAreChecked guards against a body whose framing is lost in what follows it.
func TestTrailersAreChecked(t *testing.T) {
	for trailer, whole := range map[string]bool{"": true, "X-Sum: 1\r\n": true, "X sum: 1\r\n": false} {
		source := &source{address: serveBytes(t, func(int) string {
			return sound + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + trailer + "\r\n"
		})}
		_, forwarded := forward(t.Context(), upstream.NewClient(func() {}), source.target(), false)
		_, called := call(t.Context(), source, target.ServiceCall{Method: "GET", Path: "/x"})
		if (forwarded == nil) != whole || (called == nil) != whole {
			t.Errorf("trailer %q: got errors %v and %v, want it whole: %t", trailer, forwarded, called, whole)
		}
	}
}
