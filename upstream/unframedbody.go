package upstream

import (
	"errors"
	"io"
	"syscall"
)

// errReset is returned instead of the end of a body whose connection was reset.
var errReset = errors.New("the connection was reset before the end of the answer")

// unframedBody is a body that the end of its connection delimits.
type unframedBody struct{ conn *conn }

// Read implements io.Reader.
func (body *unframedBody) Read(into []byte) (int, error) {
	count, err := body.conn.reader.Read(into)
	if errors.Is(err, io.EOF) && body.conn.isReset() {
		err = errReset
	}
	return count, err
}

// isReset reports whether the connection was reset. The system tells only one system call of that:
// if it was the writing of the request's body, reading ends as if the target had closed the
// connection. Sending nothing fails on a connection that was reset, and succeeds on one that is
// closed for reading.
func (conn *conn) isReset() bool {
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true // closed by this entry
	}
	reset := false
	err = raw.Control(func(descriptor uintptr) {
		_, err := syscall.SendmsgN(int(descriptor), nil, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
		reset = errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || reset
}
