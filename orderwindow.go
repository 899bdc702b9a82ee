package greengageroute

import "time"

const (
	// maxOrderWindow bounds the orders of a planner that are under way at once. At 2 ms of processor
	// time an order, as many are answered within a tenth of their time-out.
	maxOrderWindow = 24
	// minOrderWindow is the number that a planner keeps sending at when all of them end late.
	minOrderWindow = 4
	// repeatedOrderShare is the part of the window that orders sent again may take. Targets that
	// don't respond thus hold up no others.
	repeatedOrderShare = 0.5
	// lateFactor is how many times its timeout a request may take before its sender is late, not
	// the other side silent.
	lateFactor = 1.25
)

// OrderWindow bounds the orders that a planner has under way, by how fast it gets them answered: it
// grows by one order with each answer, and halves with each order that took longer than its
// sender's timers allow for, as the congestion window of TCP does (Jacobson, Congestion Avoidance and
// Control, 1988). Copies are independent of each other.
type OrderWindow struct {
	limit    int
	underWay int
	repeats  int
}

// NewOrderWindow returns a window without orders under way.
func NewOrderWindow() OrderWindow { return OrderWindow{limit: maxOrderWindow} }

// Admits reports whether another order may be sent now. A repeat is one that has been sent before.
func (window OrderWindow) Admits(repeat bool) bool {
	if repeat && float64(window.repeats) >= repeatedOrderShare*float64(window.limit) {
		return false
	}
	return window.underWay < window.limit
}

// WithBegun returns the window with another order under way.
func (window OrderWindow) WithBegun(repeat bool) OrderWindow {
	window.underWay++
	if repeat {
		window.repeats++
	}
	return window
}

// WithEnded returns the window after the end of an order under way. One that was neither answered nor
// late says nothing about the sender.
func (window OrderWindow) WithEnded(repeat, answered, late bool) OrderWindow {
	window.underWay--
	if repeat {
		window.repeats--
	}
	switch {
	case late:
		window.limit = max(window.limit/2, minOrderWindow)
	case answered:
		window.limit = min(window.limit+1, maxOrderWindow)
	}
	return window
}

// Limit returns how many orders may be under way.
func (window OrderWindow) Limit() int { return window.limit }

// TookTooLong reports whether a request that ends by itself at its timeout took so long that its sender
// was late: what it didn't hear by then says nothing about the other side.
func TookTooLong(took, timeout time.Duration) bool {
	return float64(took) > lateFactor*float64(timeout)
}
