package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
)

var leaseSeeds = flag.Int("lease-seeds", 30, "seeds of the test of the lease across restorations of the store")

type (
	// contender is an entry that competes for the lease.
	contender struct {
		lease *Lease
		conn  *fakeConn
		muted bool // its updates don't reach the others
	}
)

func newContenders(count int) []*contender {
	store := newFakeStore()
	contenders := make([]*contender, count)
	for i := range contenders {
		conn := &fakeConn{fakeStore: store, delay: 4 * time.Millisecond}
		contenders[i] = &contender{conn: conn, lease: NewLease(conn, fmt.Sprint("entry-", i), true, greengageroute.RuntimeClock{}, logr.Discard())}
	}
	return contenders
}

// step runs each contender's step once and delivers the holder's update.
func step(contenders []*contender) {
	for _, contender := range contenders {
		go func() {
			// The next step retries a failed one.
			_ = contender.lease.Step(context.Background(), OrderTimeout)
		}()
		if update := contender.lease.PeerUpdate(); update.Fence > 0 && !contender.muted {
			for _, other := range contenders {
				if other != contender {
					other.lease.ReceiveUpdate(update)
				}
			}
		}
	}
	time.Sleep(planInterval)
}

func holders(contenders []*contender) (held []int) {
	for i, contender := range contenders {
		if contender.lease.Held().Holds(time.Now(), 0) {
			held = append(held, i)
		}
	}
	return held
}

