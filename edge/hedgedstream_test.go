package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

type (
	// part is a piece of an answer, and the time before it.
	part struct {
		after time.Duration
		text  string
	}

	// pacedBody sends parts. It ends with an error once its context does, as a connection that
	// is closed does, or after the last part if it is cut.
	pacedBody struct {
		ctx     context.Context
		parts   []part
		pending io.Reader
		cut     bool
	}

	// attemptTimes tells when the attempts of a test began, and when they were cancelled.
	attemptTimes struct {
		mu        sync.Mutex
		began     time.Time
		started   []time.Duration
		cancelled map[int]time.Duration
	}

	step = func(context.Context, greengageroute.Attempt) (*upstream.Answer, error)
)

func (body *pacedBody) Read(buffer []byte) (int, error) {
	for {
		if body.pending != nil {
			if read, err := body.pending.Read(buffer); err == nil {
				return read, nil
			}
			body.pending = nil
		}
		if len(body.parts) == 0 && body.cut {
			return 0, io.ErrUnexpectedEOF
		}
		if len(body.parts) == 0 {
			return 0, io.EOF
		}
		select {
		case <-time.After(body.parts[0].after):
		case <-body.ctx.Done():
			return 0, body.ctx.Err()
		}
		body.pending, body.parts = strings.NewReader(body.parts[0].text), body.parts[1:]
	}
}

// sends is a step of a script: a stream that comes in parts.
func sends(parts ...part) step {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		answer, err := answers(200, "")(ctx, attempt)
		answer.Body = &pacedBody{ctx: ctx, parts: parts}
		return answer, err
	}
}

// sendsAndResets is a step of a script: a stream that comes in parts and is then reset.
func sendsAndResets(parts ...part) step {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		answer, err := answers(200, "")(ctx, attempt)
		answer.Body = &pacedBody{ctx: ctx, parts: parts, cut: true}
		return answer, err
	}
}

// silentFor is a step of a script: a stream that falls silent after two events, and goes on.
func silentFor(silence time.Duration) step {
	return sends(part{10 * time.Millisecond, events(1, 2)}, part{silence, events(3, 3)}, part{10 * time.Millisecond, events(4, 5)})
}

// recorded returns the steps of a script that record when they begin and are cancelled.
func (times *attemptTimes) recorded(steps ...step) (recorded script) {
	times.began, times.cancelled = time.Now(), map[int]time.Duration{}
	for index, reaction := range steps {
		recorded = append(recorded, func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
			times.mu.Lock()
			times.started = append(times.started, time.Since(times.began))
			times.mu.Unlock()
			context.AfterFunc(ctx, func() {
				times.mu.Lock()
				defer times.mu.Unlock()
				times.cancelled[index] = time.Since(times.began)
			})
			return reaction(ctx, attempt)
		})
	}
	return recorded
}

// newServingFixture returns a fixture whose heads show that they serve when asked.
func newServingFixture(script script) *fixture {
	fixture := newFixture(script)
	fixture.serving = true
	return fixture
}

// triedTarget returns the target of an attempt that may still run.
func (fixture *fixture) triedTarget(index int) greengageroute.Target {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return fixture.attempts[index].Target
}

// suspect has the replica of the first attempt found unreachable a while after its last
// event, as by probes.
func suspect(fixture *fixture) {
	time.AfterFunc(300*time.Millisecond, func() {
		fixture.service.Directory.MarkUnreachable(fixture.triedTarget(0).Instance())
	})
}

// keepOnly has all replicas but the first attempt's found unreachable.
func keepOnly(fixture *fixture) {
	time.AfterFunc(5*time.Millisecond, func() {
		for _, id := range []string{"llm-a", "llm-b", "llm-c"} {
			if target, _ := fixture.service.Directory.View().Target(id); target.ID != fixture.triedTarget(0).ID {
				fixture.service.Directory.MarkUnreachable(target.Instance())
			}
		}
	})
}

