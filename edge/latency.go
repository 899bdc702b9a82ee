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

// Quantile returns the time within which the given share of a route's answers came, rounded
// up to the bound of a bucket. It isn't known without answers, or beyond the last bound.
func (histograms *LatencyHistograms) Quantile(route string, share float64) (within time.Duration, known bool) {
	histograms.mu.Lock()
	defer histograms.mu.Unlock()
	routeHistogram := histograms.routes[route]
	if routeHistogram == nil {
		return 0, false
	}
	total, sum := int64(0), int64(0)
	for _, count := range routeHistogram.counts {
		total += count
	}
	for index, bound := range latencyBounds {
		sum += routeHistogram.counts[index]
		if float64(sum) >= share*float64(total) {
			return time.Duration(bound) * time.Millisecond, true
		}
	}
	return 0, false
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
