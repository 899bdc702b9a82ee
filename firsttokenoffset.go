package greengageroute

import "time"

const (
	// minFirstTokenOffset and maxFirstTokenOffset bound the offset. Engines in use take 10
	// to 110 ms more than they publish.
	minFirstTokenOffset = -50 * time.Millisecond
	maxFirstTokenOffset = 300 * time.Millisecond
	// maxOffsetStep bounds how far from the offset a sample counts, so that a replica that
	// stalls says little about its model.
	maxOffsetStep = 60 * time.Millisecond
	// maxOffsetSamples is the number of samples that the mean is over, about.
	maxOffsetSamples = 64
	// firstOffsetSamples is the number of the first samples, which count in full.
	firstOffsetSamples = 8
)

// FirstTokenOffset is the mean by which a model's measured time to first token exceeds the
// predicted one, on replicas with free slots. The zero value is one without samples.
type FirstTokenOffset struct {
	mean    time.Duration
	samples int
}

// Mean returns the offset.
func (offset FirstTokenOffset) Mean() time.Duration { return offset.mean }

// WithSample returns the offset after a further measurement.
func (offset FirstTokenOffset) WithSample(measured, predicted time.Duration) FirstTokenOffset {
	sample := min(max(measured-predicted, minFirstTokenOffset), maxFirstTokenOffset)
	if offset.samples >= firstOffsetSamples {
		sample = min(max(sample, offset.mean-maxOffsetStep), offset.mean+maxOffsetStep)
	}
	samples := min(offset.samples+1, maxOffsetSamples)
	return FirstTokenOffset{mean: offset.mean + (sample-offset.mean)/time.Duration(samples), samples: samples}
}
