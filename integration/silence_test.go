package integration

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// silentTargets chooses the targets of a deployment that fall silent.
type silentTargets struct {
	name   string
	choose func(deployment *deployment) []*standin.Target
}

// heads returns the heads of open groups, the busiest first.
func (deployment *deployment) heads() (heads []*standin.Target) {
	for _, target := range deployment.modelTargets {
		if target.IsOpenHead() {
			heads = append(heads, target)
		}
	}
	slices.SortStableFunc(heads, func(a, b *standin.Target) int { return b.ActiveStreams() - a.ActiveStreams() })
	return heads
}

// followers returns the other members of a head's group.
func (deployment *deployment) followers(head *standin.Target) (members []*standin.Target) {
	for _, target := range deployment.modelTargets {
		if target.Follows(head) {
			members = append(members, target)
		}
	}
	return members
}

// TestUsersPlatformTargetsFallSilent guards against callers' streams that are broken off, or
// miss or repeat events, because sound targets are silent for a while, also beside a config
// that revokes a key.
func TestUsersPlatformTargetsFallSilent(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := []silentTargets{
		{"one head", func(deployment *deployment) []*standin.Target { return deployment.heads()[:1] }},
		{"all heads", (*deployment).heads},
		{"another member", func(deployment *deployment) []*standin.Target { return deployment.followers(deployment.heads()[0])[:1] }},
		{"plain targets", func(deployment *deployment) []*standin.Target { return deployment.plainTargets }},
		{"all targets", func(deployment *deployment) []*standin.Target {
			return slices.Concat(deployment.modelTargets, deployment.plainTargets)
		}},
	}
	silences := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, time.Second, 1300 * time.Millisecond, 2 * time.Second}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment := newDeployment(t, 10, 2)
			version := 10
			for _, silence := range silences {
				deployment.requireStream(deployment.entries[0])
				deployment.requireStream(deployment.entries[1])
				deployment.store.Put("op", "config", platformConfig(version, "key-1", "key-2"))
				var results []callerResult
				var callers sync.WaitGroup
				callers.Go(func() { results = deployment.sendMany(silence + 700*time.Millisecond) })
				time.Sleep(300 * time.Millisecond)
				deployment.store.Put("op", "config", platformConfig(version+1, "key-1"))
				version += 2
				time.Sleep(100 * time.Millisecond)
				for _, target := range test.choose(deployment) {
					target.FallSilent(silence)
				}
				callers.Wait()
				statuses := map[int]int{}
				for _, result := range results {
					statuses[result.status]++
					whole := result.status == http.StatusOK && !result.isCut()
					if !whole && result.status != http.StatusServiceUnavailable {
						t.Errorf("silence of %s: %s %s got status %d with body %q", silence, result.path, result.id, result.status, result.body)
					}
					if runs := deployment.runsOf(result.id); result.path == "/post/x" && runs > 1 {
						t.Errorf("silence of %s: %s ran %d times", silence, result.id, runs)
					}
				}
				t.Logf("silence of %s: statuses %v", silence, statuses)
			}
			if violations := deployment.peers.Violations(); len(violations) > 0 {
				t.Error(violations)
			}
		})
	}
}