var silences = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, time.Second, 1300 * time.Millisecond, 2 * time.Second, 7 * time.Second}

// TestSilenceEndsNoStream guards against a caller's stream that is broken off because its
// target was silent for a while, and against one that misses or repeats events.
func TestSilenceEndsNoStream(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(fixture *fixture)
		second  step
	}{
		{"not suspected", func(*fixture) {}, nil},
		{"no other replica", func(fixture *fixture) { keepOnly(fixture); suspect(fixture) }, nil},
		{"the row lapses", func(fixture *fixture) {
			keepOnly(fixture)
			time.AfterFunc(300*time.Millisecond, func() {
				fixture.service.Directory.Apply(nil, []string{fixture.triedTarget(0).ID}, time.Time{})
			})
		}, nil},
		{"another replica goes on", suspect, sends(part{100 * time.Millisecond, events(3, 4)}, part{100 * time.Millisecond, events(5, 5)})},
		{"another replica is slower", suspect, sends(part{10 * time.Second, events(3, 5)})},
		{"the other replica is silent too", suspect, hangs},
		{"the other replica refuses", suspect, rejects},
		{"the other replica can't be reached", suspect, unreachable},
		{"the other replica resets", suspect, resets},
		{"the other replica fails", suspect, answers(500, "failed")},
		{"the other replica breaks off in an event", suspect, aborts("id: 3\nda")},
		{"the other replica sends an error as a success", suspect, ofType("application/json", "{}")},
		{"the other replica repeats an event", suspect, answers(200, events(2, 5))},
		{"no retry is in the budget", func(fixture *fixture) {
			fixture.service.SetBounds(greengageroute.Bounds{RevocationTime: 5 * time.Second, RetryWindow: time.Second})
			suspect(fixture)
		}, nil},
	}
	for _, test := range tests {
		for _, silence := range silences {
			t.Run(test.name+", "+silence.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					reactions := script{silentFor(silence)}
					if test.second != nil {
						reactions = append(reactions, test.second)
					}
					fixture := newServingFixture(reactions)
					test.prepare(fixture)
					recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
					if aborted || recorder.Body.String() != events(1, 5) {
						t.Errorf("got body %q, aborted: %t; want events 1 to 5", recorder.Body, aborted)
					}
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// TestFirstEventSettlesSuspicion guards against targets that work on for a caller that
// another one serves, and against an attempt that is given up before another has brought
// anything.
func TestFirstEventSettlesSuspicion(t *testing.T) {
	tests := []struct {
		name             string
		silence          time.Duration
		second           step
		loser            int
		settled          time.Duration // since the request
		won, recovered   string
		lastEventOfHedge string
	}{
		{"the hedge is faster", 2 * time.Second, sends(part{100 * time.Millisecond, events(3, 5)}), 0, 400 * time.Millisecond, "1", "", "2"},
		{"the suspected attempt is faster", 600 * time.Millisecond, sends(part{time.Second, events(3, 5)}), 1, 610 * time.Millisecond, "", "1", "2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := &attemptTimes{}
				fixture := newServingFixture(times.recorded(silentFor(test.silence), test.second))
				suspect(fixture)
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted || recorder.Body.String() != events(1, 5) {
					t.Errorf("got body %q, aborted: %t; want events 1 to 5", recorder.Body, aborted)
				}
				synctest.Wait()
				if at := times.cancelled[test.loser]; at < test.settled || at > test.settled+silenceRecheck {
					t.Errorf("attempt %d was cancelled after %s, want %s", test.loser, at, test.settled)
				}
				if winner := times.cancelled[1-test.loser]; winner < times.cancelled[test.loser] {
					t.Errorf("the attempt that goes on was cancelled after %s", winner)
				}
				if last := fixture.attempts[1].LastEventID; last != test.lastEventOfHedge {
					t.Errorf("the hedge starts after event %q, want %q", last, test.lastEventOfHedge)
				}
				for name, want := range map[string]string{CountHedgesSent: "1", CountStreamsSuspected: "1", CountHedgesWon: test.won, CountStreamsRecovered: test.recovered} {
					if got := fixture.count(name); got != want {
						t.Errorf("counter %s is %q, want %q", name, got, want)
					}
				}
			})
		})
	}
}

