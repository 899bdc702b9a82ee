package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func ExampleCheckHead() {
	fmt.Println(CheckHead([]byte("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n")))
	// Output: the response is malformed: an invalid name of a field in "Content-Length : 2"
}

// TestHeads guards against bytes that are delivered as an answer although they are no head of one, and
// against answers that are refused although they are whole.
func TestHeads(t *testing.T) {
	const line = "HTTP/1.1 200 OK\n"
	tests := []struct {
		name, head string // with \n for \r\n
		sound      bool
	}{
		{"no fields", line + "\n", true},
		{"fields", line + "Id: 1\nContent-Length: 2\nX!#$%&'*+-.^_`|~9:\t v \n\n", true},
		{"chunks", line + "Transfer-Encoding: Chunked\n\n", true},
		{"a field twice", line + "Set-Cookie: a\nSet-Cookie: b\n\n", true},
		{"bytes over 0x7f in a value", line + "A: \xff\n\n", true},
		{"no reason", "HTTP/1.1 204\n\n", true},
		{"an interim response", "HTTP/1.1 103 Early Hints\nLink: x\n\n", true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\nContent-Length: 2\n\n", true},
		{"a later minor version", "HTTP/1.2 200 OK\n\n", true},
		{"status 599", "HTTP/1.1 599 X\n\n", true},

		{"no end", line + "A: b\n", false},
		{"bytes after the end", line + "\nx", false},
		{"other bytes", "hello\n\n", false},
		{"an empty line before", "\n" + line + "\n", false},
		{"status 000", "HTTP/1.1 000 X\n\n", false},
		{"status 099", "HTTP/1.1 099 X\n\n", false},
		{"status 101", "HTTP/1.1 101 Switching Protocols\n\n", false},
		{"status 600", "HTTP/1.1 600 X\n\n", false},
		{"status +20", "HTTP/1.1 +20 X\n\n", false},
		{"status of four digits", "HTTP/1.1 2000 X\n\n", false},
		{"no status", "HTTP/1.1\n\n", false},
		{"two blanks before the status", "HTTP/1.1  200 OK\n\n", false},
		{"a control byte in the reason", "HTTP/1.1 200 O\x01K\n\n", false},
		{"HTTP/0.9", "HTTP/0.9 200 OK\n\n", false},
		{"HTTP/9.9", "HTTP/9.9 200 OK\n\n", false},
		{"HTTP/2", "HTTP/2 200 OK\n\n", false},
		{"a blank in a name", line + "X bad: 1\n\n", false},
		{"a blank after a name", line + "Content-Length : 2\n\n", false},
		{"a tab in a name", line + "X\tbad: 1\n\n", false},
		{"a control byte in a name", line + "X\x01bad: 1\n\n", false},
		{"DEL in a name", line + "X\x7fbad: 1\n\n", false},
		{"a byte over 0x7f in a name", line + "X\xe4bad: 1\n\n", false},
		{"a parenthesis in a name", line + "X(bad): 1\n\n", false},
		{"no name", line + ": 1\n\n", false},
		{"no colon", line + "X\n\n", false},
		{"a blank before a name", line + " X: 1\n\n", false},
		{"a folded line", line + "A: b\n c\n\n", false},
		{"a control byte in a value", line + "A: \x00\n\n", false},
		{"a carriage return in a value", line + "A: b\rC: d\n\n", false},
		{"two lengths", line + "Content-Length: 2\nContent-Length: 2\n\n", false},
		{"a list of lengths", line + "Content-Length: 2, 2\n\n", false},
		{"a negative length", line + "Content-Length: -2\n\n", false},
		{"a length with a sign", line + "Content-Length: +2\n\n", false},
		{"an empty length", line + "Content-Length:\n\n", false},
		{"a length beside chunks", line + "content-length: 2\ntransfer-encoding: chunked\n\n", false},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n", false},
		{"another coding", line + "Transfer-Encoding: gzip, chunked\n\n", false},
		{"two codings", line + "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n", false},
		{"two ids", line + "Id: 1\nID: 1\n\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, end := range []string{"\r\n", "\n"} {
				err := CheckHead([]byte(strings.ReplaceAll(test.head, "\n", end)), "Id")
				var malformed *MalformedError
				if sound := err == nil; sound != test.sound || !sound && !errors.As(err, &malformed) {
					t.Errorf("with line ends %q: got error %v, want it sound: %t", end, err, test.sound)
				}
			}
		})
	}
}
