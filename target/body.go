package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// errTooLate says that a request was not sent: what allowed it had expired.
var errSendDeadline = errors.New("the news that allowed the request expired before it was sent")

type (
	// body is a request's body that is sent before a given time or not at all,
	// however long the process is paused on the way: the time is looked at when
	// the last byte is about to go out, and without that byte a target begins
	// nothing.
	body struct {
		bytes    []byte
		deadline time.Time // zero for no bound
	}

	bodyReader struct {
		remaining *bytes.Reader
		deadline  time.Time
	}
)

func (body body) reader() io.Reader {
	if len(body.bytes) == 0 {
		return http.NoBody
	}
	return &bodyReader{remaining: bytes.NewReader(body.bytes), deadline: body.deadline}
}

// Read implements io.Reader.
func (reader *bodyReader) Read(buffer []byte) (int, error) {
	if !reader.deadline.IsZero() && !time.Now().Before(reader.deadline) {
		return 0, errSendDeadline
	}
	return reader.remaining.Read(buffer)
}