// count returns the value of a counter, empty if it was never used.
func (fixture *fixture) count(name string) string {
	if value := fixture.service.Counters.Get(name); value != nil {
		return value.String()
	}
	return ""
}

// TestHedgesKeepToTheAttempts guards against a silent stream that goes to more targets than
// its route allows.
func TestHedgesKeepToTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newServingFixture(script{silentFor(7 * time.Second), hangs, answers(200, "one too many")})
		suspect(fixture)
		time.AfterFunc(time.Second, func() { fixture.service.Directory.MarkUnreachable(fixture.triedTarget(1).Instance()) })
		recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
		if aborted || recorder.Body.String() != events(1, 5) || len(fixture.attempts) != 2 {
			t.Errorf("got body %q after %d attempts, aborted: %t; want events 1 to 5 after 2", recorder.Body, len(fixture.attempts), aborted)
		}
	})
}

// TestLossEndsAttempts guards against a stream that waits for a replica that can't go on.
func TestLossEndsAttempts(t *testing.T) {
	tests := []struct {
		name   string
		change func(head greengageroute.Target) greengageroute.Target
		lost   bool
	}{
		{"a member has restarted", func(head greengageroute.Target) greengageroute.Target {
			head.StartUnixMilli++
			return head
		}, true},
		{"an older row shows an earlier start", func(head greengageroute.Target) greengageroute.Target {
			head.StartUnixMilli--
			return head
		}, false},
		{"the head is broken", func(head greengageroute.Target) greengageroute.Target {
			head.Membership.State = greengageroute.MemberBroken
			return head
		}, true},
		{"the head is in a later replica", func(head greengageroute.Target) greengageroute.Target {
			head.Membership.Replica, head.Membership.Epoch = "other", 2
			return head
		}, true},
		{"an old row shows no replica", func(head greengageroute.Target) greengageroute.Target {
			head.Membership = greengageroute.Membership{}
			return head
		}, false},
		{"the head drains", func(head greengageroute.Target) greengageroute.Target {
			head.State = greengageroute.TargetLeaving
			return head
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := &attemptTimes{}
				fixture := newServingFixture(times.recorded(silentFor(5*time.Second), sends(part{time.Second, events(3, 5)})))
				time.AfterFunc(100*time.Millisecond, func() {
					listed, _ := fixture.service.Directory.View().Target(fixture.triedTarget(0).ID)
					fixture.service.Directory.Apply([]greengageroute.Target{test.change(listed)}, nil, time.Time{})
				})
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted || recorder.Body.String() != events(1, 5) {
					t.Errorf("got body %q, aborted: %t; want events 1 to 5", recorder.Body, aborted)
				}
				synctest.Wait()
				if lost := times.cancelled[0] < time.Second; lost != test.lost {
					t.Errorf("the attempt was ended after %s, want at once: %t", times.cancelled[0], test.lost)
				}
			})
		})
	}
}

