package edge

import (
	"expvar"
	"fmt"
	"net/http"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

// TestLongHeadersThatDontFitAreRefused guards against headers of many short fields that use up the
// memory, since only bodies and answers are charged to the budget.
func TestLongHeadersThatDontFitAreRefused(t *testing.T) {
	for _, test := range []struct {
		name     string
		fields   int
		total    int64
		status   int
		attempts int
	}{
		{"few fields and no room", 20, 40 << 10, http.StatusOK, 1},
		{"many fields and no room", 1800, 400 << 10, http.StatusServiceUnavailable, 0},
		{"many fields and room", 1800, 4 << 20, http.StatusOK, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(script{answers(200, "done")})
			fixture.service.Budget = intake.NewBudget(greengageroute.BodyBudget{Total: test.total}, new(expvar.Map).Init())
			request := newRequest("POST", "/post/x")
			for i := range test.fields {
				request.Header.Set(fmt.Sprint("X-", i), "x")
			}
			recorder, _ := fixture.serve(request)
			if recorder.Code != test.status || len(fixture.attempts) != test.attempts {
				t.Errorf("got %d after %d attempts, want %d after %d", recorder.Code, len(fixture.attempts), test.status, test.attempts)
			}
			if refused := test.status == http.StatusServiceUnavailable; refused && recorder.Header().Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After header")
			}
			if held := fixture.service.Budget.Used(); held != 0 {
				t.Errorf("%d bytes are held after the request", held)
			}
			time.Sleep(10 * time.Millisecond) // lets checks of ends finish
		})
	}
}
