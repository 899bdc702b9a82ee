package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
)

type (
	// contender is one entry that wants the lease.
	contender struct {
		lease *Lease
		line  *fakeLine
		mute  bool // its news doesn't reach the others
	}
)

func newContenders(count int) []*contender {
	store := newFakeStore()
	contenders := make([]*contender, count)
	for i := range contenders {
		line := &fakeLine{fakeStore: store, delay: 4 * time.Millisecond}
		contenders[i] = &contender{line: line, lease: NewLease(line, fmt.Sprint("entry-", i), greengageroute.RuntimeClock{}, logr.Discard())}
	}
	return contenders
}

// step lets each contender act once, and spreads the holder's word.
func step(contenders []*contender) {
	for _, one := range contenders {
		go func() {
			// Failed steps are tried again.
			_ = one.lease.Step(context.Background(), OrderTimeout)
		}()
		if news := one.lease.News(); news.Holder != "" && !one.mute {
			for _, other := range contenders {
				if other != one {
					other.lease.Heard(news)
				}
			}
		}
	}
	time.Sleep(planEvery)
}

func holders(contenders []*contender) (held []int) {
	for i, one := range contenders {
		if one.lease.Tenure().Holds(time.Now(), 0) {
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
		{"the store turns the holder away", func(holder *contender) { holder.line.set(func(line *fakeLine) { line.down = true }) }},
		{"the holder is cut off from all", func(holder *contender) {
			holder.line.set(func(line *fakeLine) { line.down = true })
			holder.mute = true
		}},
		{"answers to the holder's writes are lost for good", func(holder *contender) {
			holder.line.set(func(line *fakeLine) { line.lose = true; line.delay = 3 * time.Second })
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
					t.Fatalf("after 3 s %v hold the lease", first)
				}
				test.fail(contenders[first[0]])
				began := time.Now()
				for time.Since(began) < 10*time.Second {
					step(contenders)
					held := holders(contenders)
					if len(held) > 1 {
						t.Fatalf("%v hold the lease", held)
					}
					if len(held) == 1 && held[0] != first[0] {
						break
					}
				}
				if took := time.Since(began); took > 2*leaseTerm {
					t.Errorf("the lease moved after %s", took)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Random outages, lost answers and silence: never two holders at a time.
func TestLeaseHasOneHolder(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			contenders := newContenders(4)
			moments := 0
			for range 400 {
				one := contenders[random.IntN(len(contenders))]
				switch random.IntN(30) {
				case 0:
					one.line.set(func(line *fakeLine) { line.down = !line.down })
				case 1:
					one.line.set(func(line *fakeLine) { line.lose = !line.lose })
				case 2:
					one.mute = !one.mute
				case 3:
					one.line.set(func(line *fakeLine) { line.delay = time.Duration(random.IntN(900)) * time.Millisecond })
				}
				step(contenders)
				held := holders(contenders)
				if len(held) > 1 {
					t.Fatalf("seed %d: %v hold the lease", seed, held)
				}
				moments += len(held)
			}
			if moments == 0 {
				t.Errorf("seed %d: nobody ever held the lease", seed)
			}
			time.Sleep(10 * time.Second)
		})
	}
}

func TestHeldLeaseIsNotReadByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contenders := newContenders(5)
		for range 30 {
			step(contenders)
		}
		held := holders(contenders)[0]
		for i, one := range contenders {
			if i != held {
				one.line.set(func(line *fakeLine) { line.down = true })
			}
		}
		for range 50 {
			step(contenders)
		}
		for i, one := range contenders {
			if i != held && one.lease.step.After(time.Now().Add(-4*time.Second)) {
				t.Errorf("entry %d asked the store while the holder's word came", i)
			}
		}
		time.Sleep(10 * time.Second)
	})
}
