package greengageroute

import (
	"math/rand/v2"
	"testing"
	"time"
)

type (
	// passEngine is one replica that reads and writes in passes.
	simulatedEngine struct {
		running       int
		prefillTokens int // tokens that the next pass reads
		waiting       []int
		ends          []time.Duration
	}

	// recent is a request that other entries may not know of yet.
	recentRequest struct {
		sentAt  time.Duration
		entry   int
		replica int
		tokens  int
	}
)

// Prompts that come within one pass: entries that choose a replica on old news
// send theirs to the same one, whose pass then stops all its streams for longer
// than their objective. Returns the share of passes that were too long.
func longIterationShare(seed uint64, reportDelay time.Duration) float64 {
	const (
		replicas     = 6
		entries      = 12
		gapObjective = 250 * time.Millisecond
		interval     = 16 * time.Millisecond // a request
		length       = 60 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 4))
	engine, model := rackEngine, rackEngine.Models[0]
	engines := make([]simulatedEngine, replicas)
	next := make([]time.Duration, replicas)
	var sent []recentRequest
	long, iterations := 0, 0
	for now := time.Duration(0); now < length; now += interval {
		for index := range engines {
			replica := &engines[index]
			if now < next[index] {
				continue
			}
			iteration := engine.IterationTime(model, replica.running) + engine.PrefillTime(model, min(replica.prefillTokens, engine.PrefillChunk*engine.StepsPerIteration))
			next[index] = now + iteration
			iterations++
			if replica.running > 0 && iteration > gapObjective {
				long++
			}
			replica.prefillTokens = 0
			for len(replica.ends) > 0 && replica.ends[0] <= now {
				replica.ends, replica.running = replica.ends[1:], replica.running-1
			}
		}
		entry, tokens := random.IntN(entries), int(200+random.ExpFloat64()*1500)
		candidates := make([]ReplicaCandidate, replicas)
		for index := range candidates {
			candidates[index].Local = true
		}
		unexpired := sent[:0]
		for _, request := range sent {
			if request.sentAt+2*time.Second < now {
				continue
			}
			unexpired = append(unexpired, request)
			if request.entry == entry || request.sentAt+reportDelay <= now {
				candidates[request.replica].Load.Running++
				if request.sentAt+150*time.Millisecond > now {
					candidates[request.replica].Load.PrefillTokens += request.tokens
				}
			}
		}
		sent = unexpired
		chosen, _ := ChooseReplica(engine, model, tokens, gapObjective, candidates)
		sent = append(sent, recentRequest{now, entry, chosen, tokens})
		replica := &engines[chosen]
		replica.running++
		replica.prefillTokens += tokens
		replica.ends = append(replica.ends, now+1300*time.Millisecond)
	}
	return float64(long) / float64(iterations)
}

// The objective: 95 in 100 gaps are on time.
func TestPromptsOfOneIterationAreSpread(t *testing.T) {
	for seed := range uint64(5) {
		if share := longIterationShare(seed, 15*time.Millisecond); share > 0.05 {
			t.Errorf("seed %d: %.3f of the passes are over the gap target with news at once", seed, share)
		}
		if delayed, share := longIterationShare(seed, 300*time.Millisecond), longIterationShare(seed, 15*time.Millisecond); delayed < share {
			t.Errorf("seed %d: old news (%.3f) does better than news at once (%.3f)", seed, delayed, share)
		}
	}
}

func TestChooseReplica(t *testing.T) {
	large := rackEngine.Models[0]
	tests := []struct {
		name       string
		candidates []ReplicaCandidate
		want       int
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
			if index, _ := ChooseReplica(rackEngine, large, 1500, 250*time.Millisecond, test.candidates); index != test.want {
				t.Errorf("got %d, want %d", index, test.want)
			}
		})
	}
}

func TestChooseTarget(t *testing.T) {
	usual := 20 * time.Millisecond
	tests := []struct {
		name       string
		candidates []TargetCandidate
		want       int
	}{
		{"none", nil, -1},
		{"the idle one", []TargetCandidate{{Running: 5, Latency: usual}, {Latency: usual}}, 1},
		{"not the one that fails", []TargetCandidate{{Latency: usual, Failures: 0.4}, {Running: 1, Latency: usual}}, 1},
		{"not the slow one", []TargetCandidate{{Latency: 5 * usual}, {Running: 2, Latency: usual}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if index := ChooseTarget(test.candidates); index != test.want {
				t.Errorf("got %d, want %d", index, test.want)
			}
		})
	}
}

func TestRetryBudget(t *testing.T) {
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 260}
	tests := []struct {
		name       string
		requests   int
		entries    int
		maxRetries int // repeats that the operator allows this entry's share
	}{
		{"without requests", 0, 13, 20},
		{"with a share of the requests", 500, 13, 120},
		{"alone", 0, 1, 260},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget, now := NewRetryBudget(bounds), time.Unix(1000, 0)
			for range test.requests {
				budget.RecordRequest(now)
			}
			retries := 0
			for range 1000 {
				if budget.AllowRetry(now, test.entries) {
					retries++
				}
			}
			if retries == 0 || retries > test.maxRetries {
				t.Errorf("%d repeats, at most %d are allowed", retries, test.maxRetries)
			}
			if now = now.Add(20 * time.Second); !budget.AllowRetry(now, test.entries) && test.entries < 13 {
				t.Error("the window doesn't slide")
			}
		})
	}
}

// Many entries before few replicas: each sends so few requests to a replica that
// its connections time out, unless it prefers those that it has.
func TestIdleConnectionDecidesAmongEquals(t *testing.T) {
	tests := []struct {
		name       string
		candidates []ReplicaCandidate
		want       int
	}{
		{"equally loaded", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true}, {Local: true}}, 1},
		{"a little more loaded", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true, Load: EngineLoad{Running: 2}}}, 1},
		{"a prompt more to read", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true, Load: EngineLoad{Running: 1, PrefillTokens: 1500}}}, 0},
		{"in another data centre", []ReplicaCandidate{{Local: true}, {HasIdleConnection: true}}, 0},
		{"silent", []ReplicaCandidate{{Local: true}, {Local: true, HasIdleConnection: true, Unresponsive: true}}, 0},
	}
	for _, test := range tests {
		if index, _ := ChooseReplica(rackEngine, rackEngine.Models[0], 1000, 250*time.Millisecond, test.candidates); index != test.want {
			t.Errorf("%s: chose %d, want %d", test.name, index, test.want)
		}
	}
}
