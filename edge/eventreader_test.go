package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// lineLengths are the lengths of data lines around one and two times the reader's buffer.
var lineLengths = []int{1022, 1023, 1024, 1025, 1026, 2046, 2047, 2048, 2049, 2050}

// longEvent returns an event whose data line has a length, its line feed included.
func longEvent(id, length int, lineEnd string) string {
	data := "data: " + strings.Repeat("x", length-len("data: ")-len(lineEnd)) + lineEnd
	return fmt.Sprintf("id: %d%s", id, lineEnd) + data + lineEnd
}

// TestLongLinesAreNoEventBoundaries guards against a stream that goes on in the middle of an
// event because the last part of a long line was taken for the empty line.
func TestLongLinesAreNoEventBoundaries(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		for _, length := range lineLengths {
			first, second := longEvent(1, length, lineEnd), longEvent(2, length, lineEnd)
			text := first + second
			for cut := range len(text) + 1 {
				reader := newEventReader(io.MultiReader(strings.NewReader(text[:cut]), failingReader{}))
				var complete []byte
				event, err := reader.next()
				for ; err == nil; event, err = reader.next() {
					complete = append(complete, event...)
				}
				var want string
				switch {
				case cut == len(text):
					want = text
				case cut >= len(first):
					want = first
				}
				if !bytes.Equal(complete, []byte(want)) || !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("lines of %d bytes, line end %q, cut after %d bytes: got %d bytes in complete events and %v, want %d", length, lineEnd, cut, len(complete), err, len(want))
				}
			}
		}
	}
}

// TestStreamsCutWithinLongEvents guards against pieces of two runs that are joined where the
// first one broke off before the last line feed of an event.
func TestStreamsCutWithinLongEvents(t *testing.T) {
	for _, length := range lineLengths {
		synctest.Test(t, func(t *testing.T) {
			first, second := longEvent(1, length, "\n"), longEvent(2, length, "\n")
			fixture := newFixture(script{aborts(first[:len(first)-1]), answers(200, first+second)})
			recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
			if aborted || recorder.Body.String() != first+second {
				t.Errorf("lines of %d bytes: got %d bytes, aborted: %t; want %d", length, recorder.Body.Len(), aborted, len(first+second))
			}
			if last := fixture.attempts[1].LastEventID; last != "" {
				t.Errorf("lines of %d bytes: resumed after event %q, which never came", length, last)
			}
			time.Sleep(time.Second) // lets the crash check finish
		})
	}
}
