package edge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the histogram's buckets, in
// milliseconds: they include the objectives of the users' sheets.
var latencyBounds = [...]int64{10, 25, 50, 100, 250, 400, 1000, 2500, 8000}

type (
	// Latencies are histograms of the time to the whole answer, by route.
	Latencies struct {
		mu     sync.Mutex
		routes map[string]*histogram
	}

	histogram struct {
		counts [len(latencyBounds) + 1]int64
		total  time.Duration
	}
)

// NewLatencies returns empty histograms.
func NewLatencies() *Latencies { return &Latencies{routes: map[string]*histogram{}} }

// Observe adds one answer.
func (latencies *Latencies) Observe(route string, took time.Duration) {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	known := latencies.routes[route]
	if known == nil {
		known = &histogram{}
		latencies.routes[route] = known
	}
	place := 0
	for place < len(latencyBounds) && took.Milliseconds() > latencyBounds[place] {
		place++
	}
	known.counts[place]++
	known.total += took
}

// Write prints the histograms as text, one bucket a line.
func (latencies *Latencies) Write(writer io.Writer) {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	for _, route := range slices.Sorted(maps.Keys(latencies.routes)) {
		known := latencies.routes[route]
		for place, count := range known.counts {
			bound := "+Inf"
			if place < len(latencyBounds) {
				bound = fmt.Sprint(latencyBounds[place])
			}
			fmt.Fprintf(writer, "answer_ms_bucket{route=%q,le=%q} %d\n", route, bound, count)
		}
		fmt.Fprintf(writer, "answer_ms_sum{route=%q} %d\n", route, known.total.Milliseconds())
	}
}
