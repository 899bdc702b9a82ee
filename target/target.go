// Package target speaks to the back ends: model engines and plain services. The
// engines' protocol is JSON over HTTP; answers are streams of JSON lines.
package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// DialTimeout bounds the set-up of a connection to a target.
	DialTimeout = 500 * time.Millisecond
	// ProbeTimeout bounds one probe on one connection.
	ProbeTimeout = 500 * time.Millisecond
	// OrderTimeout bounds an order; the engine drops one that it has not begun by then.
	OrderTimeout = 2 * time.Second
	// StallTimeout is how long a stream may be silent before the connection is
	// checked with a call on a new one.
	StallTimeout = time.Second

	maxReportBytes = 16 << 20
	maxLineBytes   = 1 << 20
)

type (
	// Client speaks to targets. It is safe for use by several goroutines.
	Client struct {
		pooled     *http.Client // keeps connections
		unpooled   *http.Client // one connection for each call
		probePool  *http.Client // keeps connections; for probes only
		probeBytes atomic.Int64 // bytes that probes sent and received
	}

	// countedConn counts the bytes that pass over a connection.
	countingConn struct {
		net.Conn
		count *atomic.Int64
	}

	// GenerateRequest asks an engine for an answer, or for the rest of one.
	GenerateRequest struct {
		ID         string `json:"id"`
		Model      string `json:"model"`
		Prompt     string `json:"prompt"`
		Seed       uint64 `json:"seed"`
		From       int    `json:"from"` // offset of the first token wanted
		MaxTokens  int    `json:"max-tokens"`
		Priority   int    `json:"priority"`
		Group      string `json:"group"`
		Generation uint64 `json:"number"` // assignment of the group that is asked
	}

	// Chunk is one line of an engine's answer: a token at its offset, or the
	// end mark with the count of tokens.
	Chunk struct {
		Offset int    `json:"offset"`
		Text   string `json:"text,omitempty"`
		End    bool   `json:"end,omitempty"`
		Count  int    `json:"count,omitempty"`
	}

	// RefusedError says that a target answered that it will not do what it was
	// asked; it has not done it.
	RefusedError struct {
		Address string
		Status  int
		Reason  string
	}

	// UnreachableError says that no connection to the target could be made:
	// nothing can have reached it.
	UnreachableError struct {
		Address string
		Cause   error
	}

	// AnswerLostError says that a target was reached and then no longer answered.
	AnswerLostError struct {
		Address string
		Cause   error
	}
)

func (err *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused with status %d: %s", err.Address, err.Status, err.Reason)
}

func (err *UnreachableError) Error() string {
	return fmt.Sprintf("target %s cannot be reached (%v); check that it runs", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error { return err.Cause }

func (err *AnswerLostError) Error() string {
	return fmt.Sprintf("target %s stopped answering (%v)", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err *AnswerLostError) Unwrap() error { return err.Cause }

// NewClient returns a client with its own pool of connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	client := &Client{
		pooled:   &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}},
		unpooled: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
	dialCounting := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: connection, count: &client.probeBytes}, nil
	}
	client.probePool = &http.Client{Transport: &http.Transport{DialContext: dialCounting, MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: time.Minute}}
	return client
}

// ProbeTraffic returns the bytes that probes sent and received over kept
// connections, without TCP and IP headers.
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
