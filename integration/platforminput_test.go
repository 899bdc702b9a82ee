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

// Malformed requests get the right status, or nothing, and nothing that hides
// inside one reaches a target.
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
		want    []int // 0: the connection is closed without an answer
		ranID   string
	}{
		{"no id", "POST /post/x HTTP/1.1\r\n" + validHeader + "Content-Length: 0\r\n\r\n", []int{400}, ""},
		{"unknown key", "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer none\r\nX-Greengageroute-Attempt-Id: b1\r\nContent-Length: 0\r\n\r\n", []int{401}, ""},
		{"no key", "POST /post/x HTTP/1.1\r\nHost: h\r\nX-Greengageroute-Attempt-Id: b2\r\nContent-Length: 0\r\n\r\n", []int{401}, ""},
		{"no host", "POST /post/x HTTP/1.1\r\nX-Greengageroute-Attempt-Id: b3\r\nContent-Length: 0\r\n\r\n", []int{400}, ""},
		{"unknown route", "POST /none/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b4\r\nContent-Length: 0\r\n\r\n", []int{404}, ""},
		{"long header", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{431}, ""},
		{"long body", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b5\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), []int{413}, ""},
		{"two lengths that differ", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b6\r\nContent-Length: 0\r\nContent-Length: 90\r\n\r\n" + smuggled, []int{400}, ""},
		{"a length that is none", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b7\r\nContent-Length: +5\r\n\r\nhello", []int{400}, ""},
		{"a chunk without a size", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b8\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + smuggled, []int{400}, ""},
		{"a chunk longer than said", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", []int{400}, ""},
		{"a coding that is unknown", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b10\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled, []int{400, 501}, ""},
		{"a space before the colon", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id : b11\r\nContent-Length: 0\r\n\r\n", []int{400}, ""},
		{"a folded header", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b12\r\nX-Fold: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", []int{200, 400}, "b12"},
		{"no request at all", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", []int{400}, ""},
		{"a newer protocol", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", []int{400, 404, 505}, ""},
		{"a body that breaks off", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b13\r\nContent-Length: 50\r\n\r\nhalf", []int{0}, ""},
		{"a head that breaks off", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b14\r\n", []int{0, 400}, ""},
		// Chunks are what the body is made of: the length beside them is not believed.
		{"chunks and a length", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b15\r\nContent-Length: 300\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", []int{200, 400}, "b15"},
		{"chunks", "POST /post/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b16\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n", []int{200}, "b16"},
		{"token counts below zero", "POST /chat/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b17\r\nX-Greengageroute-Model: m\r\nX-Greengageroute-Token-Counts: -90000,-5\r\nContent-Length: 0\r\n\r\n", []int{200}, "b17"},
		{"an unknown model", "POST /chat/x HTTP/1.1\r\n" + validHeader + "X-Greengageroute-Attempt-Id: b18\r\nX-Greengageroute-Model: other\r\nContent-Length: 0\r\n\r\n", []int{503}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status := sendRaw(t, entry.callerAddress, test.request, strings.HasSuffix(test.name, "breaks off"))
			matches := false
			for _, want := range test.want {
				matches = matches || status == want
			}
			if !matches {
				t.Errorf("got %d, want one of %v", status, test.want)
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
		t.Error("a request inside another one has run")
	}
	for _, test := range tests {
		_, id, _ := strings.Cut(test.request, "Attempt-Id: ")
		id, _, _ = strings.Cut(id, "\r\n")
		if id != "" && id != test.ranID && countRuns(id) > 0 {
			t.Errorf("%s: %s has run", test.name, id)
		}
	}
	deployment.requireStream(entry)
}

// raw sends bytes and returns the status of the first answer; 0 if there is none.
// The caller ends its side if the request breaks off.
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
	// An entry that has refused already reads no more.
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
