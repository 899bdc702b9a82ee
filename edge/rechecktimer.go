package edge

import (
	"sync"
	"time"
)

// recheckTimer calls a function that may reset the timer itself. Once it is stopped, no
// call in progress starts it again.
type recheckTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (timer *recheckTimer) start(delay time.Duration, check func()) {
	timer.mu.Lock()
	defer timer.mu.Unlock()
	timer.timer = time.AfterFunc(delay, check)
}

func (timer *recheckTimer) reset(delay time.Duration) {
	timer.mu.Lock()
	defer timer.mu.Unlock()
	if !timer.stopped {
		timer.timer.Reset(delay)
	}
}

func (timer *recheckTimer) stop() {
	timer.mu.Lock()
	defer timer.mu.Unlock()
	timer.stopped = true
	timer.timer.Stop()
}
