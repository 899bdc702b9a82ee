package integration

import (
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// TestUsersPlatformRowsBehindTheirTargets guards against targets that are told to join another group
// while the head of theirs is open: the store shows them free, and the planner has just started.
func TestUsersPlatformRowsBehindTheirTargets(t *testing.T) {
	const behind = 2 * time.Second // how long the store's rows stay behind
	for _, test := range []struct {
		name  string
		start func(deployment *deployment) // before the groups form
		lag   func(deployment *deployment, earlier standin.Copy)
	}{
		{
			"the store comes back from a copy", func(*deployment) {},
			func(deployment *deployment, earlier standin.Copy) {
				deployment.store.Restore(earlier, false)
				time.AfterFunc(behind, func() {
					for _, target := range deployment.modelTargets {
						target.Beat()
					}
				})
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment := newEmptyDeployment(t)
			deployment.startTargetsAndEntries(7, 0)
			test.start(deployment)
			earlier := deployment.store.Copy()
			for _, name := range []string{"entry-0", "entry-1"} {
				deployment.entries = append(deployment.entries, deployment.startEntry(name))
			}
			deployment.waitReady()
			deployment.waitFor("two groups are open", func() bool { return len(deployment.openGroups()) == 2 })
			deployment.requireStream(deployment.entries[0])
			groups := deployment.openGroups()
			for _, entry := range deployment.entries {
				_ = entry.cmd.Process.Signal(syscall.SIGKILL)
				<-entry.exited
			}
			test.lag(deployment, earlier)
			for _, entry := range deployment.entries {
				deployment.startProcess(entry)
			}
			deployment.waitReady()
			time.Sleep(2 * behind)
			for _, entry := range deployment.entries {
				deployment.requireStream(entry)
			}
			t.Logf("open groups before: %v, after: %v", groups, deployment.openGroups())
			if violations := deployment.peers.Violations(); len(violations) > 0 {
				t.Error(violations)
			}
			if moves := deployment.peers.Moves(); len(moves) > 0 {
				t.Errorf("members of groups that serve are moved: %v", moves)
			}
		})
	}
}
