package integration

import (
	"net/http"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// maxReturnTime is the longest time from the end of a silence until the replica gets requests
// again: two probes of a suspected target, and the answer of a request.
const maxReturnTime = 1500 * time.Millisecond

// sendDuring sends streams to all entries for some time, and doesn't await their answers.
func (deployment *deployment) sendDuring(span time.Duration) {
	for began := time.Now(); time.Since(began) < span; time.Sleep(50 * time.Millisecond) {
		for _, entry := range deployment.entries {
			id := deployment.nextAttemptID()
			go deployment.send(entry, http.MethodPost, "/chat/x", id, "key-1")
		}
	}
}

// TestUsersPlatformReplicaReturnsAfterSilence guards against a replica that gets no requests
// for seconds after a member of it was silent for one second.
func TestUsersPlatformReplicaReturnsAfterSilence(t *testing.T) {
	for _, test := range []struct {
		name   string
		isHead bool
	}{{"head", true}, {"member", false}} {
		t.Run(test.name, func(t *testing.T) {
			deployment := newDeployment(t, 3, 2)
			deployment.requireStream(deployment.entries[0])
			deployment.requireStream(deployment.entries[1])
			var silent *standin.Target
			for _, target := range deployment.modelTargets {
				if _, _, state := target.Place(); (state == "open") == test.isHead {
					silent = target
				}
			}
			began := time.Now()
			silent.FallSilent(time.Second)
			deployment.sendDuring(time.Second)
			ended := began.Add(time.Second)
			for _, entry := range deployment.entries {
				deployment.waitFor("the replica gets requests again", func() bool {
					status, body := deployment.send(entry, http.MethodPost, "/chat/x", deployment.nextAttemptID(), "key-1")
					return status == http.StatusOK && body == expectedStream()
				})
				took := time.Since(ended)
				t.Logf("%s answered a request %s after the end of the silence", entry.name, took.Round(10*time.Millisecond))
				if took > maxReturnTime {
					t.Errorf("%s answered a request %s after the end of the silence, want at most %s", entry.name, took, maxReturnTime)
				}
			}
		})
	}
}