// TestStreamsThatRunOnceHaveNoHedge guards against a stream that runs twice although it can't
// be resumed, and against one that is given up while its target is silent.
func TestStreamsThatRunOnceHaveNoHedge(t *testing.T) {
	for _, path := range []string{"/talk/x", "/feed/x"} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newServingFixture(script{silentFor(2 * time.Second), answers(200, events(3, 5))})
			suspect(fixture)
			recorder, aborted := fixture.serve(newRequest("POST", path))
			if aborted || recorder.Body.String() != events(1, 5) || len(fixture.attempts) != 1 {
				t.Errorf("%s: got body %q after %d attempts, aborted: %t; want events 1 to 5 after one", path, recorder.Body, len(fixture.attempts), aborted)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		fixture := newServingFixture(script{hangs, answers(200, events(1, 5))})
		time.AfterFunc(100*time.Millisecond, func() {
			listed, _ := fixture.service.Directory.View().Target(fixture.triedTarget(0).ID)
			listed.StartUnixMilli++
			fixture.service.Directory.Apply([]greengageroute.Target{listed}, nil, time.Time{})
		})
		if recorder, _ := fixture.serve(newRequest("POST", "/talk/x")); recorder.Code != http.StatusBadGateway || len(fixture.attempts) != 1 {
			t.Errorf("after a restart: got %d after %d attempts, want 502 after one", recorder.Code, len(fixture.attempts))
		}
	})
}

// TestCallersWhoLeaveEndAllAttempts guards against targets that work on for a caller who left
// while two attempts ran.
func TestCallersWhoLeaveEndAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := &attemptTimes{}
		fixture := newServingFixture(times.recorded(silentFor(5*time.Second), hangs))
		suspect(fixture)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		if _, aborted := fixture.serve(newRequest("POST", "/chat/x").WithContext(ctx)); !aborted {
			t.Error("the caller got an answer")
		}
		synctest.Wait()
		if times.cancelled[0] != time.Second || times.cancelled[1] != time.Second {
			t.Errorf("attempts were cancelled after %v, want 1 s", times.cancelled)
		}
		if running := fixture.service.tracker.Loads(); len(running) > 0 {
			t.Errorf("attempts count as running: %v", running)
		}
	})
}

// isolatedLater is the prober of an entry that loses its links for a time.
type isolatedLater struct {
	*fixture
	from, until time.Time
}

func (prober *isolatedLater) LostPool(string) bool {
	return time.Now().After(prober.from) && time.Now().Before(prober.until)
}

// TestIsolationEndsNoStream guards against a stream that an entry gives up because its links
// to the targets are silent for a while.
func TestIsolationEndsNoStream(t *testing.T) {
	tests := []struct {
		name     string
		silence  time.Duration
		helper   step
		attempts int
	}{
		{"the links return first", 600 * time.Millisecond, hangs, 2},
		{"another entry goes on", 5 * time.Second, sends(part{50 * time.Millisecond, events(3, 5)}), 2},
		{"the other entry refuses", 2 * time.Second, refusedBy(http.StatusServiceUnavailable), 0},
		{"the other entry breaks off", 2 * time.Second, unframed(""), 2},
		{"the other entry isn't reached", 2 * time.Second, unreachable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reactions := script{silentFor(test.silence)}
				for range 40 {
					reactions = append(reactions, test.helper)
				}
				fixture := newServingFixture(reactions)
				now := time.Now()
				fixture.service.Prober = &isolatedLater{fixture, now.Add(300 * time.Millisecond), now.Add(test.silence)}
				fixture.service.Peers = &helpedFixture{fixture}
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted || recorder.Body.String() != events(1, 5) {
					t.Errorf("got body %q, aborted: %t; want events 1 to 5", recorder.Body, aborted)
				}
				if test.attempts > 0 && len(fixture.attempts) != test.attempts {
					t.Errorf("%d attempts were sent, want %d", len(fixture.attempts), test.attempts)
				}
			})
		})
	}
}

// helpedFixture is a fixture with other entries.
type helpedFixture struct{ *fixture }

func (*helpedFixture) Helpers(string) []string { return []string{"h1", "h2"} }

// TestSilenceSaysNothingOfTheSpeed guards against a target that counts as slow because it was
// silent for a while.
func TestSilenceSaysNothingOfTheSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newServingFixture(script{silentFor(2 * time.Second)})
		keepOnly(fixture)
		suspect(fixture)
		fixture.serve(newRequest("POST", "/chat/x"))
		if slowdown := fixture.service.tracker.Stats(fixture.attempts[0].Target.ID).SlowdownAt(time.Now()); slowdown > healthySlowdown {
			t.Errorf("the target counts as slower by %.1f", slowdown)
		}
	})
}

