package entry

import (
	"math/rand/v2"
	"sync"
	"testing"

	greengageroute "greengageroute.example/greengageroute"
)

// TestDocumentsNeverGoBack delivers revisions in many orders from several goroutines
// at once, and checks that no reader sees an older revision after a newer one.
func TestDocumentsNeverGoBack(t *testing.T) {
	const revisions = 12
	for seed := range uint64(50) {
		documents := newDocuments("ne")
		random := rand.New(rand.NewPCG(seed, 3))
		done := make(chan struct{})
		var readers, writers sync.WaitGroup
		readers.Go(func() {
			newestConfig, newestFleet := uint64(0), uint64(0)
			for {
				config, fleet := documents.config.Load().Revision(), documents.fleet.Load().Revision
				if config < newestConfig || fleet < newestFleet {
					t.Errorf("seed %d: config and fleet went back from revisions %d and %d to %d and %d", seed, newestConfig, newestFleet, config, fleet)
				}
				newestConfig, newestFleet = config, fleet
				select {
				case <-done:
					return
				default:
				}
			}
		})
		for range 3 {
			order := random.Perm(revisions)
			writers.Go(func() {
				for _, revision := range order {
					config, err := greengageroute.NewConfig(uint64(revision), nil)
					if err != nil {
						t.Error(err)
						return
					}
					documents.adoptConfig(config)
					documents.adoptFleet(greengageroute.Fleet{DataCentre: "ne", Revision: uint64(revision)})
				}
			})
		}
		writers.Wait()
		close(done)
		readers.Wait()
		if found := documents.config.Load().Revision(); found != revisions-1 {
			t.Errorf("seed %d: the config ended at revision %d, want %d", seed, found, revisions-1)
		}
	}
}
