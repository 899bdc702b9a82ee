package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
)

type (
	// noOrders takes orders and leaves them unanswered.
	noOrders struct{}

	// fakeWitness tells whether targets are heard of, and their data centre.
	fakeWitness struct{ signs, cutOff bool }
)

func (noOrders) Give(context.Context, greengageroute.TargetOrder, time.Duration) error {
	return errors.New("no answer")
}

func (witness fakeWitness) Active(string, time.Duration) bool { return witness.signs }

func (witness fakeWitness) Reaches(string) bool { return !witness.cutOff }

func newTestPlanner(witness fakeWitness) (*Planner, *Directory) {
	clock := greengageroute.RuntimeClock{}
	directory := NewDirectory(clock)
	lease := NewLease(&fakeLine{fakeStore: newFakeStore()}, "entry", clock, logr.Discard())
	planner := NewPlanner(PlannerParts{
		Lease: lease, Orderer: noOrders{}, Witness: witness, Directory: directory, Serving: func() bool { return true },
		Clock: clock, Counters: new(expvar.Map).Init(), Log: logr.Discard(),
	})
	return planner, directory
}

func TestAbsentHeadIsSettled(t *testing.T) {
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	closing := greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: head, Immediate: true}
	tests := []struct {
		name    string
		witness fakeWitness
		answers []error
		back    bool // the head is listed again afterwards, and vanishes once more
		settled bool
	}{
		{"it closed", fakeWitness{}, []error{nil}, false, true},
		{"it doesn't serve", fakeWitness{}, []error{&greengageroute.OrderRefusedError{Status: 409}}, false, true},
		{"one order is unanswered", fakeWitness{}, []error{errors.New("silent")}, false, false},
		{"orders are unanswered", fakeWitness{}, []error{errors.New("silent"), errors.New("silent")}, false, true},
		{"orders are unanswered, and an entry hears of it", fakeWitness{signs: true}, []error{errors.New("silent"), errors.New("silent")}, false, false},
		{"its data centre is cut off", fakeWitness{cutOff: true}, []error{errors.New("silent"), errors.New("silent")}, false, false},
		{"it closed, was listed and has opened since", fakeWitness{}, []error{nil}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(test.witness)
			for _, answer := range test.answers {
				planner.settleHead(closing, answer)
			}
			if test.back {
				directory.Replace([]greengageroute.Target{head}, time.Time{})
				planner.poolView("llm", nil, directory.View())
				directory.Replace(nil, time.Time{})
			}
			view := planner.poolView("llm", nil, directory.View())
			if _, settled := view.ClosedAt[head.ID]; settled != test.settled {
				t.Errorf("settled %t, want %t", settled, test.settled)
			}
		})
	}
}

func TestHeadsOnTheirWayToOpen(t *testing.T) {
	key := greengageroute.ReplicaKey{Name: "r1", Epoch: 7}
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Revision: 20}
	head.Membership = greengageroute.Membership{Replica: key.Name, Epoch: key.Epoch, Model: "m", State: greengageroute.MemberReady}
	silent, refused := errors.New("silent"), &greengageroute.OrderRefusedError{Status: 409}
	tests := []struct {
		name     string
		answers  []error // to the order to open, and then to close
		revision uint64  // of the head's row afterwards
		opening  bool
	}{
		{"told a moment ago", nil, 20, true},
		{"it obeyed, and the list is older", []error{nil}, 20, true},
		{"it obeyed, and the list is newer", []error{nil}, 21, false},
		{"without an answer it may open later", []error{silent}, 21, true},
		{"it refused", []error{refused}, 20, false},
		{"it closes, and the list is older", []error{nil, nil}, 20, true},
		{"it closes, and the list is newer", []error{silent, nil}, 21, false},
		{"it doesn't serve", []error{silent, refused}, 20, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeWitness{})
			open := greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: head, Replica: key.Name, Epoch: key.Epoch}
			planner.send(context.Background(), open, greengageroute.PoolView{Engine: &greengageroute.Engine{}})
			for _, answer := range test.answers {
				planner.noteAnswer(open, answer)
			}
			listed := head
			listed.Revision = test.revision
			directory.Replace([]greengageroute.Target{listed}, time.Time{})
			if found := planner.poolView("llm", nil, directory.View()).PendingOpens[head.ID] == key; found != test.opening {
				t.Errorf("on its way to open: %t, want %t", found, test.opening)
			}
		})
	}
}

// Many empty targets are to join at once, as after the loss of whole fabric
// domains: loads start no faster than the weights' store allows.
func TestLoadsKeepToTheStoresRate(t *testing.T) {
	tests := []struct {
		name    string
		serving bool
		staged  []string
		most    int // orders in 5 s
		least   int
	}{
		{"empty targets", true, nil, 5 * 5, 5 * 4},
		{"targets with staged weights", true, []string{"m"}, 60, 60},
		{"before the first request", false, nil, 60, 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner, _ := newTestPlanner(fakeWitness{})
				view := greengageroute.PoolView{HasTraffic: test.serving, Engine: &greengageroute.Engine{
					LoadsPerSecond: 5.5, ConcurrentLoads: 8, Models: []greengageroute.EngineModel{{Name: "m", Size: 6}},
				}}
				for range 50 {
					for i := range 60 {
						target := greengageroute.Target{ID: fmt.Sprint("i-", i), Staged: test.staged}
						if planner.sent[target.ID].text == "" {
							planner.send(context.Background(), greengageroute.TargetOrder{Kind: greengageroute.OrderJoin, Target: target, Model: "m"}, view)
						}
					}
					time.Sleep(planEvery)
				}
				if given := len(planner.sent); given > test.most || given < test.least {
					t.Errorf("%d orders in 5 s, want %d to %d", given, test.least, test.most)
				}
			})
		})
	}
}
