package greengageroute

import (
	"testing"
	"time"
)

// TestFirstTokenOffset guards against an offset that is learned slowly, or follows replicas that
// stall.
func TestFirstTokenOffset(t *testing.T) {
	offset := FirstTokenOffset{}
	for range 8 {
		offset = offset.WithSample(210*time.Millisecond, 100*time.Millisecond)
	}
	if offset.Mean() != 110*time.Millisecond {
		t.Errorf("%s after 8 samples, want 110ms", offset.Mean())
	}
	for i := range 100 {
		measured := 210 * time.Millisecond
		if i%10 == 0 {
			measured = 5 * time.Second
		}
		offset = offset.WithSample(measured, 100*time.Millisecond)
	}
	if offset.Mean() > 125*time.Millisecond {
		t.Errorf("%s with a stall among ten samples, want about 110ms", offset.Mean())
	}
	for range 1000 {
		offset = offset.WithSample(0, time.Hour)
	}
	if offset.Mean() < minFirstTokenOffset {
		t.Errorf("%s, want at least %s", offset.Mean(), minFirstTokenOffset)
	}
}

// TestSeenRanks guards against ranks that hold back others long after they were seen.
func TestSeenRanks(t *testing.T) {
	now := time.Unix(100, 0)
	seen := SeenRanks{}.WithRequest(0, 300*time.Millisecond, now).WithRequest(1, 200*time.Millisecond, now).WithRequest(2, 800*time.Millisecond, now.Add(3*time.Second))
	tests := []struct {
		rank       int
		after      time.Duration
		objective  time.Duration
		moreUrgent int
	}{
		{0, time.Second, 300 * time.Millisecond, 0},
		{1, time.Second, 200 * time.Millisecond, 1},
		{2, time.Second, 200 * time.Millisecond, 2},
		{2, seenRankTTL, 800 * time.Millisecond, 0},
		{1, seenRankTTL, 0, 0},
	}
	for _, test := range tests {
		if objective, moreUrgent := seen.AtLeastAsUrgent(test.rank, now.Add(test.after)); objective != test.objective || moreUrgent != test.moreUrgent {
			t.Errorf("rank %d after %s: %s and %d, want %s and %d", test.rank, test.after, objective, moreUrgent, test.objective, test.moreUrgent)
		}
	}
}

// TestUsualRate guards against a workspace whose usual rate is refused, and one that sends many
// times that and counts as usual.
func TestUsualRate(t *testing.T) {
	tests := []struct {
		name     string
		factor   float64
		growth   float64
		min, max float64 // share within the usual rate
	}{
		{"the usual rate", 1, 1, 0.95, 1},
		{"8 times the usual rate", 8, 1, 0.125, 0.4},
		{"8 times, as all others", 8, 8, 0.95, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now, rate, within := time.Unix(100, 0), UsualRate{}, 0
			for range 120 {
				now = now.Add(500 * time.Millisecond)
				rate, _ = rate.WithRequest(now, 1)
			}
			requests := int(test.factor * 20)
			for range requests {
				isUsual := false
				now = now.Add(time.Duration(float64(500*time.Millisecond) / test.factor))
				if rate, isUsual = rate.WithRequest(now, test.growth); isUsual {
					within++
				}
			}
			if share := float64(within) / float64(requests); share < test.min || share > test.max {
				t.Errorf("%.3f of the requests are within the usual rate, want %.3f to %.3f", share, test.min, test.max)
			}
		})
	}
}

// TestUrgency guards against urgencies on pools whose streams all have one rank, and resumed
// streams that wait behind new ones.
func TestUrgency(t *testing.T) {
	toPool := func(pool string) []PoolShare { return []PoolShare{{Pool: pool, Weight: 1}} }
	routes := []Route{
		{Name: "a", Host: "h", Prefix: "/a", Kind: Streaming, Pools: toPool("ranked")},
		{Name: "b", Host: "h", Prefix: "/b", Kind: Streaming, Priority: 7, Pools: toPool("ranked")},
		{Name: "c", Host: "h", Prefix: "/c", Kind: Streaming, Priority: 1, Pools: toPool("equal")},
		{Name: "d", Host: "h", Prefix: "/d", Kind: Idempotent, Priority: 2, Pools: toPool("equal")},
	}
	table := NewRouteTable(1, routes, nil, nil, CallerLimits{}, false)
	ofWorkspaces := NewRouteTable(1, routes, nil, map[string]KeyOwner{"key": {Name: "w", Priority: 0, HasPriority: true}}, CallerLimits{}, true)
	ofWorkspacesBetween := NewRouteTable(1, routes, nil, map[string]KeyOwner{"key": {Name: "w", Priority: 3, HasPriority: true}}, CallerLimits{}, true)
	tests := []struct {
		name    string
		table   *RouteTable
		pool    string
		rank    int
		resumed bool
		urgency int
	}{
		{"most urgent", table, "ranked", 0, false, 2},
		{"less urgent", table, "ranked", 7, false, 4},
		{"less urgent, resumed", table, "ranked", 7, true, 3},
		{"most urgent, resumed", table, "ranked", 0, true, 1},
		{"one rank", table, "equal", 1, false, 0},
		{"one rank, resumed", table, "equal", 1, true, 0},
		{"a workspace has another rank, the routes don't", ofWorkspaces, "equal", 0, false, 0},
		{"a workspace of a rank between", ofWorkspacesBetween, "ranked", 3, false, 4},
		{"beside such a workspace", ofWorkspacesBetween, "ranked", 7, false, 6},
	}
	for _, test := range tests {
		if urgency := test.table.Urgency(test.pool, test.rank, test.resumed); urgency != test.urgency {
			t.Errorf("%s: %d, want %d", test.name, urgency, test.urgency)
		}
	}
}
