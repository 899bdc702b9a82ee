package greengageroute

import (
	"testing"
	"time"
)

// TestSmallestVMHoldsALargestBody guards against shares of the memory that refuse a request
// inside the limits on an entry without others, or small ones beside large ones.
func TestSmallestVMHoldsALargestBody(t *testing.T) {
	const largest, framing = 4 << 20, 5 // bytes that a chunk of one byte has beside it
	limits := VMLimits{MemoryMB: 136, FileDescriptors: 2870}
	budget, bounds := NewBodyBudget(limits), NewConnectionBounds(limits)
	for _, test := range []struct {
		name             string
		used, held, more int64
		fits             bool
	}{
		{"the largest body, in chunks of one byte", 0, 0, largest * (1 + framing), true},
		{"one byte beyond the part for large bodies", budget.Total - budget.SmallReserve, SmallBody, 1, false},
		{"a small body beside large ones", budget.Total - budget.SmallReserve, 0, SmallBody, true},
		{"a small body on the last connection", budget.Total - budget.SmallReserve + int64(bounds.Callers-1)*SmallBody, 0, SmallBody, true},
		{"no room at all", budget.Total, 0, 1, false},
	} {
		if fits := budget.Fits(test.used, test.held, test.more); fits != test.fits {
			t.Errorf("%s: fits %t, want %t", test.name, fits, test.fits)
		}
	}
}

// TestRequestToEndHoldsManyAndMovesFew guards against ending callers that send steadily, or
// requests that wait for a target, in favour of others.
func TestRequestToEndHoldsManyAndMovesFew(t *testing.T) {
	steady := HeldBytes{Held: 3 << 20, Moved: 1 << 20, Waits: true}
	stopped := HeldBytes{Held: 1 << 20, Waits: true}
	for _, test := range []struct {
		name     string
		requests []HeldBytes
		want     int
	}{
		{"none", nil, -1},
		{"a steady one", []HeldBytes{steady}, -1},
		{"a stopped one beside a steady one", []HeldBytes{steady, stopped}, 1},
		{"the largest stopped one", []HeldBytes{stopped, {Held: 2 << 20, Waits: true}, stopped}, 1},
		{"one that trickles", []HeldBytes{steady, {Held: 1 << 20, Moved: 2000, Waits: true}}, 1},
		{"one that waits for its target", []HeldBytes{{Held: 4 << 20}}, -1},
		{"a small one that stopped", []HeldBytes{{Held: SmallBody, Waits: true}}, -1},
	} {
		if chosen := (BodyBudget{}).ChooseEvicted(test.requests); chosen != test.want {
			t.Errorf("%s: request %d is ended, want %d", test.name, chosen, test.want)
		}
	}
}

// TestPaceSparesCallersInsideTheLimits guards against bounds of the time that end callers on
// slow links, or that let others hold bytes without end.
func TestPaceSparesCallersInsideTheLimits(t *testing.T) {
	const largest = 4 << 20
	for _, test := range []struct {
		name     string
		bySecond func(second int) int64 // received until then
		stalled  int                    // second in which the body stalls; 0: never
		tooSlow  int
	}{
		{"14 Mbit/s shared by a hundred", func(second int) int64 { return min(int64(second)*17_500, largest) }, 0, 0},
		{"a pause of 15 s", func(second int) int64 { return max(0, int64(second)-15) * 100_000 }, 0, 0},
		{"nothing arrives", func(int) int64 { return 0 }, bodyStallLimit, 31},
		{"a byte a second", func(second int) int64 { return int64(second) }, 0, 31},
	} {
		pace, stalled, tooSlow := BodyPace{}, 0, 0
		for second := 1; second <= 240 && pace.received < largest; second++ {
			pace = pace.WithCheck(test.bySecond(second))
			if pace.Stalled() && stalled == 0 {
				stalled = second
			}
			if pace.TooSlow() && tooSlow == 0 {
				tooSlow = second
			}
		}
		if stalled != test.stalled || tooSlow != test.tooSlow {
			t.Errorf("%s: stalled at %d s and too slow at %d s, want %d and %d", test.name, stalled, tooSlow, test.stalled, test.tooSlow)
		}
	}
}

// TestConnectionToCloseServesNobody guards against closing a connection with a request that
// runs, or a new one before those that never bring a header.
func TestConnectionToCloseServesNobody(t *testing.T) {
	for _, test := range []struct {
		name        string
		connections []CallerConnection
		want        int
	}{
		{"none", nil, -1},
		{"all run", []CallerConnection{{ConnectionBusy, time.Hour}}, -1},
		{"the longest idle one", []CallerConnection{{ConnectionIdle, time.Second}, {ConnectionIdle, time.Minute}, {ConnectionBusy, time.Hour}}, 1},
		{"a header that never ends before an idle one", []CallerConnection{{ConnectionIdle, time.Minute}, {ConnectionInHeader, 4 * time.Second}}, 1},
		{"an idle one before a new one", []CallerConnection{{ConnectionInHeader, time.Second}, {ConnectionIdle, time.Second}}, 1},
		{"a stalled one last", []CallerConnection{{ConnectionStalled, time.Minute}, {ConnectionInHeader, time.Millisecond}}, 1},
		{"a stalled one", []CallerConnection{{ConnectionBusy, time.Hour}, {ConnectionStalled, time.Minute}}, 1},
		{"a stalled one before one that brings its body", []CallerConnection{{ConnectionReceiving, time.Minute}, {ConnectionStalled, time.Second}}, 1},
		{"one that takes long for its body", []CallerConnection{{ConnectionBusy, time.Hour}, {ConnectionReceiving, 2 * time.Second}, {ConnectionReceiving, 9 * time.Second}}, 2},
		{"one that has just begun its body", []CallerConnection{{ConnectionBusy, time.Hour}, {ConnectionReceiving, time.Second}}, -1},
	} {
		if chosen := ChooseClosed(test.connections); chosen != test.want {
			t.Errorf("%s: connection %d is closed, want %d", test.name, chosen, test.want)
		}
	}
}
