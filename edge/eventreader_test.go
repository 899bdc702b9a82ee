package edge

import (
	"bytes"
	"errors"
	"expvar"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
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
				reader := newEventReader(io.MultiReader(strings.NewReader(text[:cut]), failingReader{}), &intake.Holding{})
				var complete []byte
				event, err := reader.next()
				for ; err == nil; event, err = reader.next() {
					complete = append(complete, event.text...)
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

// TestStoppedEventIsEndedForAnother guards against faulty targets whose long events stay in the
// memory of an entry, and against streams that end for another one although they go on.
func TestStoppedEventIsEndedForAnother(t *testing.T) {
	long := longEvent(1, 300<<10, "\n")
	for _, test := range []struct {
		name          string
		event         string // of the first stream
		checks        int    // before another stream's long event
		ended, fitted bool
	}{
		{"an event that has just come", long[:len(long)-2], 0, false, false},
		{"an event that has stopped", long[:len(long)-2], 3, true, true},
		{"an event that nobody waits for", long[:len(long)-2], 25, true, true},
		{"small events", strings.Repeat(longEvent(1, 1<<10, "\n"), 300), 25, false, true},
		{"an event that waits for its caller", long, 3, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := intake.NewBudget(greengageroute.BodyBudget{Total: 700 << 10, SmallReserve: 100 << 10}, new(expvar.Map).Init())
			var first, second intake.Holding
			var cause error
			first.BeginEvents(t.Context(), budget, nil, func(err error) { cause = err })
			second.BeginEvents(t.Context(), budget, nil, func(error) {})
			body, target := io.Pipe()
			read := make(chan error)
			go func() {
				reader := newEventReader(body, &first)
				event, err := reader.next()
				for err == nil && event.charged == 0 {
					event, err = reader.next()
				}
				read <- err
			}()
			if _, err := io.WriteString(target, test.event); err != nil {
				t.Fatal(err)
			}
			if test.event == long {
				<-read
			}
			for range test.checks {
				budget.Check()
			}
			another, err := newEventReader(strings.NewReader(longEvent(1, 500<<10, "\n")), &second).next()
			if fitted := err == nil; fitted != test.fitted || (cause != nil) != test.ended || cause != nil && !isOverBudget(cause) {
				t.Errorf("another event: %v, the first one ended for %v; want it to fit: %t, ended: %t", err, cause, test.fitted, test.ended)
			}
			another.release(&second)
			if test.event != long {
				target.Close()
				<-read
			}
			first.Release()
			if used := budget.Used(); used != 0 {
				t.Errorf("%d bytes are held after the streams", used)
			}
		})
	}
}

// BenchmarkEvents measures the reading of a stream's events within a budget.
func BenchmarkEvents(b *testing.B) {
	for _, length := range []int{100, 2 << 10, 8 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%d bytes", length), func(b *testing.B) {
			budget := intake.NewBudget(greengageroute.NewBodyBudget(greengageroute.VMLimits{MemoryMB: 136}), new(expvar.Map).Init())
			var holding intake.Holding
			holding.BeginEvents(b.Context(), budget, nil, func(error) {})
			reader := newEventReader(&repeatingReader{text: longEvent(1, length, "\n")}, &holding)
			b.ReportAllocs()
			for b.Loop() {
				event, err := reader.next()
				if err != nil {
					b.Fatal(err)
				}
				event.release(&holding)
			}
		})
	}
}

// repeatingReader repeats a text.
type repeatingReader struct {
	text string
	at   int
}

func (reader *repeatingReader) Read(into []byte) (int, error) {
	count := copy(into, reader.text[reader.at:])
	reader.at = (reader.at + count) % len(reader.text)
	return count, nil
}
