package control

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	testEngineConfig = `{"version":1,"routes":[],"services":[{"name":"llm","engine":{"slots":4,"loads_per_s":10,"loads_at_once":4,"models":[{"name":"m","size":2,"share":1}]}}]}`
	testMember       = `{"service":"llm","address":"10.0.0.%d:80","zone":"a","domain":"d0","state":"ready","slots":6,"born":1,"sequence":%d,"staged":["m"],` +
		`"models":[{"name":"m"}],"group":{"name":"r1","epoch":%d,"rank":%d,"state":"%s"}}`
)

// recordingOrderSender records the orders, which are all accepted.
type recordingOrderSender struct {
	mu     sync.Mutex
	orders []greengageroute.TargetOrder
}

func (sender *recordingOrderSender) Send(_ context.Context, order greengageroute.TargetOrder, _ time.Duration) error {
	sender.mu.Lock()
	defer sender.mu.Unlock()
	sender.orders = append(sender.orders, order)
	return nil
}

func (sender *recordingOrderSender) sent() []greengageroute.TargetOrder {
	sender.mu.Lock()
	defer sender.mu.Unlock()
	return slices.Clone(sender.orders)
}

// TestPlannerBeginsWithAListReadUnderItsLease guards against a replica that a planner repairs once
// more, under its requests, since its list is older than its lease and shows the replica as it was
// before the last orders of the planner before (calm soak, seed 5).
func TestPlannerBeginsWithAListReadUnderItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		member := func(number, epoch, rank int, state string) {
			store.put("servers", fmt.Sprint("i-", number), fmt.Sprintf(testMember, number, epoch, epoch, rank, state))
		}
		store.put("op", "config", testEngineConfig)
		member(1, 7, 0, "broken")
		member(2, 7, 1, "ready")
		member(3, 5, 1, "ready")
		clock, counters := greengageroute.RuntimeClock{}, new(expvar.Map).Init()
		// The entry reads the list over a connection of its own, which fails for a while.
		listConn := &fakeConn{fakeStore: store}
		directory := NewDirectory(clock)
		follower := NewFollower(listConn, directory, func() bool { return true }, func() (uint64, bool) { return 0, true }, clock, counters, logr.Discard())
		sender := &recordingOrderSender{}
		planner := NewPlanner(PlannerOptions{
			Lease: NewLease(&fakeConn{fakeStore: store}, "entry", true, clock, logr.Discard()), OrderSender: sender, Activity: fakeActivity{}, Directory: directory,
			ListRevision: follower.ListRevision, Routes: follower.Routes, HasTraffic: func() bool { return true }, Confirm: func([]mesh.TargetInstance) {},
			Isolated: func() bool { return false }, Eligible: func() bool { return true }, StallTimeout: modelStall, Clock: clock, Counters: counters, Log: logr.Discard(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		go follower.RunConfig(ctx)
		go follower.RunList(ctx)
		time.Sleep(time.Second)
		listConn.set(func(conn *fakeConn) { conn.down = true })
		time.Sleep(time.Second)
		// The planner before has repaired the replica, with the third member instead of the second.
		member(1, 8, 0, "open")
		member(2, 7, 1, "ready")
		member(3, 8, 1, "ready")
		var planning sync.WaitGroup
		planning.Go(func() { planner.Run(ctx) })
		time.Sleep(time.Second)
		if orders := sender.sent(); len(orders) > 0 {
			t.Errorf("with a list older than the lease the orders are %v, want none", orders)
		}
		listConn.set(func(conn *fakeConn) { conn.down = false })
		time.Sleep(2 * time.Second)
		for _, order := range sender.sent() {
			if order.Target.ID != "i-2" {
				t.Errorf("the order %v goes to a member of the replica that serves, want none", order)
			}
		}
		cancel()
		planning.Wait()
		time.Sleep(5 * time.Second) // until the other loops have ended
		if len(planner.formations) == 0 {
			t.Error("the planner hasn't begun")
		}
	})
}
