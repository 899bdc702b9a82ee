package greengageroute

import (
	"math/rand/v2"
	"testing"
	"time"
)

type (
	// passEngine is one replica that reads and writes in passes.
	passEngine struct {
		running int
		reading int // tokens that the next pass reads
		waiting []int
		ends    []time.Duration
	}

	// recent is a request that other entries may not know of yet.
	recent struct {
		at     time.Duration
		entry  int
		place  int
		tokens int
	}
)

// Prompts that come within one pass: entries that choose a replica on old news
// send theirs to the same one, whose pass then stops all its streams for longer
// than their objective. Returns the share of passes that were too long.
func longPasses(seed uint64, news time.Duration) float64 {
	const (
		replicas = 6
		entries  = 12
		gap      = 250 * time.Millisecond
		every    = 16 * time.Millisecond // a request
		length   = 60 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 4))
	engine, model := testEngine, testEngine.Models[0]
	engines := make([]passEngine, replicas)
	next := make([]time.Duration, replicas)
	var sent []recent
	long, passes := 0, 0
	for now := time.Duration(0); now < length; now += every {
		for place := range engines {
			one := &engines[place]
			if now < next[place] {
				continue
			}
			pass := engine.IterationTime(model, one.running) + engine.PrefillTime(model, min(one.reading, engine.PrefillChunk*engine.StepsPerIteration))
			next[place] = now + pass
			passes++
			if one.running > 0 && pass > gap {
				long++
			}
			one.reading = 0
			for len(one.ends) > 0 && one.ends[0] <= now {
				one.ends, one.running = one.ends[1:], one.running-1
			}
		}
		entry, tokens := random.IntN(entries), int(200+random.ExpFloat64()*1500)
		choices := make([]ReplicaCandidate, replicas)
		for place := range choices {
			choices[place].Local = true
		}
		kept := sent[:0]
		for _, one := range sent {
			if one.at+2*time.Second < now {
				continue
			}
			kept = append(kept, one)
			if one.entry == entry || one.at+news <= now {
				choices[one.place].Load.Running++
				if one.at+150*time.Millisecond > now {
					choices[one.place].Load.PrefillTokens += one.tokens
				}
			}
		}
		sent = kept
		place, _ := ChooseReplica(engine, model, tokens, gap, choices)
		sent = append(sent, recent{now, entry, place, tokens})
		one := &engines[place]
		one.running++
		one.reading += tokens
		one.ends = append(one.ends, now+1300*time.Millisecond)
	}
	return float64(long) / float64(passes)
}

// The objective: 95 in 100 gaps are on time.
func TestPromptsOfOnePassAreSpread(t *testing.T) {
	for seed := range uint64(5) {
		if late := longPasses(seed, 15*time.Millisecond); late > 0.05 {
			t.Errorf("seed %d: %.3f of the passes are over the gap target with news at once", seed, late)
		}
		if old, late := longPasses(seed, 300*time.Millisecond), longPasses(seed, 15*time.Millisecond); old < late {
			t.Errorf("seed %d: old news (%.3f) does better than news at once (%.3f)", seed, old, late)
		}
	}
}

func TestChooseReplica(t *testing.T) {
	large := testEngine.Models[0]
	tests := []struct {
		name    string
		choices []ReplicaCandidate
		want    int
	}{
		{"none", nil, -1},
		{"the less loaded", []ReplicaCandidate{{Load: EngineLoad{Running: 20}}, {Load: EngineLoad{Running: 3}}}, 1},
		{"the one with less to read", []ReplicaCandidate{{Load: EngineLoad{PrefillTokens: 9000}}, {Load: EngineLoad{Running: 5}}}, 1},
		{"a straggler only if it is far less loaded", []ReplicaCandidate{{Slowdown: 5}, {Load: EngineLoad{Running: 10}}}, 1},
		{"a silent one last", []ReplicaCandidate{{Unresponsive: true}, {Load: EngineLoad{Running: 26, PrefillTokens: 20_000}}}, 1},
		{"a silent one if there is no other", []ReplicaCandidate{{Unresponsive: true}}, 0},
		{"the near one of equals", []ReplicaCandidate{{}, {Local: true}}, 1},
		{"a full one waits for a slot", []ReplicaCandidate{{Load: EngineLoad{Running: 26}}, {Load: EngineLoad{Running: 25}}}, 1},
		{"not the one whose streams would wait", []ReplicaCandidate{
			{Local: true, Load: EngineLoad{Running: 4, PrefillTokens: 9500}}, {Local: true, Load: EngineLoad{Running: 26, PrefillTokens: 3000}},
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if place, _ := ChooseReplica(testEngine, large, 1500, 250*time.Millisecond, test.choices); place != test.want {
				t.Errorf("got %d, want %d", place, test.want)
			}
		})
	}
}

func TestChooseTarget(t *testing.T) {
	usual := 20 * time.Millisecond
	tests := []struct {
		name    string
		choices []TargetCandidate
		want    int
	}{
		{"none", nil, -1},
		{"the idle one", []TargetCandidate{{Running: 5, Latency: usual}, {Latency: usual}}, 1},
		{"not the one that fails", []TargetCandidate{{Latency: usual, Failures: 0.4}, {Running: 1, Latency: usual}}, 1},
		{"not the slow one", []TargetCandidate{{Latency: 5 * usual}, {Running: 2, Latency: usual}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if place := ChooseTarget(test.choices); place != test.want {
				t.Errorf("got %d, want %d", place, test.want)
			}
		})
	}
}

func TestRetryWindow(t *testing.T) {
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 260}
	tests := []struct {
		name     string
		requests int
		entries  int
		most     int // repeats that the operator allows this entry's share
	}{
		{"without requests", 0, 13, 20},
		{"with a share of the requests", 500, 13, 120},
		{"alone", 0, 1, 260},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			window, now := NewRetryBudget(bounds), time.Unix(1000, 0)
			for range test.requests {
				window.RecordRequest(now)
			}
			taken := 0
			for range 1000 {
				if window.AllowRetry(now, test.entries) {
					taken++
				}
			}
			if taken == 0 || taken > test.most {
				t.Errorf("%d repeats, at most %d are allowed", taken, test.most)
			}
			if now = now.Add(20 * time.Second); !window.AllowRetry(now, test.entries) && test.entries < 13 {
				t.Error("the window doesn't slide")
			}
		})
	}
}

// Many entries before few replicas: each sends so few requests to a replica that
// its connections time out, unless it prefers those that it has.
func TestKeptConnectionsDecideAmongEquals(t *testing.T) {
	tests := []struct {
		name    string
		choices []ReplicaCandidate
		want    int
	}{
		{"equally loaded", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true}, {Local: true}}, 1},
		{"a little more loaded", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true, Load: EngineLoad{Running: 2}}}, 1},
		{"a prompt more to read", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true, Load: EngineLoad{Running: 1, PrefillTokens: 1500}}}, 0},
		{"in another data centre", []ReplicaCandidate{{Local: true}, {HasIdleConnection: true}}, 0},
		{"silent", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true, Unresponsive: true}}, 0},
	}
	for _, test := range tests {
		if place, _ := ChooseReplica(testEngine, testEngine.Models[0], 1000, 250*time.Millisecond, test.choices); place != test.want {
			t.Errorf("%s: chose %d, want %d", test.name, place, test.want)
		}
	}
}
