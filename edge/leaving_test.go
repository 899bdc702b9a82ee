package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// leaves is a step of a script: a target answers, and says that it is leaving.
func leaves(head greengageroute.AnswerHead, body io.Reader) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
		head.ID, head.Leaving = "id-1", true
		return &upstream.Answer{AnswerHead: head, Body: body}, nil
	}
}

// TestTargetsThatSayTheyLeaveGetNoMoreRequests guards against a target that leaves, says so in
// its answers alone, and goes on getting requests.
func TestTargetsThatSayTheyLeaveGetNoMoreRequests(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		first  func(context.Context, greengageroute.Attempt) (*upstream.Answer, error)
		leaves bool
	}{
		{"in a stream", "POST", "/chat/x", leaves(greengageroute.AnswerHead{Status: 200}, strings.NewReader(events(1, 2))), true},
		{"in a stream that breaks off", "POST", "/chat/x", leaves(greengageroute.AnswerHead{Status: 200}, failingReader{}), true},
		{"in a refusal of a stream", "POST", "/chat/x", leaves(greengageroute.AnswerHead{Status: 503, NotRun: true}, strings.NewReader("")), true},
		{"in the answer to a call", "POST", "/post/x", leaves(greengageroute.AnswerHead{Status: 200}, strings.NewReader("done")), true},
		{"in an error", "GET", "/get/x", leaves(greengageroute.AnswerHead{Status: 500}, strings.NewReader("failed")), true},
		{"another target has the address", "GET", "/get/x", leaves(greengageroute.AnswerHead{Status: 421, NotRun: true, Instance: "other"}, strings.NewReader("")), false},
		{"the target names itself as another one was expected", "GET", "/get/x", leaves(greengageroute.AnswerHead{Status: 421, NotRun: true}, strings.NewReader("")), false},
		{"not at all", "GET", "/get/x", answers(200, "done"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script := script{test.first}
				for range 20 {
					script = append(script, func(_ context.Context, _ greengageroute.Attempt) (*upstream.Answer, error) {
						return answers(200, events(1, 2))(nil, greengageroute.Attempt{})
					})
				}
				fixture := newFixture(script)
				for range 10 {
					fixture.serve(newRequest(test.method, test.path))
					time.Sleep(time.Second)
				}
				leaver, again := fixture.attempts[0].Target, 0
				for _, attempt := range fixture.attempts[1:] {
					if attempt.Target.ID == leaver.ID {
						again++
					}
				}
				if test.leaves && again > 0 {
					t.Errorf("the target got %d more requests", again)
				}
				if listed, _ := fixture.service.Directory.View().Target(leaver.ID); (listed.State == greengageroute.TargetLeaving) != test.leaves {
					t.Errorf("the target counts as %s", listed.State)
				}
				if reported := len(fixture.reportedLeaving) > 0; reported != test.leaves || reported && fixture.reportedLeaving[0] != leaver.Instance() {
					t.Errorf("reported to the peers: %v", fixture.reportedLeaving)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestLeavingTargetInAHealthCheck guards against a header that is read in answers alone.
func TestLeavingTargetInAHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(script{unframed("done")})
		fixture.confirmations, fixture.health = []bool{true}, greengageroute.AnswerHead{Status: 503, Leaving: true, RetryAfter: time.Second}
		fixture.serve(newRequest("POST", "/post/x"))
		target := fixture.attempts[0].Target
		if listed, _ := fixture.service.Directory.View().Target(target.ID); listed.State != greengageroute.TargetLeaving {
			t.Errorf("the target is %s, want leaving", listed.State)
		}
		if fixture.service.Backoff(target).Remaining(target.StartUnixMilli, time.Now()) == 0 {
			t.Error("the entry doesn't back off")
		}
	})
}

// slowReader takes a while for each read.
type slowReader struct{ io.Reader }

func (slow slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return slow.Reader.Read(buffer)
}

// TestHealthChecksDontLiftLimits guards against a limit that is forgotten because an answer to
// a health check doesn't name it, or there is none.
func TestHealthChecksDontLiftLimits(t *testing.T) {
	for _, health := range []greengageroute.AnswerHead{{}, {Status: 200}} {
		synctest.Test(t, func(t *testing.T) {
			limited := func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
				answer, err := unframed("done")(ctx, attempt)
				answer.LimitPerSecond, answer.Body = 0.5, slowReader{answer.Body}
				return answer, err
			}
			fixture := newFixture(script{limited})
			fixture.health = health
			fixture.serve(newRequest("POST", "/post/x"))
			fixture.service.tracker.Begin(fixture.attempts[0].Target.ID, 0)()
			if _, limited := fixture.service.tracker.LimitWait(fixture.attempts[0].Target.ID, 0); !limited {
				t.Errorf("the limit was lifted by %+v", health)
			}
			time.Sleep(time.Second)
		})
	}
}

// TestLeavingTargetsThroughAnotherEntry guards against an entry that passes on the answer of
// a leaving target without learning which it is, and against a target that names another.
func TestLeavingTargetsThroughAnotherEntry(t *testing.T) {
	for _, path := range []string{"/post/x", "/chat/x"} {
		synctest.Test(t, func(t *testing.T) {
			header := http.Header{"Server-Leaving": {"1"}}
			helper := newFixture(script{leaves(greengageroute.AnswerHead{Status: 200, Header: header}, strings.NewReader(events(1, 2)))})
			request := newRequest("POST", path)
			request.Header.Set("Entry-Attempts", "0")
			recorder := httptest.NewRecorder()
			helper.service.ServeForwarded(recorder, request)
			leaver := helper.attempts[0].Target.Instance()
			want := "0 " + leaver.ID
			if named := recorder.Header().Get("Entry-Target"); named != want {
				t.Fatalf("%s: the answer names %q, want %q", path, named, want)
			}
			entry := &isolatedEntry{isolated: true, helpers: script{func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
				head := greengageroute.AnswerHead{ID: "id-1", Status: 200, Leaving: true, ForwardedFrom: greengageroute.TargetInstance{ID: "ledger-a"}}
				return &upstream.Answer{AnswerHead: head, Body: strings.NewReader(events(1, 2))}, nil
			}}}
			service := entry.service()
			service.ServeHTTP(httptest.NewRecorder(), newRequest("POST", path))
			if target, _ := service.Directory.View().Target("ledger-a"); target.State != greengageroute.TargetLeaving {
				t.Errorf("%s: the target is %s, want leaving", path, target.State)
			}
		})
	}
}
