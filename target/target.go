// Package target is the client for targets: model engines and plain services. The
// engines' protocol is JSON over HTTP; answers are streams of JSON lines.
package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/intake"
)

const (
	// DialTimeout is the timeout of a new connection to a target.
	DialTimeout = 500 * time.Millisecond
	// ProbeTimeout is the timeout of a probe over one connection.
	ProbeTimeout = 500 * time.Millisecond
	// OrderTimeout is the timeout of an order. The engine drops an order that it has
	// not begun by then.
	OrderTimeout = 2 * time.Second
	// StallTimeout is how long a stream may receive no data before the engine is
	// probed over a new connection.
	StallTimeout = time.Second

	maxReportBytes = 64 << 10
	maxHeaderBytes = 64 << 10
)

type (
	// Client sends requests to targets. It is safe for use by several goroutines.
	Client struct {
		pooled     *http.Client // reuses connections
		unpooled   *http.Client // opens a connection for each call
		probePool  *http.Client // reuses connections; for probes only
		probeBytes atomic.Int64 // sent and received by probes over probePool
		budget     *intake.Budget
		onFault    func(address string, err error)
	}

	// countingConn counts the bytes sent and received over a connection.
	countingConn struct {
		net.Conn
		count *atomic.Int64
	}

	// GenerateRequest requests an answer, or the rest of an answer, from an engine.
	GenerateRequest struct {
		ID         string `json:"id"`
		Model      string `json:"model"`
		Prompt     string `json:"prompt"`
		Seed       uint64 `json:"seed"`
		From       int    `json:"from"`       // offset of the first requested token
		MaxTokens  int    `json:"max-tokens"` // of the whole answer; 0 for no limit
		Priority   int    `json:"priority"`
		Group      string `json:"group"`
		Generation uint64 `json:"number"` // of the group's assignment
	}

	// Chunk is one line of an engine's answer: a token at its offset, or the
	// end mark with the count of tokens.
	Chunk struct {
		Offset int    `json:"offset"`
		Text   string `json:"text,omitempty"`
		End    bool   `json:"end,omitempty"`
		Count  int    `json:"count,omitempty"`
	}

	// RefusedError reports that a request was not carried out: the target refused
	// it, or it was not sent before its deadline. Status is 0 if it was not sent.
	RefusedError struct {
		Address string
		Status  int
		Reason  string
	}

	// UnreachableError reports that no connection to the target could be made:
	// nothing can have reached it.
	UnreachableError struct {
		Address string
		Cause   error
	}

	// AnswerLostError reports that no complete answer was received after a request
	// may have reached the target: it may have run.
	AnswerLostError struct {
		Address string
		Cause   error
	}

	// TooLongError reports an answer, or a part of one, that exceeds a bound of its length and
	// was not read on.
	TooLongError struct {
		What  string
		Limit int
		Unit  string
	}
)

func (err *TooLongError) Error() string {
	return fmt.Sprintf("%s is longer than %d %s", err.What, err.Limit, err.Unit)
}

func (err *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused with status %d: %s", err.Address, err.Status, err.Reason)
}

func (err *UnreachableError) Error() string {
	return fmt.Sprintf("target %s is unreachable (%v); check that it is running", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error { return err.Cause }

func (err *AnswerLostError) Error() string {
	return fmt.Sprintf("target %s stopped answering (%v)", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err *AnswerLostError) Unwrap() error { return err.Cause }

// NewClient returns a client with its own pool of connections. What answers hold is charged to
// the budget, unless it is nil. onFault, unless it is nil, is called for each answer that
// exceeds a bound of its length or whose head is no head of a response.
func NewClient(budget *intake.Budget, onFault func(address string, err error)) *Client {
	if onFault == nil {
		onFault = func(string, error) {}
	}
	dialer := &net.Dialer{Timeout: DialTimeout}
	client := &Client{
		budget: budget, onFault: onFault,
		pooled:   newHTTPClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}),
		unpooled: newHTTPClient(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
	}
	dialCounting := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: connection, count: &client.probeBytes}, nil
	}
	client.probePool = newHTTPClient(&http.Transport{DialContext: dialCounting, MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: time.Minute})
	return client
}

func newHTTPClient(transport *http.Transport) *http.Client {
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return http1.NewClient(transport)
}

// reportFault reports an answer that was too long or malformed.
func (client *Client) reportFault(address string, err error) {
	var tooLong *TooLongError
	var malformed *http1.MalformedError
	if errors.As(err, &tooLong) || errors.As(err, &malformed) {
		client.onFault(address, err)
	}
}

// ProbeTraffic returns the number of bytes that probes sent and received over
// reused connections, without TCP and IP headers.
func (client *Client) ProbeTraffic() int64 { return client.probeBytes.Load() }

func (conn countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.count.Add(int64(count))
	return count, err
}

func (conn countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.count.Add(int64(count))
	return count, err
}
