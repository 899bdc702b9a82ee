package integration

import (
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// TestUsersPlatformSuspendedHeadsKeepTheirMembers guards against members that join another group
// while the head of theirs is suspended: it is open once it goes on.
func TestUsersPlatformSuspendedHeadsKeepTheirMembers(t *testing.T) {
	const suspension = 16 * time.Second
	suspend := func(head *standin.Target) { head.Suspend(suspension) }
	tests := []struct {
		name          string
		first, second func(head *standin.Target)
	}{
		{"both heads", suspend, suspend},
		{"a head, and another one is killed", suspend, killTarget},
		{"a head, and another one restarts", suspend, (*standin.Target).RestartAtOnce},
		{"none, and both are killed", killTarget, killTarget},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment := newGroups(t, false)
			counts := &streamCounts{}
			stop := deployment.startStreams(counts)
			groups := deployment.openGroups()
			started := time.Now()
			test.first(deployment.modelTarget(groups[0][0]))
			test.second(deployment.modelTarget(groups[1][0]))
			time.Sleep(time.Second)
			deployment.waitFor("a group is open again", func() bool { return len(deployment.openGroups()) > 0 })
			took := time.Since(started)
			time.Sleep(time.Until(started.Add(suspension)))
			deployment.waitFor("a group is open after the suspension", func() bool { return len(deployment.openGroups()) > 0 })
			stop()
			t.Logf("a group is open again after %s; streams: %s", took.Round(10*time.Millisecond), counts)
			if violations := deployment.peers.Violations(); len(violations) > 0 {
				t.Error(violations)
			}
		})
	}
}
