package edge

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestBrokenOffStreamsDontLookComplete guards against a stream that was broken off and ends
// for its caller as a complete one does.
func TestBrokenOffStreamsDontLookComplete(t *testing.T) {
	tests := []struct {
		name, protocol string
		script         script
		ends           string // suffix of the answer; empty: an error
	}{
		{"a complete stream in chunks", "HTTP/1.1", script{answers(200, events(1, 2))}, "\r\n0\r\n\r\n"},
		{"a broken stream in chunks", "HTTP/1.1", script{aborts(events(1, 2)), aborts("")}, "\n\n\r\n"},
		{"a complete stream that ends with its connection", "HTTP/1.0", script{answers(200, events(1, 2))}, "\n\n"},
		{"a broken stream that ends with its connection", "HTTP/1.0", script{aborts(events(1, 2)), aborts("")}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(newFixture(test.script).service)
			defer server.Close()
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /chat/x "+test.protocol+"\r\nHost: h\r\nX-Greengageroute-Attempt-Id: id-1\r\nAuthorization: Bearer key\r\n"+
				"X-Greengageroute-Model: m\r\nX-Greengageroute-Token-Counts: 10,10\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			if err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(conn)
			if (err != nil) != (test.ends == "") || !strings.HasSuffix(string(answer), test.ends) {
				t.Errorf("the answer ends with error %v: %q", err, answer)
			}
		})
	}
}
