package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync/atomic"

	"greengageroute.example/greengageroute/intake"
)

const (
	maxLineBytes = 1 << 20
	// lineBufferBytes is the length up to which lines are not charged to the budget.
	lineBufferBytes = 4 << 10
	// lineCopies is how many copies of a long line there are at most: in two buffers while it
	// grows, as a token, and in the event for the caller while that is encoded.
	lineCopies = 5
)

// lineReader splits an answer into lines. A long line is charged to the budget until free is
// called, and its buffer isn't kept.
type lineReader struct {
	buffered *bufio.Reader
	budget   *intake.Budget
	held     *intake.Holding // nil if the last line was short
	// unfinished reports whether bytes have arrived since the last line.
	unfinished atomic.Bool
}

func newLineReader(body io.Reader, budget *intake.Budget) *lineReader {
	reader := &lineReader{budget: budget}
	reader.buffered = bufio.NewReaderSize(io.TeeReader(body, arrivals{&reader.unfinished}), lineBufferBytes)
	return reader
}

// arrivals records that something was written.
type arrivals struct{ any *atomic.Bool }

// Write implements io.Writer.
func (arrivals arrivals) Write(data []byte) (int, error) {
	if len(data) > 0 {
		arrivals.any.Store(true)
	}
	return len(data), nil
}

// next returns the next line, which is valid until the next call. Its error is an
// *intake.Refusal if the line doesn't fit into the budget. free has to be called after each
// line and after an error.
func (reader *lineReader) next() ([]byte, error) {
	line, err := reader.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = reader.readLong(line)
	}
	if err != nil {
		return nil, err
	}
	reader.unfinished.Store(reader.buffered.Buffered() > 0)
	return line, nil
}

func (reader *lineReader) readLong(start []byte) ([]byte, error) {
	reader.held = &intake.Holding{}
	reader.held.Begin(context.Background(), reader.budget, nil)
	var line []byte
	for part, err := start, bufio.ErrBufferFull; ; part, err = reader.buffered.ReadSlice('\n') {
		if len(line)+len(part) > maxLineBytes {
			return nil, &TooLongError{What: "a line of the answer", Limit: maxLineBytes, Unit: "bytes"}
		}
		if len(line)+len(part) > cap(line) {
			grown := make([]byte, 0, min(2*cap(line), maxLineBytes)+len(part))
			if err := reader.held.Reserve(int64(cap(grown)-cap(line)) * lineCopies); err != nil {
				return nil, err
			}
			line = append(grown, line...)
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// free returns what the last line holds.
func (reader *lineReader) free() {
	if reader.held != nil {
		reader.held.Release()
		reader.held = nil
	}
}
