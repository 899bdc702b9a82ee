package edge

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// adaptationTime is the time that the fleet has to adapt to a cut: the platform's
	// stable_window_ms.
	adaptationTime = 4 * time.Second
	cutTime        = 9 * time.Second
	// maxRaceEntries is the size of the fleets that are played under the race detector: with
	// relays, but small.
	maxRaceEntries = 28
	// cutOffMargin is how much less often first tries may be served at entries that reach no
	// target than at the others.
	cutOffMargin = 0.02
)

// cutOff is a pattern of entries that lose their links to the targets.
type cutOff struct {
	name        string
	entries     int
	dataCentres int
	share       float64 // of the entries; those with the highest index
	zone        string  // a data centre whose entries are cut off instead
	relays      bool    // the entries with the lowest index are cut off
	state       linkState
	pools       []string
	// disturb is called as the cut begins, and disturbs the given entries besides.
	disturb func(fleet *fleet, cut, others []*fleetEntry)
	// intervals are the lengths of the cuts and pauses before the last cut, which is long.
	intervals []time.Duration
}

var bothPools = []string{"llm", "ledger"}

// cut returns the entries that lose their links, and the others.
func (pattern cutOff) cut(fleet *fleet) (cut, others []*fleetEntry) {
	all := fleet.all()
	count := int(pattern.share*float64(len(all)) + 0.5)
	for index, entry := range all {
		selected := index >= len(all)-count
		switch {
		case pattern.zone != "":
			selected = entry.dataCentre == pattern.zone
		case pattern.relays:
			selected = index < count
		}
		if selected {
			cut = append(cut, entry)
		} else {
			others = append(others, entry)
		}
	}
	return cut, others
}

// split returns the running entries that have lost links, and those that never did.
func (fleet *fleet) split() (cut, others []*fleetEntry) {
	for _, entry := range fleet.all() {
		process, _ := entry.running()
		switch {
		case process == nil:
		case entry.lostLinks():
			cut = append(cut, entry)
		default:
			others = append(others, entry)
		}
	}
	return cut, others
}

func names(entries []*fleetEntry) greengageroute.Set[string] {
	set := greengageroute.Set[string]{}
	for _, entry := range entries {
		set.Add(entry.name)
	}
	return set
}

// play has the entries lose their links, and compares the shares of first tries that are served
// at them and at the others, from the adaptation time on.
func (pattern cutOff) play(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet := newFleet(ctx, pattern.entries, pattern.dataCentres)
	time.Sleep(3 * time.Second) // the entries hear from each other
	calling, stopCalling := context.WithCancel(ctx)
	callers := fleet.startCallers(calling, 3.2)
	time.Sleep(2 * time.Second)
	cut, others := pattern.cut(fleet)
	setLinks := func(state linkState) {
		for _, entry := range cut {
			entry.setLinks(state, pattern.pools...)
		}
	}
	began := time.Now()
	setLinks(pattern.state)
	if pattern.disturb != nil {
		pattern.disturb(fleet, cut, others)
	}
	state := pattern.state
	for _, interval := range pattern.intervals {
		time.Sleep(interval)
		if state == linkWorks {
			state, began = pattern.state, time.Now()
		} else {
			state = linkWorks
		}
		setLinks(state)
	}
	time.Sleep(time.Until(began.Add(cutTime)))
	ended := time.Now()
	cut, others = fleet.split()
	for _, entry := range cut {
		entry.setLinks(linkWorks, bothPools...)
	}
	time.Sleep(3 * time.Second)
	recovered := time.Now()
	time.Sleep(2 * time.Second)
	stopCalling()
	callers.Wait()
	count, share, outcomes := fleet.served(names(cut), began.Add(adaptationTime), ended)
	_, otherShare, otherOutcomes := fleet.served(names(others), began.Add(adaptationTime), ended)
	t.Logf("cut off: %.3f of %d served (%s); others %.3f (%s); %s", share, count, outcomes, otherShare, otherOutcomes, fleet.counts())
	if share < otherShare-cutOffMargin {
		t.Errorf("entries that are cut off served %.3f of %d first tries, the others %.3f; %s", share, count, otherShare, outcomes)
	}
	if _, share, outcomes := fleet.served(names(cut), recovered, time.Now()); share < 1-cutOffMargin {
		t.Errorf("3 s after the cut %.3f is served; %s", share, outcomes)
	}
	forwarded := 0
	for _, entry := range cut {
		if process, _ := entry.running(); process != nil && len(process.prober.LostPools()) > 0 {
			forwarded++
		}
	}
	if forwarded > 0 {
		t.Errorf("%d entries still forward requests", forwarded)
	}
	cancel()
	time.Sleep(time.Second) // lets the probes end
}

