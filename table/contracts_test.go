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

// TestContractLimitIsNeverExceeded guards against more held VMs than the contract
// allows. Twelve data centres grow and shrink concurrently over a table that
// loses replies, and one of them can't reach the table for several rounds.
func TestContractLimitIsNeverExceeded(t *testing.T) {
	const limit, centres = 100, 12
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			memory := NewMemory()
			contracts := NewContracts(memory)
			var planners sync.WaitGroup
			for centre := range centres {
				random := rand.New(rand.NewPCG(seed, uint64(centre)))
				table := &flakyTable{
					Table:     memory,
					delay:     func() time.Duration { return time.Duration(random.IntN(30)) * time.Millisecond },
					dropReply: func() bool { return random.IntN(4) == 0 },
				}
				planners.Go(func() {
					centreContracts := NewContracts(table)
					for round := range 30 {
						table.down.Store(centre == 0 && round > 10 && round < 20)
						_, err := centreContracts.SetHeld(ctx, limit, fmt.Sprintf("dc-%d", centre), random.IntN(20))
						var overLimit *greengageroute.ContractLimitError
						var unavailable *UnavailableError
						if err != nil && !errors.As(err, &overLimit) && !errors.As(err, &unavailable) {
							t.Errorf("seed %d: SetHeld failed with an unexpected error: %v", seed, err)
						}
						if table.down.Load() && err == nil {
							t.Errorf("seed %d: SetHeld succeeded while the table was unreachable", seed)
						}
						contract, _ := contracts.Get(ctx, limit)
						if contract.Total() > limit || contract.Peak > limit {
							t.Errorf("seed %d: %d held, peak %d, limit %d", seed, contract.Total(), contract.Peak, limit)
						}
					}
				})
			}
			planners.Wait()
		})
	}
}
