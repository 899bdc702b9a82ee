package greengageroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	coldTestRate = 17
	// coldTestAllowed is what a target takes in a second: 1.5 times its rate and 5.
	coldTestAllowed = 30.5
	coldTestTime    = 60 * time.Second
)

// coldTestLoad is a fleet whose entries all have requests waiting for one cold target.
type coldTestLoad struct {
	name      string
	entries   int
	skew      time.Duration // of the entries' clocks, at most
	unknown   float64       // share of the others that an entry doesn't know
	restarts  bool          // entries forget what they sent, at random
	minServed float64       // requests a second
}

// most returns the most requests in any second, and the mean.
func (load coldTestLoad) most(target string) (most int, mean float64) {
	random := rand.New(rand.NewPCG(uint64(load.entries), 5))
	began := time.Unix(1_800_000_000, 0)
	var sent []time.Time
	for index := range load.entries {
		known, before := 1, 0
		for other := range load.entries {
			if other != index && random.Float64() >= load.unknown {
				known++
				if other < index {
					before++
				}
			}
		}
		seat := Seat{Index: before, Entries: known}
		skew := time.Duration((2*random.Float64() - 1) * float64(load.skew))
		turns := ColdTurns{}
		for now := began.Add(time.Duration(random.Int64N(int64(time.Second)))); now.Sub(began) < coldTestTime; {
			if wait := turns.Wait(seat, target, coldTestRate, time.Minute, time.Time{}, now.Add(skew)); wait > 0 {
				now = now.Add(wait + time.Duration(random.Int64N(int64(time.Millisecond))))
				continue
			}
			sent, turns = append(sent, now), turns.WithRequest(now.Add(skew))
			if load.restarts && random.IntN(20) == 0 {
				turns, now = ColdTurns{}, now.Add(300*time.Millisecond)
			}
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	for first, last := 0, 0; last < len(sent); last++ {
		for sent[last].Sub(sent[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, float64(len(sent)) / coldTestTime.Seconds()
}

// TestColdTargetsGetNoBursts guards against a cold target that crashes, as entries that
// don't know of each other's requests all send to it, in fleets of any size.
func TestColdTargetsGetNoBursts(t *testing.T) {
	tests := []coldTestLoad{
		{"one entry", 1, 0, 0, false, 12},
		{"full mesh", 13, 0, 0, false, 12},
		{"full mesh, clocks differ", 24, 200 * time.Millisecond, 0, false, 12},
		{"26 entries", 26, 20 * time.Millisecond, 0, false, 12},
		{"142 entries", 142, 20 * time.Millisecond, 0, false, 12},
		{"142 entries, clocks differ", 142, 200 * time.Millisecond, 0, false, 12},
		{"142 entries that don't know all others", 142, 20 * time.Millisecond, 0.1, false, 12},
		{"142 entries that restart", 142, 20 * time.Millisecond, 0, true, 12},
		{"400 entries", 400, 50 * time.Millisecond, 0, false, 12},
		{"400 entries that don't know all others", 400, 50 * time.Millisecond, 0.1, false, 12},
	}
	for _, load := range tests {
		t.Run(load.name, func(t *testing.T) {
			most, lowest := 0, math.Inf(1)
			for target := range 20 {
				count, mean := load.most(fmt.Sprint("llm-", target))
				most, lowest = max(most, count), min(lowest, mean)
			}
			t.Logf("at most %d requests in a second, %.1f allowed; at least %.1f a second in the mean", most, coldTestAllowed, lowest)
			if float64(most) > coldTestAllowed || lowest < load.minServed {
				t.Errorf("a cold target got up to %d requests in a second, want at most %.1f; in the mean %.1f, want %.0f", most, coldTestAllowed, lowest, load.minServed)
			}
		})
	}
}

// TestRequestsBeforeColdnessCount guards against an entry that sends to a target which has
// just become cold right after its last request.
func TestRequestsBeforeColdnessCount(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	if wait := (ColdTurns{}).Wait(Seat{Entries: 1}, "llm-1", coldTestRate, 3*time.Second, now.Add(-300*time.Millisecond), now); wait != 700*time.Millisecond {
		t.Errorf("an entry that sent a request 0.3 s before waits %s, want 0.7 s", wait)
	}
}
