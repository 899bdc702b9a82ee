package edge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the histogram's buckets in milliseconds.
// They include the users' latency objectives.
var latencyBounds = [...]int64{10, 25, 50, 100, 250, 400, 1000, 2500, 8000}

type (
	// LatencyHistograms holds a histogram per route of the time to the complete
	// answer.
	LatencyHistograms struct {
		mu     sync.Mutex
		routes map[string]*histogram
	}

	histogram struct {
		counts [len(latencyBounds) + 1]int64
		total  time.Duration
	}
)

// NewLatencyHistograms returns an empty set of histograms.
func NewLatencyHistograms() *LatencyHistograms {
	return &LatencyHistograms{routes: map[string]*histogram{}}
}

// Observe adds one answer's duration to the histogram of its route.
func (histograms *LatencyHistograms) Observe(route string, duration time.Duration) {
	histograms.mu.Lock()
	defer histograms.mu.Unlock()
	routeHistogram := histograms.routes[route]
	if routeHistogram == nil {
		routeHistogram = &histogram{}
		histograms.routes[route] = routeHistogram
	}
	index := 0
	for index < len(latencyBounds) && duration.Milliseconds() > latencyBounds[index] {
		index++
	}
	routeHistogram.counts[index]++
	routeHistogram.total += duration
}

// Write prints the histograms as text, one bucket a line.
func (histograms *LatencyHistograms) Write(writer io.Writer) {
	histograms.mu.Lock()
	defer histograms.mu.Unlock()
	for _, route := range slices.Sorted(maps.Keys(histograms.routes)) {
		routeHistogram := histograms.routes[route]
		for index, count := range routeHistogram.counts {
			bound := "+Inf"
			if index < len(latencyBounds) {
				bound = fmt.Sprint(latencyBounds[index])
			}
			fmt.Fprintf(writer, "answer_ms_bucket{route=%q,le=%q} %d\n", route, bound, count)
		}
		fmt.Fprintf(writer, "answer_ms_sum{route=%q} %d\n", route, routeHistogram.total.Milliseconds())
	}
}
