package edge

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// TestFullTargetsAreNotAskedAtOnce guards against calls that are sent to targets that have just
// rejected one as full, and against a target that isn't asked again when it has free slots.
func TestFullTargetsAreNotAskedAtOnce(t *testing.T) {
	done := answers(http.StatusOK, "done")
	tests := []struct {
		name     string
		script   script
		paths    []string
		pause    time.Duration // between calls
		statuses []int
		attempts int
		distinct int // targets asked
	}{
		{"one is full", script{rejects, done, done, done}, []string{"/get/x", "/get/x", "/get/x"}, 0, []int{200, 200, 200}, 4, 0},
		{"all are full", script{rejects, rejects, rejects, rejects}, []string{"/get/x", "/get/x"}, 0, []int{503, 503}, 3, 3},
		{"all are full, calls that may run once", script{rejects, rejects, rejects}, []string{"/post/x", "/post/x", "/post/x"}, 0, []int{503, 503, 503}, 3, 3},
		{"all were full", script{rejects, rejects, rejects, rejects}, []string{"/get/x", "/get/x"}, 100 * time.Millisecond, []int{503, 503}, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				for i, path := range test.paths {
					if recorder, _ := fixture.serve(newRequest("POST", path)); recorder.Code != test.statuses[i] {
						t.Errorf("call %d: status %d, want %d", i, recorder.Code, test.statuses[i])
					}
					time.Sleep(test.pause)
				}
				if len(fixture.attempts) != test.attempts {
					t.Fatalf("%d attempts, want %d", len(fixture.attempts), test.attempts)
				}
				asked := greengageroute.Set[string]{}
				for _, attempt := range fixture.attempts {
					asked.Add(attempt.Target.ID)
				}
				if test.distinct > 0 && len(asked) != test.distinct {
					t.Errorf("%d targets asked, want %d", len(asked), test.distinct)
				}
				rejected := fixture.attempts[0].Target.ID
				if test.pause == 0 && slices.ContainsFunc(fixture.attempts[1:], func(attempt greengageroute.Attempt) bool { return attempt.Target.ID == rejected }) {
					t.Error("the target that rejected the first call is asked again at once")
				}
			})
		})
	}
}
