package greengageroute

import (
	"math"
	"time"
)

const (
	// limitWindow is the time constant with which sent requests stop counting against a
	// target's limit: after it, a request counts for about a third.
	limitWindow = time.Second
	// limitTTL is how long a limit holds that the target doesn't name again, or the time
	// of limitTTLRequests at the limit, if that is longer.
	limitTTL         = 10 * time.Second
	limitTTLRequests = 3
	// maxLimitTTL bounds the time for limits near 0.
	maxLimitTTL = time.Minute
	// lowLimitShare is the share of the count at a limit of about one a second or less
	// from which the next request may be sent: a single one would exceed the limit.
	lowLimitShare = 0.125
)

type (
	// TargetLimit is the rate of requests that a target takes from all entries together,
	// as it names it in its answers.
	TargetLimit struct {
		PerSecond float64   // 0: the target has lifted its limit
		NamedAt   time.Time // when its last answer about the limit came
	}

	// PeerLimit is what the other entries know of a target's limit.
	PeerLimit struct {
		PerSecond float64
		Age       time.Duration // since the target's last answer about the limit
		Sent      float64       // requests that they sent lately, as a SendCount
	}

	// SendCount counts the requests sent to a target lately: each counts for less as time
	// passes.
	SendCount struct {
		count float64
		at    time.Time
	}
)

// NewSendCount returns a count as of a time.
func NewSendCount(count float64, at time.Time) SendCount { return SendCount{count, at} }

// At returns the count at a time.
func (sent SendCount) At(now time.Time) float64 {
	return sent.count * math.Exp(-max(now.Sub(sent.at), 0).Seconds()/limitWindow.Seconds())
}

// WithRequest returns the count with a further request.
func (sent SendCount) WithRequest(now time.Time) SendCount { return SendCount{sent.At(now) + 1, now} }

// IsNewerThan reports whether the limit was named later than another.
func (limit TargetLimit) IsNewerThan(other TargetLimit) bool {
	return limit.NamedAt.After(other.NamedAt)
}

// InForce reports whether the limit still holds.
func (limit TargetLimit) InForce(now time.Time) bool {
	return limit.PerSecond > 0 && now.Sub(limit.NamedAt) < limit.ttl()
}

func (limit TargetLimit) ttl() time.Duration {
	requests := time.Duration(limitTTLRequests / limit.PerSecond * float64(time.Second))
	if limit.PerSecond < limitTTLRequests/maxLimitTTL.Seconds() {
		requests = maxLimitTTL
	}
	return max(limitTTL, requests)
}

// maxCount returns up to which count of all entries a further request may be sent. The
// request itself counts too, and others may be on their way.
func (limit TargetLimit) maxCount() float64 {
	steady := limit.PerSecond * limitWindow.Seconds()
	return max(steady-1, steady*lowLimitShare)
}

// RetryAfter returns the time until a further request may be sent, 0 if it may be sent
// now. count is that of all entries.
func (limit TargetLimit) RetryAfter(count float64) time.Duration {
	if count <= limit.maxCount() {
		return 0
	}
	return time.Duration(math.Log(count/limit.maxCount()) * float64(limitWindow))
}
