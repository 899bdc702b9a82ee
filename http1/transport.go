package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

type (
	// Transport is a transport of the HTTP library that takes no malformed response. Its errors for
	// these are *MalformedError.
	Transport struct {
		inner   *http.Transport
		singles []string
	}

	// checkedConn checks the heads of the responses that are read from a connection.
	checkedConn struct {
		net.Conn
		mu    sync.Mutex
		check headCheck
		ended bool // the head of the last response was read
	}

	// checkedBody checks the fields that follow a body in chunks.
	checkedBody struct {
		io.ReadCloser
		response *http.Response
	}
)

// NewTransport adds checks of the responses to a transport that has a function to dial. The given
// fields occur once at most in a head.
func NewTransport(inner *http.Transport, singles ...string) *Transport {
	dial := inner.DialContext
	inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, ended: true}, nil
	}
	return &Transport{inner: inner, singles: singles}
}

// NewClient returns a client that takes no malformed response and follows no redirect: what another
// server says isn't the answer of the one that was asked.
func NewClient(inner *http.Transport, singles ...string) *http.Client {
	return &http.Client{
		Transport:     NewTransport(inner, singles...),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip implements http.RoundTripper.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *checkedConn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*checkedConn) // all connections are dialled by the transport's own function
		conn.begin(transport.singles)
	}})
	response, err := transport.inner.RoundTrip(request.WithContext(ctx))
	if conn != nil {
		if malformed := conn.checked(err == nil); malformed != nil {
			if response != nil {
				_ = response.Body.Close() // what it holds isn't used
			}
			return nil, malformed
		}
	}
	if err != nil {
		return nil, err
	}
	response.Body = CheckedBody(response)
	return response, nil
}

// CheckedBody returns the body of a response, whose error is a *MalformedError instead of its end if a
// field after it has no valid name.
func CheckedBody(response *http.Response) io.ReadCloser {
	if len(response.TransferEncoding) == 0 {
		return response.Body
	}
	return &checkedBody{ReadCloser: response.Body, response: response}
}

// CloseIdleConnections closes the connections that no request uses.
func (transport *Transport) CloseIdleConnections() { transport.inner.CloseIdleConnections() }

// begin has the head of the next response checked.
func (conn *checkedConn) begin(singles []string) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.check, conn.ended = headCheck{singles: singles, line: conn.check.line[:0]}, false
}

// checked returns a *MalformedError if the head of the response, if there is one, isn't known to be
// sound. What was read before the request began isn't checked and belongs to no response.
func (conn *checkedConn) checked(hasResponse bool) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if hasResponse && !conn.ended {
		return malformed("a response before its request", conn.check.line)
	}
	return conn.check.err
}

// Read implements net.Conn.
func (conn *checkedConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for data := buffer[:count]; len(data) > 0 && !conn.ended; {
		data = conn.check.feed(data)
		switch {
		case conn.check.err != nil:
			conn.ended = true
		case conn.check.complete && conn.check.status < http.StatusOK:
			conn.check = headCheck{singles: conn.check.singles, line: conn.check.line[:0]} // an interim response
		case conn.check.complete:
			conn.ended = true
		}
	}
	return count, err
}

// Read implements io.Reader.
func (body *checkedBody) Read(into []byte) (int, error) {
	count, err := body.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		if malformed := CheckTrailer(body.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return count, err
}
