package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// errSendDeadline is returned for a request whose deadline passed before it was sent.
var errSendDeadline = errors.New("the deadline for sending the request passed before it was sent")

type (
	// body is a request's body that is sent before its deadline or not at all, even
	// if the process is suspended in between. The deadline is checked again when the
	// last bytes are about to be sent, and a target doesn't start a request whose
	// body is incomplete.
	body struct {
		bytes    []byte
		deadline time.Time // zero for no deadline
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