// TestBegunStreamsWaitForAReplica guards against a begun stream that is broken off because no
// replica is open at that moment, and against requests that wait although nothing has begun.
func TestBegunStreamsWaitForAReplica(t *testing.T) {
	tests := []struct {
		name    string
		first   step
		opens   bool
		aborted bool
		status  int
		took    time.Duration
	}{
		{"a replica opens", aborts(events(1, 2)), true, false, 200, 1500 * time.Millisecond},
		{"no replica opens", aborts(events(1, 2)), false, true, 200, 8 * time.Second},
		{"nothing has begun", resets, true, false, 502, 0},
		{"nothing was sent", unreachable, true, false, 503, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newServingFixture(nil)
				fixture.script = script{func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
					for _, id := range []string{"llm-a", "llm-b", "llm-c"} {
						target, _ := fixture.service.Directory.View().Target(id)
						fixture.service.Directory.MarkUnreachable(target.Instance())
					}
					return test.first(ctx, attempt)
				}, answers(200, events(3, 5))}
				if test.opens {
					time.AfterFunc(1500*time.Millisecond, func() {
						fixture.service.Directory.Apply([]greengageroute.Target{{ID: "llm-d", Pool: "llm", State: greengageroute.TargetReady, Membership: greengageroute.Membership{
							Replica: "rd", Epoch: 2, Model: "m", State: greengageroute.MemberOpen,
						}}}, nil, time.Time{})
					})
				}
				began := time.Now()
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				took := time.Since(began)
				if aborted != test.aborted || recorder.Code != test.status || took < test.took || took > test.took+replicaSearchInterval {
					t.Errorf("got status %d after %s, aborted: %t; want %d after %s", recorder.Code, took, aborted, test.status, test.took)
				}
				if test.opens && test.status == 200 && recorder.Body.String() != events(1, 5) {
					t.Errorf("got body %q, want events 1 to 5", recorder.Body)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestHedgesGoToReplicasThatRespond guards against attempts that are used up at replicas that
// are silent too.
func TestHedgesGoToReplicasThatRespond(t *testing.T) {
	tests := []struct {
		name     string
		responds time.Duration // when the other replicas do, after the request
		attempts int
		took     time.Duration
	}{
		{"at once", 0, 2, time.Second},
		{"once the silence has ended", 1500 * time.Millisecond, 2, 2100 * time.Millisecond},
		{"never", time.Hour, 1, 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(script{silentFor(4 * time.Second), sends(part{100 * time.Millisecond, events(3, 5)})})
				fixture.service.Prober = &silentUntil{fixture, time.Now().Add(test.responds)}
				suspect(fixture)
				began := time.Now()
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted || recorder.Body.String() != events(1, 5) || len(fixture.attempts) != test.attempts {
					t.Errorf("got body %q after %d attempts, aborted: %t; want events 1 to 5 after %d", recorder.Body, len(fixture.attempts), aborted, test.attempts)
				}
				if took := time.Since(began); took > test.took+100*time.Millisecond {
					t.Errorf("the stream took %s, want %s", took, test.took)
				}
				if retries := fixture.count(CountRetries); test.attempts == 1 && retries != "" {
					t.Errorf("%s retries were taken from the budget, want none", retries)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// silentUntil is the prober of a fixture whose heads respond from a time on.
type silentUntil struct {
	*fixture
	at time.Time
}

func (prober *silentUntil) StillServes(greengageroute.Target) bool {
	if time.Now().After(prober.at) {
		return true
	}
	time.Sleep(140 * time.Millisecond)
	return false
}

// TestReplicasAreCheckedOnceForAllStreams guards against a head that is probed by each of the
// streams that look for a replica.
func TestReplicasAreCheckedOnceForAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int32
		checks := newReplicaChecks(func(greengageroute.Target) bool {
			probes.Add(1)
			time.Sleep(100 * time.Millisecond)
			return true
		})
		head := greengageroute.Target{ID: "llm-a"}
		var streams sync.WaitGroup
		for range 50 {
			streams.Go(func() {
				if !checks.check(head) {
					t.Error("the replica counts as silent")
				}
			})
		}
		streams.Wait()
		checks.check(head)
		if count := probes.Load(); count != 1 {
			t.Errorf("%d probes were sent, want 1", count)
		}
		time.Sleep(replicaCheckTTL + time.Millisecond)
		if checks.check(head); probes.Load() != 2 {
			t.Errorf("%d probes were sent, want another one later", probes.Load())
		}
	})
}

// TestErrorsOfHedges guards against an error answer of a second attempt that replaces a stream
// whose target is only silent, and one that is lost although nothing else comes.
func TestErrorsOfHedges(t *testing.T) {
	tests := []struct {
		name   string
		first  step
		second step
		status int
		body   string
	}{
		{"not found, and the first goes on", after(2*time.Second, answers(200, events(1, 5))), answers(404, "not here"), 200, events(1, 5)},
		{"failed, and the first goes on", after(2*time.Second, answers(200, events(1, 5))), answers(500, "failed"), 200, events(1, 5)},
		{"not found, and the first resets", after(2*time.Second, resets), answers(404, "not here"), 404, "not here"},
		{"failed, and the first resets", after(2*time.Second, resets), answers(500, "failed"), 500, "failed"},
		{"both fail", after(2*time.Second, answers(400, "first")), answers(404, "second"), 400, "first"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newServingFixture(script{test.first, test.second})
				suspect(fixture)
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted || recorder.Code != test.status || recorder.Body.String() != test.body || len(fixture.attempts) != 2 {
					t.Errorf("got %d %q after %d attempts, aborted: %t; want %d %q after 2", recorder.Code, recorder.Body, len(fixture.attempts), aborted, test.status, test.body)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestHedgesThatReachNobody guards against a silent stream that uses up the retry budget of
// all without sending anything, or dials unreachable heads and asks other entries all the
// time.
func TestHedgesThatReachNobody(t *testing.T) {
	tests := []struct {
		name     string
		step     step
		isolated bool
	}{
		{"the other heads can't be reached", unreachable, false},
		{"no other entry can be reached", unreachable, true},
		{"the other entries refuse", refusedBy(http.StatusServiceUnavailable), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reactions := script{silentFor(7 * time.Second)}
				for range 100 {
					reactions = append(reactions, test.step)
				}
				fixture := newServingFixture(reactions)
				if test.isolated {
					now := time.Now()
					fixture.service.Prober = &isolatedLater{fixture, now.Add(300 * time.Millisecond), now.Add(time.Hour)}
					fixture.service.Peers = &helpedFixture{fixture}
				} else {
					suspect(fixture)
				}
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted || recorder.Body.String() != events(1, 5) {
					t.Errorf("got body %q, aborted: %t; want events 1 to 5", recorder.Body, aborted)
				}
				// Two others, after 0.25, 0.5, 1 and 2 s and each 2 s then.
				if sent := len(fixture.attempts) - 1; sent < 2 || sent > 14 {
					t.Errorf("%d connections were tried, want 2 to 14", sent)
				}
				if retries := fixture.count(CountRetries); retries != "" {
					t.Errorf("%s retries count, want none", retries)
				}
				if budget := (&exchange{service: fixture.service, pool: testRoutes.Pools["llm"]}).retryBudget(); !budget.AllowRetry(time.Now(), 200) {
					t.Error("the retry budget is used up")
				}
				time.Sleep(time.Second)
			})
		})
	}
}
