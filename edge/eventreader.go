package edge

import (
	"bufio"
	"errors"
	"io"
	"sync"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/upstream"
)

const (
	eventBufferSize = 1 << 10
	// maxEventBytes limits an event, which is forwarded when it is complete.
	maxEventBytes = 1 << 20
	// maxSmallEvent is the length up to which events aren't charged to the budget. Their
	// buffers are bounded by the number of connections.
	maxSmallEvent = 4 << 10
	// minLongBuffer is the shortest buffer of a longer event. It fits into the reserved part of
	// the budget.
	minLongBuffer = greengageroute.SmallBody
)

// longBuffers holds buffers of minLongBuffer, as *[minLongBuffer]byte, that no event uses now.
var longBuffers = sync.Pool{New: func() any { return new([minLongBuffer]byte) }}

type (
	// eventReader splits a stream into events.
	eventReader struct {
		buffered *bufio.Reader
		holding  *intake.Holding
		// Two small events are kept, so that one can be read while the other is forwarded.
		small   [2][]byte
		current int
	}

	// streamEvent is an event of a stream, with its empty line.
	streamEvent struct {
		text    []byte
		charged int64 // to be returned to the holding once the event was forwarded
	}
)

func newEventReader(body io.Reader, holding *intake.Holding) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(body, eventBufferSize), holding: holding}
}

// next returns the next complete event. A small one is valid until the call after the next
// one. At the end of the stream it returns io.EOF and what came after the last complete event.
func (reader *eventReader) next() (streamEvent, error) {
	reader.current = 1 - reader.current
	event := streamEvent{text: reader.small[reader.current][:0]}
	err := reader.read(&event)
	if event.charged > 0 {
		reader.holding.EndEvent()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		event.release(reader.holding)
		return streamEvent{}, err
	}
	return event, err
}

// read reads up to the end of an event.
func (reader *eventReader) read(event *streamEvent) error {
	for withinLine := false; ; {
		part, err := reader.buffered.ReadSlice('\n')
		if err := reader.append(event, part); err != nil {
			return err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			withinLine = true
			continue
		case err != nil:
			return err
		}
		if !withinLine && isEmptyLine(part) {
			return nil
		}
		withinLine = false
	}
}

// append adds a part to an event. A long one gets a buffer of its own, which is reserved before.
func (reader *eventReader) append(event *streamEvent, part []byte) error {
	length := len(event.text) + len(part)
	if length > maxEventBytes {
		return &upstream.TooLongError{What: "an event", Bytes: length, Limit: maxEventBytes}
	}
	if length > max(maxSmallEvent, cap(event.text)) {
		if event.charged == 0 {
			reader.holding.BeginEvent()
		}
		size := int64(min(max(minLongBuffer, 2*event.charged), maxEventBytes))
		if err := reader.holding.Reserve(size - event.charged); err != nil {
			return err
		}
		grown := streamEvent{text: append(newLongBuffer(size), event.text...), charged: size}
		event.reuse()
		*event = grown
	}
	event.text = append(event.text, part...)
	if event.charged > 0 {
		reader.holding.Received(len(part))
	} else {
		reader.small[reader.current] = event.text
	}
	return nil
}

func newLongBuffer(size int64) []byte {
	if size > minLongBuffer {
		return make([]byte, 0, size)
	}
	return longBuffers.Get().(*[minLongBuffer]byte)[:0]
}

// release returns the bytes of an event that was forwarded, which may not be used any more.
func (event streamEvent) release(holding *intake.Holding) {
	holding.Return(event.charged)
	event.reuse()
}

// reuse keeps the buffer for another event if many need one of its size.
func (event streamEvent) reuse() {
	if event.charged == minLongBuffer {
		longBuffers.Put((*[minLongBuffer]byte)(event.text[:minLongBuffer]))
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}
