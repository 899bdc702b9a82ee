package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

const (
	eventBufferSize = 1 << 10
	// maxEventBytes limits an event, which is forwarded when it is complete.
	maxEventBytes = 1 << 20
)

// eventReader splits a stream into events.
type eventReader struct {
	buffered *bufio.Reader
	// Two events are kept, so that one can be read while the other is forwarded.
	events  [2][]byte
	current int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(body, eventBufferSize)}
}

// next returns the next complete event, with its empty line. It is valid until the call
// after the next one. At the end of the stream it returns io.EOF and what came after the last
// complete event.
func (reader *eventReader) next() ([]byte, error) {
	reader.current = 1 - reader.current
	event := reader.events[reader.current][:0]
	defer func() { reader.events[reader.current] = event }()
	for withinLine := false; ; {
		part, err := reader.buffered.ReadSlice('\n')
		event = append(event, part...)
		switch {
		case len(event) > maxEventBytes:
			return nil, fmt.Errorf("an event of the stream is longer than %d bytes", maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			withinLine = true
			continue
		case errors.Is(err, io.EOF):
			return event, io.EOF
		case err != nil:
			return nil, err
		}
		if !withinLine && isEmptyLine(part) {
			return event, nil
		}
		withinLine = false
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}
