package greengageroute

import (
	"context"
	"time"
)

// Sleep waits for a length of time, or until the context ends.
func Sleep(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
