package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// callerResult is what a caller got for a request.
type callerResult struct {
	path, id string
	status   int
	body     string
}

// isCut reports whether a success is not the whole answer of a target.
func (result callerResult) isCut() bool {
	switch {
	case result.status != http.StatusOK:
		return false
	case result.path == "/chat/x":
		return result.body != expectedStream()
	default:
		return !slices.Contains([]string{result.path + " by i-plain-0", result.path + " by i-plain-1"}, result.body)
	}
}

// sendMany sends requests of all kinds from several callers for a time.
func (deployment *deployment) sendMany(span time.Duration) (results []callerResult) {
	collected := make(chan []callerResult)
	const callers = 8
	for caller := range callers {
		go func() {
			random, client := rand.New(rand.NewPCG(uint64(caller), 3)), &http.Client{Transport: &http.Transport{}, Timeout: 7 * time.Second}
			defer client.CloseIdleConnections()
			var own []callerResult
			for started, number := time.Now(), 0; time.Since(started) < span; number++ {
				result := callerResult{path: [...]string{"/chat/x", "/post/x", "/get/x"}[random.IntN(3)], id: fmt.Sprintf("t%d-%d-%d", caller, number, started.UnixNano())}
				entry := deployment.entries[random.IntN(len(deployment.entries))]
				result.status, result.body = sendRequest(client, entry, "POST", result.path, result.id, "key-1")
				own = append(own, result)
				time.Sleep(5 * time.Millisecond)
			}
			collected <- own
		}()
	}
	for range callers {
		results = append(results, <-collected...)
	}
	return results
}

func (deployment *deployment) runsOf(id string) (runs int) {
	for _, target := range slices.Concat(deployment.modelTargets, deployment.plainTargets) {
		runs += target.Runs(id)
	}
	return runs
}

// TestUsersPlatformTargetsInTrouble guards against cut answers that look complete, copies of
// refusals that count as answers, and targets that get requests although they asked for a backoff.
func TestUsersPlatformTargetsInTrouble(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := []struct {
		trouble   standin.Trouble
		minServed float64
	}{
		{standin.Trouble{Kind: standin.EndUnframed, Share: 0.5}, 0.8},
		{standin.Trouble{Kind: standin.ResetUnframed, Share: 0.3}, 0.7},
		{standin.Trouble{Kind: standin.RestartUnframed, Share: 0.05}, 0.2},
		{standin.Trouble{Kind: standin.CutHead, Share: 0.3}, 0.7},
		{standin.Trouble{Kind: standin.RepeatRefusal, Share: 0.5}, 0.9},
		{standin.Trouble{Kind: standin.TurnAway, Share: 1, Backoff: 700 * time.Millisecond}, 0.6},
	}
	for _, test := range tests {
		t.Run(test.trouble.Kind.String(), func(t *testing.T) {
			deployment := newDeployment(t, 10, 2)
			deployment.requireStream(deployment.entries[0])
			deployment.requireStream(deployment.entries[1])
			troubled := slices.Concat(deployment.modelTargets, deployment.plainTargets)
			if test.trouble.Kind == standin.TurnAway {
				troubled = slices.Concat(deployment.modelTargets[:5], deployment.plainTargets[:1])
			}
			for _, target := range troubled {
				target.SetTrouble(test.trouble)
			}
			const span = 3 * time.Second
			results := deployment.sendMany(span)
			served := 0
			for _, result := range results {
				runs := deployment.runsOf(result.id)
				switch {
				case result.isCut():
					t.Errorf("%s %s: status 200 with body %q", result.path, result.id, result.body)
				case result.path == "/post/x" && runs > 1:
					t.Errorf("%s ran %d times", result.id, runs)
				case result.path == "/post/x" && runs > 0 && result.status == http.StatusServiceUnavailable:
					t.Errorf("%s ran and was refused as not run", result.id)
				case result.status == http.StatusOK:
					served++
				}
			}
			share := float64(served) / float64(len(results))
			t.Logf("%.2f of %d requests served", share, len(results))
			if share < test.minServed {
				t.Errorf("%.2f of the requests were served, want %.2f", share, test.minServed)
			}
			if test.trouble.Kind == standin.TurnAway {
				backoffs := int(span/test.trouble.Backoff) + 1
				for _, target := range troubled {
					if bound := len(deployment.entries) * backoffs * 3; target.TurnedAway() > bound {
						t.Errorf("%s turned %d requests away, want at most %d", target.ID, target.TurnedAway(), bound)
					}
				}
			}
		})
	}
}

// TestUsersPlatformTargetsSayTheyLeave guards against targets whose leaving only their answers
// tell and that get requests later.
func TestUsersPlatformTargetsSayTheyLeave(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	deployment := newDeployment(t, 10, 2)
	deployment.requireStream(deployment.entries[0])
	leaver := deployment.plainTargets[0]
	leaver.SayLeaving()
	deployment.sendMany(time.Second)
	time.Sleep(drainBound)
	for _, result := range deployment.sendMany(time.Second) {
		if leaver.Runs(result.id) > 0 {
			t.Errorf("%s reached the leaving target", result.id)
		}
		if result.path != "/chat/x" && (result.status != http.StatusOK || !strings.HasSuffix(result.body, "i-plain-1")) {
			t.Errorf("%s %s: status %d with body %q, want the other target's answer", result.path, result.id, result.status, result.body)
		}
	}
}
