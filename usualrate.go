package greengageroute

import (
	"math"
	"time"
)

const (
	// usualWindow is the time constant of the usual rate.
	usualWindow = time.Minute
	// usualLearning is the time in which a new workspace has no usual rate yet.
	usualLearning = 10 * time.Second
	// usualFactor is the multiple of the usual rate up to which requests count as usual,
	// usualBurst the time of it that may come at once, and minUsualBurst the same as a
	// number of requests: an entry of a large fleet sees few of each workspace.
	usualFactor   = 1.5
	usualBurst    = 2 * time.Second
	minUsualBurst = 3
	// overUsualWeight is how much a request over the usual rate counts for it: a workspace
	// that grows for good is usual again after minutes, not within a burst.
	overUsualWeight = 0.25
)

// UsualRate is the rate of a workspace's requests over about a minute, and how many of the
// latest requests are within it. The zero value is one without requests.
type UsualRate struct {
	began, at time.Time
	count     float64 // decays with usualWindow
	allowance float64 // requests that may come now and count as usual
}

// PerSecond returns the usual rate.
func (rate UsualRate) PerSecond(now time.Time) float64 {
	window := usualWindow.Seconds() * (1 - math.Exp(-now.Sub(rate.began).Seconds()/usualWindow.Seconds()))
	return rate.countAt(now) / max(window, time.Second.Seconds())
}

func (rate UsualRate) countAt(now time.Time) float64 {
	return rate.count * math.Exp(-max(now.Sub(rate.at), 0).Seconds()/usualWindow.Seconds())
}

// WithRequest returns the rate after a request, and whether the request is within it.
func (rate UsualRate) WithRequest(now time.Time) (next UsualRate, isUsual bool) {
	if rate.began.IsZero() {
		return UsualRate{began: now, at: now, count: 1, allowance: minUsualBurst}, true
	}
	perSecond := rate.PerSecond(now)
	burst := max(usualBurst.Seconds()*perSecond, minUsualBurst)
	allowance := min(rate.allowance+usualFactor*perSecond*now.Sub(rate.at).Seconds(), burst)
	isUsual = allowance >= 1 || now.Sub(rate.began) < usualLearning
	weight := overUsualWeight
	if isUsual {
		allowance, weight = max(allowance-1, 0), 1
	}
	return UsualRate{began: rate.began, at: now, count: rate.countAt(now) + weight, allowance: allowance}, isUsual
}

// IsIdle reports whether there was no request for so long that the rate is not needed.
func (rate UsualRate) IsIdle(now time.Time) bool { return now.Sub(rate.at) > 2*usualWindow }
