package integration

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against request smuggling and against entries that fail on malformed
// requests: each gets its status or a closed connection, and no request inside
// another request's body reaches a target.
func TestUsersPlatformBadInput(t *testing.T) {
	deployment := newDeployment(t, 4, 1)
	entry := deployment.entries[0]
	deployment.requireStream(entry)
	const (
		validHeader = "Host: h\r\nAuthorization: Bearer key-1\r\n"
		smuggled    = "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
	)
	tests := []struct {
		name    string
		request string
		want    []int // 0: the connection is closed without a response
		ranID   string
	}{
		{"no id", "POST /post/x HTTP/1.1\r\n" + validHeader + "Content-Length: 0\r\n\r\n", []int{400}, ""},
		{"unknown key", "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer none\r\nX-Greengageroute-Attempt-Id: b1\r\nContent-Length: 0\r\n\r\n", []int{401}, ""},
		{"no key", "POST /post/x HTTP/1.1\r\nHost: h\r\nX-Greengageroute-Attempt-Id: b2\r\nContent-Length: 0\r\n\r\n", []int{401}, ""},
		{"no host", "POST /post/x HTTP/1.1\r\nX-Greengageroute-Attempt-Id: b3\r\nContent-Length: 0\r\n\r\n", []int{400}, ""},
		{"unknown route", "POST /none/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b4\r\nContent-Length: 0\r\n\r\n", []int{404}, ""},
		{"long header", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{431}, ""},
		{"long body", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b5\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), []int{413}, ""},
		{"two different lengths", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b6\r\nContent-Length: 0\r\nContent-Length: 90\r\n\r\n" + smuggled, []int{400}, ""},
		{"invalid length", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b7\r\nContent-Length: +5\r\n\r\nhello", []int{400}, ""},
		{"chunk without a size", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b8\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + smuggled, []int{400}, ""},
		{"chunk longer than its size", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", []int{400}, ""},
		{"unknown transfer coding", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b10\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled, []int{400, 501}, ""},
		{"space before the colon", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id : b11\r\nContent-Length: 0\r\n\r\n", []int{400}, ""},
		{"folded header", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b12\r\nX-Fold: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", []int{200, 400}, "b12"},
		{"TLS handshake", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", []int{400}, ""},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", []int{400, 404, 505}, ""},
		{"body ends early", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b13\r\nContent-Length: 50\r\n\r\nhalf", []int{0}, ""},
		{"header ends early", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b14\r\n", []int{0, 400}, ""},
		// The body is chunked, so the Content-Length header is ignored.
		{"chunks and a length", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b15\r\nContent-Length: 300\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", []int{200, 400}, "b15"},
		{"chunks", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b16\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n", []int{200}, "b16"},
		{"negative token counts", "POST /chat/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b17\r\nX-Greengageroute-Model: m\r\nX-Greengageroute-Token-Counts: -90000,-5\r\nContent-Length: 0\r\n\r\n", []int{200}, "b17"},
		{"unknown model", "POST /chat/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b18\r\nX-Greengageroute-Model: other\r\nContent-Length: 0\r\n\r\n", []int{503}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status := sendRaw(t, entry.callerAddress, test.request, strings.HasSuffix(test.name, "ends early"))
			matches := false
			for _, want := range test.want {
				matches = matches || status == want
			}
			if !matches {
				t.Errorf("got status %d, want one of %v", status, test.want)
			}
		})
	}
	countRuns := func(id string) (runs int) {
		for _, target := range append(append(deployment.plainTargets[:0:0], deployment.plainTargets...), deployment.modelTargets...) {
			runs += target.Runs(id)
		}
		return runs
	}
	if countRuns("smuggled") > 0 {
		t.Error("a request inside the body of another request ran")
	}
	for _, test := range tests {
		_, id, _ := strings.Cut(test.request, "Attempt-Id: ")
		id, _, _ = strings.Cut(id, "\r\n")
		if id != "" && id != test.ranID && countRuns(id) > 0 {
			t.Errorf("%s: request %s ran, want no run", test.name, id)
		}
	}
	deployment.requireStream(entry)
}

// sendRaw returns the status of the first response, 0 if there is none. With
// closeWrite it closes its side of the connection after the request.
func sendRaw(t *testing.T, address, request string, closeWrite bool) int {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// Fails if the entry has refused the request already and reads no more.
	_, _ = io.WriteString(connection, request)
	if closeWrite {
		if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
			return 0
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
