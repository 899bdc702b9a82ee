package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// largeDomain has a group of the large model and a spare, smallDomain one of the other.
	largeDomain = 7
	smallDomain = 4
	slowPace    = 12.0
	slowTime    = 9 * time.Second
	cutTime     = 10 * time.Second
	// slowRunner is replaced, and the others are cut off from the store: the head of the group
	// and one more member.
	slowRunner = "i-large-1"
	headRunner = "i-large-0"
	cutRunner  = "i-large-2"
)

// oldEpoch has a member of a group turn slow for some seconds, and is replaced, so that the
// group goes on under a new epoch. Then the head and another member are partitioned from the
// store; the entry reaches them. No member may be joined to another group while the head is
// open.
func oldEpoch(world *world) (held bool, err error) {
	all := &engines{world: world, byID: map[string]*engine{}}
	for domain, size := range map[string]int{"large": largeDomain, "small": smallDomain} {
		for i := range size {
			if err := all.start(fmt.Sprintf("i-%s-%d", domain, i), "a", "a-"+domain); err != nil {
				return false, err
			}
		}
	}
	world.putConfig(1, []any{streamRoute()}, []any{engineService(true)}, []any{tenantWith(tenant, theKey)})
	entry, err := world.startEntry("frontend-a-1", "127.0.0.1")
	if err != nil {
		return false, err
	}
	count := func() int { return len(all.openHeads("a-large")) + len(all.openHeads("a-small")) }
	for deadline := time.Now().Add(formationWait); count() < 2; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("only %d groups are open after %s", count(), formationWait)
		}
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { sendStreams(world, entry, largeModel, stop) })
	time.Sleep(trafficTime)
	slow, head, other := all.byID[slowRunner], all.byID[headRunner], all.byID[cutRunner]
	world.record("%s: %s; %s: %s", headRunner, head.membership(), slowRunner, slow.membership())
	if world.trouble {
		world.record("%s is %.0f times slower for %s", slowRunner, slowPace, slowTime)
		slow.slowDown(slowPace, slowTime)
	}
	time.Sleep(slowTime + settleTime)
	world.record("%s: %s; %s: %s", headRunner, head.membership(), slowRunner, slow.membership())
	if world.trouble {
		world.record("%s and %s are partitioned from the store for %s", headRunner, cutRunner, cutTime)
		head.cutFromStore(cutTime)
		other.cutFromStore(cutTime)
	}
	time.Sleep(cutTime + settleTime)
	close(stop)
	traffic.Wait()
	all.mu.Lock()
	defer all.mu.Unlock()
	world.record("%d joins in all, %d of them break the rule", all.joins, len(all.violations))
	return len(all.violations) == 0, nil
}
