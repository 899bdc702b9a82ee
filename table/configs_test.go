package table

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

func emptyConfig(t *testing.T) *greengageroute.Config {
	t.Helper()
	config, err := greengageroute.NewConfig(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func classFile(name string, seconds int) string {
	return fmt.Sprintf("classes: [{name: %s, rank: 1, deadline: %ds}]", name, seconds)
}

// TestConcurrentAppliesOverALossyTable guards against applies that are lost or
// take effect twice when a reply is lost. Eight operators apply files over a
// table that loses a third of its replies: each accepted apply must be exactly
// one revision.
func TestConcurrentAppliesOverALossyTable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			memory := NewMemory()
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 2))
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			table := &flakyTable{Table: memory, delay: func() time.Duration { return time.Duration(draw(20)) * time.Millisecond }, dropReply: func() bool { return draw(3) == 0 }}
			accepted := make([]int, 8)
			var operators sync.WaitGroup
			for operator := range accepted {
				operators.Go(func() {
					configs := NewConfigs(table)
					known := emptyConfig(t)
					name := fmt.Sprintf("file-%d", operator%4)
					for round := range 10 {
						current, _ := known.Version(name)
						config, err := configs.Apply(ctx, known, Proposal{
							Name: name, Text: classFile(name, 1+round), BaseVersion: current.Version,
							ApplyID: fmt.Sprintf("%d-%d", operator, round), Actor: fmt.Sprint(operator),
						})
						var stale *StaleBaseError
						var uncertain *UncertainError
						var unavailable *UnavailableError
						switch {
						case err == nil:
							accepted[operator]++
							known = config
						case errors.As(err, &stale):
							known, _ = configs.Latest(ctx, known)
						case errors.As(err, &uncertain) || errors.As(err, &unavailable):
						default:
							t.Errorf("seed %d: the apply failed with an unexpected error: %v", seed, err)
						}
					}
				})
			}
			operators.Wait()
			trail, err := NewConfigs(memory).AuditTrail(ctx, 0)
			if err != nil {
				t.Fatal(err)
			}
			checkAuditTrail(t, trail)
			total := 0
			for _, count := range accepted {
				total += count
			}
			if total > len(trail) {
				t.Errorf("seed %d: %d applies were accepted, but the audit trail has only %d records", seed, total, len(trail))
			}
		})
	}
}

func checkAuditTrail(t *testing.T, trail []greengageroute.AuditRecord) {
	t.Helper()
	versions := map[string]uint64{}
	ids := map[string]bool{}
	for i, change := range trail {
		if change.Revision != uint64(i+1) {
			t.Errorf("the audit trail has revision %d at position %d", change.Revision, i+1)
		}
		if change.From != versions[change.Subject] || change.To != change.From+1 {
			t.Errorf("the audit trail changes file %s from version %d to %d, its version before is %d", change.Subject, change.From, change.To, versions[change.Subject])
		}
		if ids[change.ApplyID] {
			t.Errorf("apply ID %s is in the audit trail twice", change.ApplyID)
		}
		versions[change.Subject], ids[change.ApplyID] = change.To, true
	}
}

func TestFilesAreValidatedTogether(t *testing.T) {
	ctx := context.Background()
	configs := NewConfigs(NewMemory())
	config := emptyConfig(t)
	config, err := configs.Apply(ctx, config, Proposal{Name: "a", Text: classFile("counter", 1), ApplyID: "1"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = configs.Apply(ctx, config, Proposal{Name: "b", Text: classFile("counter", 2), ApplyID: "2"})
	var invalid *greengageroute.ValidationError
	if !errors.As(err, &invalid) {
		t.Errorf("applying a second file with the same class: got error %v, want a ValidationError", err)
	}
}

func TestBatcherReturnsEachCommitsOwnResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		memory := NewMemory()
		batcher := NewBatcher(ctx, memory)
		var commits sync.WaitGroup
		results := make([]error, 40)
		for i := range results {
			commits.Go(func() {
				// Every second commit expects a row that does not exist.
				results[i] = batcher.Commit(ctx, Write{Key: fmt.Sprintf("row-%d", i), ExpectedVersion: uint64(i % 2)})
			})
		}
		commits.Wait()
		for i, err := range results {
			var conflict *ConflictError
			if wantConflict := i%2 == 1; errors.As(err, &conflict) != wantConflict {
				t.Errorf("commit %d: got %v, want conflict %t", i, err, wantConflict)
			}
		}
		stop()
	})
}
