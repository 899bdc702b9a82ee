package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// errTooLate says that a request was not sent: what allowed it had expired.
var errTooLate = errors.New("the news that allowed the request expired before it was sent")

type (
	// body is a request's body that is sent before a given time or not at all,
	// however long the process is paused on the way: the time is looked at when
	// the last byte is about to go out, and without that byte a target begins
	// nothing.
	body struct {
		bytes []byte
		until time.Time // zero for no bound
	}

	bodyReader struct {
		rest  *bytes.Reader
		until time.Time
	}
)

func (body body) reader() io.Reader {
	if len(body.bytes) == 0 {
		return http.NoBody
	}
	return &bodyReader{rest: bytes.NewReader(body.bytes), until: body.until}
}

// Read implements io.Reader.
func (reader *bodyReader) Read(into []byte) (int, error) {
	if !reader.until.IsZero() && !time.Now().Before(reader.until) {
		return 0, errTooLate
	}
	return reader.rest.Read(into)
}