func TestLeaseMovesWithinTwoTerms(t *testing.T) {
	tests := []struct {
		name string
		fail func(holder *contender)
	}{
		{"the store fails the holder's calls", func(holder *contender) { holder.conn.set(func(conn *fakeConn) { conn.down = true }) }},
		{"the holder is cut off from the store and the other entries", func(holder *contender) {
			holder.conn.set(func(conn *fakeConn) { conn.down = true })
			holder.muted = true
		}},
		{"responses to the holder's writes are always lost", func(holder *contender) {
			holder.conn.set(func(conn *fakeConn) { conn.dropReplies = true; conn.delay = 3 * time.Second })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contenders := newContenders(5)
				for range 30 {
					step(contenders)
				}
				first := holders(contenders)
				if len(first) != 1 {
					t.Fatalf("after 3 s contenders %v hold the lease, want one", first)
				}
				test.fail(contenders[first[0]])
				started := time.Now()
				for time.Since(started) < 10*time.Second {
					step(contenders)
					held := holders(contenders)
					if len(held) > 1 {
						t.Fatalf("contenders %v hold the lease at the same time", held)
					}
					if len(held) == 1 && held[0] != first[0] {
						break
					}
				}
				if took := time.Since(started); took > 2*leaseTerm {
					t.Errorf("the lease moved after %s, want within two terms", took)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestReleasedLeaseIsTakenAtOnce guards against replicas that nobody repairs after a planned stop
// of the holder, until the lease that it released has expired.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contenders := newContenders(3)
		for range 30 {
			step(contenders)
		}
		first := holders(contenders)
		if len(first) != 1 {
			t.Fatalf("after 3 s contenders %v hold the lease, want one", first)
		}
		released := contenders[first[0]]
		if err := released.lease.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		others := slices.Delete(slices.Clone(contenders), first[0], first[0]+1)
		started := time.Now()
		for len(holders(others)) == 0 && time.Since(started) < 10*time.Second {
			for _, other := range others {
				other.lease.ReceiveUpdate(released.lease.PeerUpdate())
			}
			step(others)
		}
		if took := time.Since(started); took > leaseReadInterval+2*planInterval {
			t.Errorf("the lease moved after %s", took)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestLeaseHasOneHolder checks that store outages, lost responses, delays and
// undelivered updates in random order never lead to two holders at a time.
func TestLeaseHasOneHolder(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			contenders := newContenders(4)
			heldSteps := 0
			for range 400 {
				contender := contenders[random.IntN(len(contenders))]
				switch random.IntN(30) {
				case 0:
					contender.conn.set(func(conn *fakeConn) { conn.down = !conn.down })
				case 1:
					contender.conn.set(func(conn *fakeConn) { conn.dropReplies = !conn.dropReplies })
				case 2:
					contender.muted = !contender.muted
				case 3:
					contender.conn.set(func(conn *fakeConn) { conn.delay = time.Duration(random.IntN(900)) * time.Millisecond })
				}
				step(contenders)
				held := holders(contenders)
				if len(held) > 1 {
					t.Fatalf("seed %d: contenders %v hold the lease at the same time", seed, held)
				}
				heldSteps += len(held)
			}
			if heldSteps == 0 {
				t.Errorf("seed %d: no contender ever held the lease", seed)
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// TestLeaseAfterTheStoreIsRestored guards against two planners at a time and against
// epochs that are given out again, when the store comes back from a copy in which another
// entry holds the lease, or nobody does, or the same holder with fewer renewals.
func TestLeaseAfterTheStoreIsRestored(t *testing.T) {
	for seed := range uint64(*leaseSeeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			contenders := newContenders(4)
			store := contenders[0].conn.fakeStore
			copies := []storeCopy{store.backup()}
			holderOf := map[uint64]int{}
			for range 500 {
				switch random.IntN(40) {
				case 0, 1:
					contender := contenders[random.IntN(len(contenders))]
					contender.conn.set(func(conn *fakeConn) { conn.down = !conn.down })
				case 2:
					contender := contenders[random.IntN(len(contenders))]
					contender.muted = !contender.muted
				case 3, 4:
					copies = append(copies, store.backup())
				case 5:
					store.restore(copies[max(0, len(copies)-1-random.IntN(3))])
					for range random.IntN(30) { // gives versions out again
						store.put("op", "config", "{}")
					}
				case 6:
					for _, contender := range contenders {
						contender.conn.set(func(conn *fakeConn) { conn.down = false })
						contender.muted = false
					}
				}
				step(contenders)
				held := holders(contenders)
				if len(held) > 1 {
					t.Fatalf("seed %d: contenders %v hold the lease at the same time", seed, held)
				}
				for _, i := range held {
					fence := contenders[i].lease.Held().Fence
					if other, used := holderOf[fence]; used && other != i {
						t.Fatalf("seed %d: contenders %d and %d held the lease with fence %d", seed, other, i, fence)
					}
					holderOf[fence] = i
				}
			}
			for _, contender := range contenders {
				contender.conn.set(func(conn *fakeConn) { conn.down = false })
				contender.muted = false
			}
			for range 50 {
				step(contenders)
			}
			if len(holders(contenders)) != 1 {
				t.Errorf("seed %d: nobody holds the lease 5 s after the last fault", seed)
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// TestReleasedLeaseAfterTheStoreIsRestored guards against a fleet without a planner for good: the
// store comes back from a copy from before the lease was released, and the entries that released
// it go on saying so.
func TestReleasedLeaseAfterTheStoreIsRestored(t *testing.T) {
	for releases := range 4 {
		t.Run(fmt.Sprint("releases ", releases), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contenders := newContenders(3)
				store := contenders[0].conn.fakeStore
				for range 30 {
					step(contenders)
				}
				copied := store.backup()
				for range releases {
					for range 30 {
						step(contenders)
					}
					for _, i := range holders(contenders) {
						if err := contenders[i].lease.Release(t.Context()); err != nil {
							t.Fatal(err)
						}
					}
				}
				store.restore(copied)
				restored := time.Now()
				for len(holders(contenders)) == 0 && time.Since(restored) < 30*time.Second {
					step(contenders)
				}
				if took := time.Since(restored); took > 2*leaseTerm {
					t.Errorf("nobody held the lease for %s, want within two terms", took)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestHolderKeepsItsLeaseAsTheStoreIsRestored guards against replicas that aren't repaired
// for a whole term although the planner has been running all the while.
func TestHolderKeepsItsLeaseAsTheStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contenders := newContenders(3)
		store := contenders[0].conn.fakeStore
		for range 30 {
			step(contenders)
		}
		copied := store.backup()
		for range 50 {
			step(contenders)
		}
		first := holders(contenders)
		fence := contenders[first[0]].lease.Held().Fence
		store.restore(copied)
		for range 50 {
			step(contenders)
			if held := holders(contenders); len(held) != 1 || held[0] != first[0] {
				t.Fatalf("contenders %v hold the lease after the restoration, want %v", held, first)
			}
		}
		if now := contenders[first[0]].lease.Held().Fence; now != fence {
			t.Errorf("the holder has fence %d after the restoration, want %d: its replicas stand", now, fence)
		}
		time.Sleep(10 * time.Second)
	})
}

func TestHeldLeaseIsNotReadByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contenders := newContenders(5)
		for range 30 {
			step(contenders)
		}
		held := holders(contenders)[0]
		for i, contender := range contenders {
			if i != held {
				contender.conn.set(func(conn *fakeConn) { conn.down = true })
			}
		}
		for range 50 {
			step(contenders)
		}
		for i, contender := range contenders {
			if i != held && contender.lease.lastCall.After(time.Now().Add(-4*time.Second)) {
				t.Errorf("entry %d called the store although the holder's updates arrived", i)
			}
		}
		time.Sleep(10 * time.Second)
	})
}

// TestOverwrittenLeaseIsHeldAgain guards against planners that stop for good, and against two
// at a time, because another writer overwrote the row of their lease.
func TestOverwrittenLeaseIsHeldAgain(t *testing.T) {
	for _, odd := range []string{
		"\xff\x00", "", "null", "7", "[]", "{}", `{"holder":7}`, `{"holder":"x/1","fence":-1}`, `{"holder":"x/1","fence":1e400}`, `{"holder":"x/1"}`,
		`{"holder":"x/1","fence":18446744073709551615}`, `{"holder":"x/1","fence":18446744073709551615,"renewals":18446744073709551615}`,
		`{"holder":"x/1","fence":3,"era":18446744073709551615}`, `{"holder":"","fence":18446744073709551615}`,
	} {
		for _, muted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, updates lost: %v", odd, muted), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testOverwrittenLease(t, odd, muted) })
			})
		}
	}
}

func testOverwrittenLease(t *testing.T, odd string, muted bool) {
	contenders := newContenders(3)
	for _, contender := range contenders {
		contender.muted = muted
	}
	held := func() (index int, fence uint64) {
		step(contenders)
		found := holders(contenders)
		if len(found) > 1 {
			t.Fatalf("contenders %v hold the lease at the same time", found)
		}
		if len(found) == 0 {
			return -1, 0
		}
		return found[0], contenders[found[0]].lease.Held().Fence
	}
	for range 30 {
		held()
	}
	first, fence := held()
	if first < 0 {
		t.Fatal("nobody holds the lease")
	}
	for range 3 {
		contenders[first].conn.put("control", "planner", odd)
		later, laterFence := -1, uint64(0)
		for started := time.Now(); time.Since(started) < 3*(leaseTerm+OrderTimeout); {
			if index, current := held(); index >= 0 {
				later, laterFence = index, current
			}
		}
		if later < 0 || !contenders[later].lease.Held().Holds(time.Now(), 0) {
			t.Fatalf("nobody holds the lease three terms after the row was overwritten")
		}
		if laterFence < fence || later != first && laterFence == fence || laterFence > fence+1000 {
			t.Fatalf("contender %d holds the lease with fence %d, after contender %d with %d", later, laterFence, first, fence)
		}
		first, fence = later, laterFence
	}
	time.Sleep(10 * time.Second)
}
