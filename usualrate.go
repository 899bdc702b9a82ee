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
	// recentWindow is the time constant of the recent rate, and the time for which a
	// workspace's usual rate may come at once.
	recentWindow = 2 * time.Second
	// usualFactor is the multiple of the usual rate up to which requests count as usual,
	// and minUsualBurst the number that may come at once at any rate: an entry of a large
	// fleet sees few of each workspace.
	usualFactor   = 1.5
	minUsualBurst = 3
	// overUsualWeight is how much a request over the usual rate counts for it: a workspace
	// that grows for good is usual again after minutes, not within a burst.
	overUsualWeight = 0.25
)

// UsualRate is the rate of a workspace's requests over about a minute and over the last
// seconds, and how many of the latest are within the usual rate. The zero value is one without
// requests.
type UsualRate struct {
	began, at     time.Time
	usual, recent float64 // counts, which decay with usualWindow and recentWindow
	allowance     float64 // requests that may come now and count as usual
}

// usualPerSecond returns the usual rate.
func (rate UsualRate) usualPerSecond(now time.Time) float64 {
	window := usualWindow.Seconds() * (1 - math.Exp(-now.Sub(rate.began).Seconds()/usualWindow.Seconds()))
	return decayed(rate.usual, now.Sub(rate.at), usualWindow) / max(window, time.Second.Seconds())
}

func (rate UsualRate) recentPerSecond(now time.Time) float64 {
	return decayed(rate.recent, now.Sub(rate.at), recentWindow) / recentWindow.Seconds()
}

func decayed(count float64, elapsed, window time.Duration) float64 {
	return count * math.Exp(-max(elapsed, 0).Seconds()/window.Seconds())
}

// GrowthOfOthers returns the recent rate of all workspaces but one as a multiple of their usual
// one, at least 1. In a burst of all of them, none sends more than the others.
func (rate UsualRate) GrowthOfOthers(one UsualRate, now time.Time) float64 {
	usual := rate.usualPerSecond(now) - one.usualPerSecond(now)
	recent := rate.recentPerSecond(now) - one.recentPerSecond(now)
	if usual*recentWindow.Seconds() < 1 {
		return 1
	}
	return max(recent/usual, 1)
}

// WithRequest returns the rate after a request, and whether the request is within it, given the
// growth of the other workspaces' rates.
func (rate UsualRate) WithRequest(now time.Time, growthOfOthers float64) (next UsualRate, isUsual bool) {
	if rate.began.IsZero() || rate.IsIdle(now) {
		return UsualRate{began: now, at: now, usual: 1, recent: 1, allowance: minUsualBurst}, true
	}
	elapsed, perSecond := now.Sub(rate.at), usualFactor*growthOfOthers*rate.usualPerSecond(now)
	burst := max(recentWindow.Seconds()*perSecond, minUsualBurst)
	allowance := min(rate.allowance+perSecond*elapsed.Seconds(), burst)
	isUsual = allowance >= 1 || now.Sub(rate.began) < usualLearning
	weight := overUsualWeight
	if isUsual {
		allowance, weight = max(allowance-1, 0), 1
	}
	return UsualRate{
		began: rate.began, at: now, usual: decayed(rate.usual, elapsed, usualWindow) + weight,
		recent: decayed(rate.recent, elapsed, recentWindow) + 1, allowance: allowance,
	}, isUsual
}

// IsIdle reports whether there was no request for so long that the rate is not needed.
func (rate UsualRate) IsIdle(now time.Time) bool { return now.Sub(rate.at) > 2*usualWindow }