// TestEntriesWithoutTargetsServe guards against callers who are refused, or wait in vain, at
// entries that have lost their links to the targets, in small and large fleets.
func TestEntriesWithoutTargetsServe(t *testing.T) {
	tests := []cutOff{
		{name: "half of a small fleet", entries: 12, dataCentres: 3, share: 0.5, state: linkHangs, pools: bothPools},
		{name: "a third", entries: 28, dataCentres: 4, share: 0.35, state: linkHangs, pools: bothPools},
		{name: "half", entries: 142, dataCentres: 4, share: 0.5, state: linkHangs, pools: bothPools},
		{name: "half, by resets", entries: 48, dataCentres: 4, share: 0.5, state: linkResets, pools: bothPools},
		{name: "half, connections live on", entries: 48, dataCentres: 4, share: 0.5, state: linkRefuses, pools: bothPools},
		{name: "all but a few small ones", entries: 142, dataCentres: 4, share: 0.95, relays: true, state: linkHangs, pools: bothPools},
		{name: "all but a few large ones", entries: 142, dataCentres: 4, share: 0.95, state: linkHangs, pools: bothPools},
		{name: "all of a data centre", entries: 142, dataCentres: 4, zone: "b", state: linkHangs, pools: bothPools},
		{name: "the relays", entries: 48, dataCentres: 4, share: 0.17, relays: true, state: linkHangs, pools: bothPools},
		{name: "half, from a small pool", entries: 142, dataCentres: 4, share: 0.5, state: linkHangs, pools: []string{"ledger"}},
		{name: "half, from a small pool, by resets", entries: 48, dataCentres: 4, share: 0.5, state: linkResets, pools: []string{"ledger"}},
		{name: "half, from the large pool", entries: 48, dataCentres: 4, share: 0.5, state: linkHangs, pools: []string{"llm"}},
		{name: "half of a small fleet, from a small pool", entries: 12, dataCentres: 3, share: 0.5, state: linkHangs, pools: []string{"ledger"}},
		{
			name: "half from one pool, most others from the other", entries: 48, dataCentres: 4, share: 0.5, state: linkHangs, pools: []string{"llm"},
			disturb: func(_ *fleet, _, others []*fleetEntry) {
				for _, entry := range others[len(others)/5:] {
					entry.setLinks(linkHangs, "ledger")
				}
			},
		},
		{
			name: "others lose power", entries: 48, dataCentres: 4, share: 0.5, state: linkHangs, pools: bothPools,
			disturb: func(_ *fleet, _, others []*fleetEntry) {
				for _, entry := range others[:len(others)/2] {
					entry.kill(true)
				}
			},
		},
		{
			name: "entries restart in the cut", entries: 48, dataCentres: 4, share: 0.6, state: linkHangs, pools: bothPools,
			disturb: func(_ *fleet, cut, others []*fleetEntry) {
				for index, entry := range slices.Concat(cut[:len(cut)/3], others[:len(others)/3]) {
					entry.kill(false)
					time.AfterFunc(time.Second+time.Duration(index%10)*100*time.Millisecond, entry.start)
				}
			},
		},
		{
			name: "entries join in the cut", entries: 48, dataCentres: 4, share: 0.6, state: linkHangs, pools: bothPools,
			disturb: func(fleet *fleet, _, _ []*fleetEntry) {
				for index := range 8 {
					entry := fleet.add(string(rune('a'+index%4)), 0.134)
					entry.setLinks(linkState(index%2), bothPools...)
					entry.start()
				}
			},
		},
		{
			name: "cuts that end and begin again", entries: 48, dataCentres: 4, share: 0.6, state: linkHangs, pools: bothPools,
			intervals: []time.Duration{1500 * time.Millisecond, time.Second, 2 * time.Second, 500 * time.Millisecond},
		},
		{
			name: "data centres that don't hear from each other", entries: 48, dataCentres: 4, share: 0.6, state: linkHangs, pools: bothPools,
			disturb: func(fleet *fleet, _, _ []*fleetEntry) {
				fleet.network.sever(func(from, to netip.AddrPort) bool { return from.Addr().As4()[1] != to.Addr().As4()[1] })
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if raceDetector && test.entries > maxRaceEntries {
				t.Skip("too slow under the race detector; smaller fleets run the same code")
			}
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { test.play(t) })
		})
	}
}
