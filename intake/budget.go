// Package intake takes in what callers send: it bounds their connections, the bytes that are
// held for them and the time that they may take. Both interfaces for callers use it.
package intake

import (
	"expvar"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// Counters; docs/OPERATIONS.md lists them.
const (
	// CountOverBudget counts requests that found no room in the budget, CountEvicted those
	// that were ended in favour of others.
	CountOverBudget = "requests-over-budget"
	CountEvicted    = "requests-evicted"
	// CountBodiesStalled counts bodies that stopped arriving, CountBodiesSlow those that
	// arrived too slowly.
	CountBodiesStalled = "bodies-stalled"
	CountBodiesSlow    = "bodies-too-slow"
	// CountEventsStalled counts long events of targets that stopped arriving, or arrived too
	// slowly.
	CountEventsStalled = "events-stalled"
	// GaugeHeld is how many bytes are held for callers.
	GaugeHeld = "budget-bytes-held"
)

type (
	// Budget is the account of the bytes that a process holds for its callers. It is safe
	// for use by several goroutines.
	Budget struct {
		counters *expvar.Map
		held     expvar.Int

		mu     sync.Mutex
		limits greengageroute.BodyBudget
		used   int64
		first  *Holding // list of the holdings that hold bytes or read a body
	}
)

var (
	// longAgo is a deadline in the past.
	longAgo = time.Unix(1, 0)
	// endedCounters count requests and connections that were ended or refused by a bound.
	endedCounters = []string{CountOverBudget, CountEvicted, CountBodiesStalled, CountBodiesSlow, CountConnectionsClosed, CountConnectionsRefused, CountWritesStalled}
)

// NewBudget returns an account without holdings.
func NewBudget(limits greengageroute.BodyBudget, counters *expvar.Map) *Budget {
	budget := &Budget{limits: limits, counters: counters}
	counters.Set(GaugeHeld, &budget.held)
	return budget
}

// SetLimits replaces the limits. What is held stays.
func (budget *Budget) SetLimits(limits greengageroute.BodyBudget) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.limits = limits
}

// Used returns how many bytes are held.
func (budget *Budget) Used() int64 {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.used
}

// endedCallers returns how many requests and connections were ended or refused so far.
func (budget *Budget) endedCallers() (ended int64) {
	for _, name := range endedCounters {
		if count, counted := budget.counters.Get(name).(*expvar.Int); counted {
			ended += count.Value()
		}
	}
	return ended
}

// add changes how many bytes a holding has. The caller holds mu.
func (budget *Budget) add(holding *Holding, bytes int64) {
	holding.held += bytes
	budget.used += bytes
	budget.held.Set(budget.used)
}

// link adds a holding to the list. The caller holds mu.
func (budget *Budget) link(holding *Holding) {
	if holding.linked {
		return
	}
	holding.linked, holding.next = true, budget.first
	if budget.first != nil {
		budget.first.previous = holding
	}
	budget.first = holding
}

// unlink removes a holding from the list and returns its bytes. The caller holds mu.
func (budget *Budget) unlink(holding *Holding) {
	if !holding.linked {
		return
	}
	budget.add(holding, -holding.held)
	if holding.previous == nil {
		budget.first = holding.next
	} else {
		holding.previous.next = holding.next
	}
	if holding.next != nil {
		holding.next.previous = holding.previous
	}
	holding.linked, holding.next, holding.previous = false, nil, nil
}

// makeRoom ends requests until another one fits that holds some bytes and takes more. It
// reports whether it fits. The caller holds mu.
func (budget *Budget) makeRoom(held, more int64) bool {
	var holdings []*Holding
	var requests []greengageroute.HeldBytes
	for !budget.limits.Fits(budget.used, held, more) {
		holdings, requests = holdings[:0], requests[:0]
		for holding := budget.first; holding != nil; holding = holding.next {
			holdings = append(holdings, holding)
			requests = append(requests, holding.heldBytes())
		}
		index := budget.limits.ChooseEvicted(requests)
		if index < 0 {
			return false
		}
		budget.counters.Add(CountEvicted, 1)
		budget.end(holdings[index], errOverBudget)
	}
	return true
}

// end ends a request and returns its bytes at once: its goroutine releases them within
// moments. The caller holds mu.
func (budget *Budget) end(holding *Holding, cause error) {
	holding.ended = cause
	budget.unlink(holding)
	holding.interrupt()
}

// Check ends bodies and events that stall or arrive too slowly. It is to be called once a second.
func (budget *Budget) Check() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	var next *Holding
	for holding := budget.first; holding != nil; holding = next {
		next = holding.next
		holding.pace = holding.pace.WithCheck(holding.transferred())
		if holding.conn != nil && !holding.isOfEvents() {
			holding.conn.bodyStalled.Store(holding.reading && holding.pace.Pausing())
		}
		switch {
		case !holding.reading:
		case holding.isOfEvents() && (holding.pace.Stalled() || holding.pace.TooSlow()):
			budget.counters.Add(CountEventsStalled, 1)
			budget.end(holding, errEventStalled)
		case holding.pace.Stalled():
			budget.counters.Add(CountBodiesStalled, 1)
			budget.end(holding, errStalled)
		case holding.pace.TooSlow():
			budget.counters.Add(CountBodiesSlow, 1)
			budget.end(holding, errTooSlow)
		}
	}
}
