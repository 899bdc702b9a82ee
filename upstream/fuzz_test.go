package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

// memoryConn is a connection that has received some bytes and was closed by the target. It has no
// descriptor.
type memoryConn struct {
	net.Conn
	received *bytes.Reader
}

func (conn *memoryConn) Read(buffer []byte) (int, error)       { return conn.received.Read(buffer) }
func (conn *memoryConn) Write(data []byte) (int, error)        { return len(data), nil }
func (conn *memoryConn) Close() error                          { return nil }
func (conn *memoryConn) SetReadDeadline(time.Time) error       { return nil }
func (conn *memoryConn) SyscallConn() (syscall.RawConn, error) { return rawMemoryConn{}, nil }

type rawMemoryConn struct{ syscall.RawConn }

func (rawMemoryConn) Control(func(descriptor uintptr)) error { return nil }

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$")
)

// nextLine cuts the bytes after the first line, which is returned without its end.
func nextLine(raw []byte) (line string, rest []byte, found bool) {
	text, rest, found := bytes.Cut(raw, []byte("\n"))
	return strings.TrimSuffix(string(text), "\r"), rest, found
}

// framed returns the body of the first final response in the bytes, delimited by its own fields. It reads
// them by other code than the client does. whole is false if the bytes end before the body does, or the
// head is none.
func framed(raw []byte) (status int, names []string, body []byte, whole bool) {
	first, rest, _ := nextLine(raw)
	if !statusLine.MatchString(first) {
		return 0, nil, nil, false
	}
	status, _ = strconv.Atoi(strings.Fields(first)[1]) // the client has read it as a number
	length, chunked := -1, false
	for {
		var line string
		if line, rest, _ = nextLine(rest); line == "" {
			break
		}
		if !fieldLine.MatchString(line) {
			return 0, nil, nil, false
		}
		name, value, _ := strings.Cut(line, ":")
		names = append(names, name)
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "content-length":
			length, _ = strconv.Atoi(value)
		case "transfer-encoding":
			chunked = true
		}
	}
	switch {
	case status == http.StatusSwitchingProtocols || chunked && (length >= 0 || strings.HasPrefix(first, "HTTP/1.0")):
		return 0, nil, nil, false
	case status < http.StatusOK:
		return framed(rest)
	case status == http.StatusNoContent || status == http.StatusNotModified:
		return status, names, nil, true
	case chunked:
		body, whole = dechunk(rest)
		return status, names, body, whole
	case length >= 0:
		return status, names, rest[:min(length, len(rest))], length <= len(rest)
	default:
		return status, names, rest, true
	}
}

// dechunk joins the chunks of a body.
func dechunk(rest []byte) (body []byte, whole bool) {
	for {
		line, after, found := nextLine(rest)
		digits, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		switch {
		case !found || err != nil:
			return body, false
		case size == 0:
			return body, true
		case uint64(len(after)) < size:
			return body, false
		}
		body = append(body, after[:size]...)
		if line, rest, found = nextLine(after[size:]); line != "" || !found {
			return body, false
		}
	}
}

// FuzzAnswers guards against answers that are delivered although their target has framed other ones, or
// none.
func FuzzAnswers(f *testing.F) {
	const (
		id   = platform.HeaderAttemptID + ": id-1\r\n"
		line = "HTTP/1.1 200 OK\r\n" + id
	)
	for _, seed := range []string{
		line + "Content-Length: 3\r\n\r\nown",
		line + "Content-Length : 3\r\n\r\nown",
		line + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nown",
		line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		line + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\now\r\n1\r\nn\r\n0\r\nX-Sum: 1\r\n\r\n",
		line + "Transfer-Encoding : chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		line + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX sum: 1\r\n\r\n",
		line + "\r\nown",
		line + " X: 1\r\n\r\nown",
		line + id + "\r\nown",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + line + "\r\nown",
		"HTTP/1.1 000 X\r\n" + id + "\r\n" + line + "\r\ninner",
		"HTTP/1.1 101 X\r\n" + id + "\r\n" + line + "\r\ninner",
		"HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n" + id + "\r\n",
		"HTTP/9.9 200 OK\r\n" + id + "\r\nown",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if bytes.Count(raw, []byte(platform.HeaderAttemptID)) == 0 {
			return
		}
		limit := &limitedReader{conn: &memoryConn{received: bytes.NewReader(raw)}}
		conn := &conn{Conn: limit.conn, limit: limit, reader: bufio.NewReaderSize(limit, bufferSize)}
		request := greengageroute.Request{ID: "id-1", Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{platform.HeaderAttemptID: {"id-1"}}}
		answer, err := NewClient(func() {}).exchange(t.Context(), conn, "", request, greengageroute.Attempt{Remaining: time.Second})
		if err != nil {
			return
		}
		body, err := io.ReadAll(answer.Body)
		answer.Close(err == nil)
		if err != nil {
			return
		}
		status, names, want, whole := framed(raw)
		if answer.Status != status || !whole || !bytes.Equal(body, want) {
			t.Errorf("delivered %d with %q as the answer in %q, which holds %d with %q, whole: %t", answer.Status, body, raw, status, want, whole)
		}
		for name := range answer.Header {
			if !slices.ContainsFunc(names, func(other string) bool { return strings.EqualFold(other, name) }) {
				t.Errorf("delivered the field %q, which is not in %q", name, raw)
			}
		}
	})
}
