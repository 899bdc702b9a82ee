package caller

import (
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

// TestLongHeadersThatDontFitAreRefused guards against headers of many short fields that use up the
// memory, since only bodies and answers are charged to the budget.
func TestLongHeadersThatDontFitAreRefused(t *testing.T) {
	for _, test := range []struct {
		fields, status int
	}{{20, http.StatusOK}, {1800, http.StatusServiceUnavailable}} {
		budget := intake.NewBudget(greengageroute.BodyBudget{Total: 400 << 10}, new(expvar.Map).Init())
		handler := WithExchange(budget, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }))
		request, recorder := httptest.NewRequest("GET", "/", nil), httptest.NewRecorder()
		for i := range test.fields {
			request.Header.Set(fmt.Sprint("X-", i), "x")
		}
		handler.ServeHTTP(recorder, request)
		if recorder.Code != test.status || budget.Used() != 0 {
			t.Errorf("%d fields: got %d and %d bytes held afterwards, want %d and none", test.fields, recorder.Code, budget.Used(), test.status)
		}
	}
}
