// Package http1 decides which bytes are the head of an HTTP/1.1 response. The HTTP library repairs
// some that are none: it skips every status below 200 as an interim response, keeps blanks in the
// names of fields, joins folded lines, and drops a length beside chunks. Sources: RFC 9110, 5.1 and
// 15; RFC 9112, 2.3, 4, 5 and 6.
package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

const (
	// minStatus and endStatus enclose the statuses of responses, interim ones included.
	minStatus = 100
	endStatus = 600
	// statusDigits is the length of a status, and versionLength that of "HTTP/1.1".
	statusDigits  = 3
	versionLength = 8
	// maxQuotedBytes limits what an error quotes of a line.
	maxQuotedBytes = 80
)

type (
	// MalformedError reports bytes that are no head of an HTTP/1.1 response. What follows them can't
	// be delimited, so that nothing of it may be used.
	MalformedError struct {
		Reason string
		Line   string // that shows it, up to 80 bytes
	}

	// headCheck checks the lines of a head as they arrive.
	headCheck struct {
		singles []string // names of fields that a head has once at most

		line     []byte // incomplete
		started  bool   // the status line was read
		complete bool
		status   int
		version0 bool // HTTP/1.0
		length   bool
		codings  bool
		seen     uint64 // bits by index in singles
		err      error
	}
)

func (err *MalformedError) Error() string {
	return fmt.Sprintf("the response is malformed: %s in %q", err.Reason, err.Line)
}

func malformed(reason string, line []byte) error {
	return &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// CheckHead returns a *MalformedError unless the bytes are the whole head of one response, with its
// empty line. The given fields, up to 64 that the protocol above uses, occur once at most.
func CheckHead(head []byte, singles ...string) error {
	check := headCheck{singles: singles}
	rest := check.feed(head)
	switch {
	case check.err != nil:
		return check.err
	case !check.complete:
		return malformed("no end of the head", check.line)
	case len(rest) > 0:
		return malformed("bytes after the head", rest)
	}
	return nil
}

// CheckStart returns a *MalformedError if the bytes can't be the start of the head of a response.
func CheckStart(start []byte, singles ...string) error {
	check := headCheck{singles: singles}
	check.feed(start)
	return check.err
}

// CheckTrailer returns a *MalformedError if a field after the body has no valid name.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken([]byte(name)) {
			return malformed("an invalid name of a field", []byte(name))
		}
	}
	return nil
}

// feed checks further bytes and returns those after the head.
func (check *headCheck) feed(data []byte) []byte {
	for len(data) > 0 && !check.complete && check.err == nil {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			check.line = append(check.line, data...)
			return nil
		}
		line := data[:end]
		if len(check.line) > 0 {
			check.line = append(check.line, line...)
			line = check.line
		}
		check.err = check.checkLine(bytes.TrimSuffix(line, []byte{'\r'}))
		check.line = check.line[:0]
		data = data[end+1:]
	}
	return data
}

func (check *headCheck) checkLine(line []byte) error {
	switch {
	case !check.started:
		check.started = true
		return check.checkStatusLine(line)
	case len(line) == 0:
		check.complete = true
		if check.codings && (check.length || check.version0) {
			return malformed("a transfer coding beside a length or in HTTP/1.0", line)
		}
		return nil
	default:
		return check.checkField(line)
	}
}

// checkStatusLine checks a line like "HTTP/1.1 200 OK". A response that switches protocols is none,
// since no request asks for that.
func (check *headCheck) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if len(version) != versionLength || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[versionLength-1]) {
		return malformed("no version HTTP/1", line)
	}
	check.version0 = version[versionLength-1] == '0'
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	if len(code) != statusDigits {
		return malformed("no status", line)
	}
	for _, digit := range code {
		if !isDigit(digit) {
			return malformed("no status", line)
		}
		check.status = 10*check.status + int(digit-'0')
	}
	if check.status < minStatus || check.status >= endStatus || check.status == http.StatusSwitchingProtocols {
		return malformed("an invalid status", line)
	}
	if !isText(reason) {
		return malformed("a control byte", line)
	}
	return nil
}

func (check *headCheck) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) { // a folded line begins with a blank
		return malformed("an invalid name of a field", line)
	}
	if !isText(value) {
		return malformed("a control byte", line)
	}
	switch value = bytes.Trim(value, " \t"); {
	case isNamed(name, "Content-Length"):
		if check.length || len(value) == 0 || !isNumber(value) {
			return malformed("an invalid length", line)
		}
		check.length = true
	case isNamed(name, "Transfer-Encoding"):
		if check.codings || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("an invalid transfer coding", line)
		}
		check.codings = true
	default:
		return check.checkSingle(name, line)
	}
	return nil
}

func (check *headCheck) checkSingle(name, line []byte) error {
	index := slices.IndexFunc(check.singles, func(single string) bool { return isNamed(name, single) })
	if index < 0 {
		return nil
	}
	if check.seen&(1<<index) != 0 {
		return malformed("a field that occurs twice", line)
	}
	check.seen |= 1 << index
	return nil
}

func isNamed(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func isNumber(text []byte) bool {
	return !slices.ContainsFunc(text, func(char byte) bool { return !isDigit(char) })
}

// isToken reports whether a text is a token (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, char := range text {
		if !isDigit(char) && (char|0x20 < 'a' || char|0x20 > 'z') && strings.IndexByte("!#$%&'*+-.^_`|~", char) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text has no control bytes but tabs.
func isText(text []byte) bool {
	for _, char := range text {
		if char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}
