package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

// placedDependencies are those of an entry whose config lists regions, with an isolated entry's
// links and helpers.
type placedDependencies struct {
	isolatedEntry
	routes *greengageroute.RouteTable
}

func (placed *placedDependencies) Routes() *greengageroute.RouteTable { return placed.routes }

func (placed *placedDependencies) EntryDataCentres() map[string]string {
	return map[string]string{"h1": "a", "h2": "b", "h3": "c", "h4": "unnamed"}
}

// evacuate replaces the evacuated data centres.
func evacuate(directory *control.Directory, dataCentres ...string) {
	rows := platform.Rows{Version: 1}
	for _, dataCentre := range dataCentres {
		rows.Rows = append(rows.Rows, platform.Row{Key: "evacuate/" + dataCentre, Version: 1})
	}
	evacuations, _ := control.Evacuations{}.WithSnapshot(rows, time.Now())
	directory.SetEvacuations(evacuations)
}

// placeTargets lists a target and a replica in each of the data centres a, b and c.
func placeTargets(directory *control.Directory) {
	var targets []greengageroute.Target
	for _, dataCentre := range []string{"a", "b", "c"} {
		targets = append(targets,
			greengageroute.Target{ID: "ledger-" + dataCentre, DataCentre: dataCentre, Pool: "ledger", State: greengageroute.TargetReady, Slots: 6},
			greengageroute.Target{ID: "llm-" + dataCentre, DataCentre: dataCentre, Pool: "llm", State: greengageroute.TargetReady, Membership: greengageroute.Membership{
				Replica: "r" + dataCentre, Epoch: 1, Model: "m", State: greengageroute.MemberOpen,
			}})
	}
	directory.Replace(targets, time.Time{})
}

func newPlacedFixture(script script) *fixture {
	fixture := newServingFixture(script)
	placeTargets(fixture.service.Directory)
	fixture.service.SetBounds(greengageroute.Bounds{RevocationTime: 5 * time.Second, EvacuationTime: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 300})
	return fixture
}

// TestNoAttemptReachesAnEvacuatedDataCentre guards against an attempt of any kind that is sent to
// a data centre which was evacuated before or since the request began.
func TestNoAttemptReachesAnEvacuatedDataCentre(t *testing.T) {
	tests := []struct {
		name, path string
		first      step // nil: evacuated before the request
		suspected  bool
		forwarded  bool
	}{
		{"a call's first attempt", "/post/x", nil, false, false},
		{"a stream's first attempt", "/chat/x", nil, false, false},
		{"a stream's first attempt at a plain target", "/feed/x", nil, false, false},
		{"a call of another entry", "/get/x", nil, false, true},
		{"a stream of another entry", "/chat/x", nil, false, true},
		{"a call that couldn't be sent", "/post/x", unreachable, false, false},
		{"a call that failed", "/get/x", answers(500, "failed"), false, false},
		{"a call that was turned away", "/get/x", rejects, false, false},
		{"a call whose target is silent", "/get/x", hangs, false, false},
		{"a stream that couldn't be sent", "/chat/x", unreachable, false, false},
		{"a stream that was turned away", "/chat/x", rejects, false, false},
		{"a stream that is resumed", "/chat/x", aborts(events(1, 2)), false, false},
		{"a stream at a plain target that is resumed", "/feed/x", aborts(events(1, 2)), false, false},
		{"a stream whose replica is suspected", "/chat/x", silentFor(3 * time.Second), true, false},
	}
	for _, test := range tests {
		for _, left := range []string{"a", "b", "c"} {
			t.Run(test.name+", "+left+" is left", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fixture := newPlacedFixture(nil)
					others := slices.DeleteFunc([]string{"a", "b", "c"}, func(dataCentre string) bool { return dataCentre == left })
					fixture.script = script{answers(200, events(3, 5))}
					sent := 1
					if test.first == nil {
						evacuate(fixture.service.Directory, others...)
					} else {
						sent = 2
						fixture.script = append(script{func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
							if attempt.Target.DataCentre == left {
								sent = 1 // the second attempt would have nowhere to go
							}
							evacuate(fixture.service.Directory, others...)
							return test.first(ctx, attempt)
						}}, fixture.script...)
					}
					if test.suspected {
						suspect(fixture)
					}
					request := newRequest("POST", test.path)
					if test.forwarded {
						request.Header.Set("Entry-Attempts", "0")
					}
					recorder, aborted := fixture.serve(request)
					if len(fixture.attempts) != sent {
						t.Errorf("%d attempts were sent, want %d", len(fixture.attempts), sent)
					}
					if sent == 2 && (recorder.Code != http.StatusOK || aborted) {
						t.Errorf("got %d, aborted: %t", recorder.Code, aborted)
					}
					if last := fixture.attempts[len(fixture.attempts)-1].Target; last.DataCentre != left {
						t.Errorf("the last attempt was sent to %s, want one in data centre %s", last.ID, left)
					}
					time.Sleep(time.Second) // lets the crash checks of lost answers finish
				})
			})
		}
	}
}

// TestAllDataCentresEvacuated guards against requests that wait, or are refused for a reason that
// isn't true, and against refusals after the evacuation has ended.
func TestAllDataCentresEvacuated(t *testing.T) {
	for _, path := range []string{"/post/x", "/get/x", "/chat/x", "/talk/x", "/feed/x"} {
		for _, forwarded := range []string{"", "0"} {
			t.Run(path+forwarded, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fixture := newPlacedFixture(script{answers(200, events(1, 3))})
					evacuate(fixture.service.Directory, "a", "b", "c")
					request := newRequest("POST", path)
					if forwarded != "" {
						request.Header.Set("Entry-Attempts", forwarded)
					}
					began := time.Now()
					recorder, _ := fixture.serve(request)
					if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") != "5.000" || !strings.Contains(recorder.Body.String(), evacuatedReason) {
						t.Errorf("got %d with Retry-After %q: %s", recorder.Code, recorder.Header().Get("Retry-After"), recorder.Body)
					}
					if notRun := recorder.Header().Get("X-Greengageroute-Not-Executed") != ""; notRun != (forwarded != "") {
						t.Errorf("marked as not run: %t", notRun)
					}
					if len(fixture.attempts) > 0 || time.Since(began) > 0 {
						t.Errorf("refused after %d attempts and %s", len(fixture.attempts), time.Since(began))
					}
					if refused := fixture.service.Counters.Get(CountRefusedEvacuated); refused == nil || refused.String() != "1" {
						t.Errorf("%v requests were counted as refused, want 1", refused)
					}
					evacuate(fixture.service.Directory)
					if recorder, _ := fixture.serve(newRequest("POST", path)); recorder.Code != http.StatusOK {
						t.Errorf("got %d after the evacuation", recorder.Code)
					}
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestModelWithoutReplicasElsewhere guards against a refusal that doesn't name the evacuation, and
// one for the time that an evacuation takes, while a replica may open in another data centre.
func TestModelWithoutReplicasElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newPlacedFixture(nil)
		directory := fixture.service.Directory
		evacuate(directory, "a", "b")
		free, _ := directory.View().Target("llm-c")
		free.Membership = greengageroute.Membership{}
		directory.Apply([]greengageroute.Target{free}, nil, time.Time{})
		recorder, _ := fixture.serve(newRequest("POST", "/chat/x"))
		if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") != "0.800" || !strings.Contains(recorder.Body.String(), evacuatedReason) {
			t.Errorf("got %d with Retry-After %q: %s", recorder.Code, recorder.Header().Get("Retry-After"), recorder.Body)
		}
	})
}

// TestBodyOfRefusedRequestIsNotRead guards against bodies that are held for requests which no data
// centre takes.
func TestBodyOfRefusedRequestIsNotRead(t *testing.T) {
	fixture := newPlacedFixture(nil)
	evacuate(fixture.service.Directory, "a", "b", "c")
	request, body := newRequest("POST", "/post/x"), strings.NewReader("body")
	request.Body = io.NopCloser(body)
	fixture.serve(request)
	if body.Len() != len("body") {
		t.Errorf("%d bytes of the body were read", len("body")-body.Len())
	}
}

// TestEvacuationDuringRequests guards against a stream that is broken off because its data centre
// is evacuated, and against requests that wait for an evacuation to end.
func TestEvacuationDuringRequests(t *testing.T) {
	const pause = 500 * time.Millisecond
	tests := []struct {
		name, path string
		first      step
		status     int
		body       string
		aborted    bool
		took       time.Duration
	}{
		{"a running stream", "/chat/x", silentFor(pause), 200, events(1, 5), false, pause + 20*time.Millisecond},
		{"a stream that is cut", "/chat/x", aborts(events(1, 2)), 200, events(1, 2), true, 0},
		{"a stream that couldn't be sent", "/chat/x", unreachable, 503, evacuatedReason, false, 0},
		{"a call that couldn't be sent", "/post/x", unreachable, 503, evacuatedReason, false, 0},
		{"a call that was turned away", "/get/x", rejects, 503, evacuatedReason, false, 0},
		{"a call that failed", "/get/x", answers(500, "failed"), 500, "failed", false, 0},
		{"an action that may have run", "/post/x", resets, 502, "may have run", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newPlacedFixture(nil)
				fixture.script = script{func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
					evacuate(fixture.service.Directory, "a", "b", "c")
					return test.first(ctx, attempt)
				}, answers(200, events(1, 5))}
				began := time.Now()
				recorder, aborted := fixture.serve(newRequest("POST", test.path))
				if took := time.Since(began); took != test.took {
					t.Errorf("the request took %s, want %s", took, test.took)
				}
				if recorder.Code != test.status || aborted != test.aborted || !strings.Contains(recorder.Body.String(), test.body) || len(fixture.attempts) != 1 {
					t.Errorf("got %d after %d attempts, aborted: %t, %s", recorder.Code, len(fixture.attempts), aborted, recorder.Body)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestBegunStreamsWaitBesideAnEvacuation guards against a stream that is broken off because the
// only replica that may take it is formed again, while another data centre is evacuated.
func TestBegunStreamsWaitBesideAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newPlacedFixture(nil)
		directory := fixture.service.Directory
		evacuate(directory, "a", "b")
		fixture.script = script{func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
			lost, _ := directory.View().Target("llm-c")
			formed := lost
			lost.Membership, formed.Membership.Epoch = greengageroute.Membership{}, 2
			directory.Apply([]greengageroute.Target{lost}, nil, time.Time{})
			time.AfterFunc(time.Second, func() { directory.Apply([]greengageroute.Target{formed}, nil, time.Time{}) })
			return aborts(events(1, 2))(ctx, attempt)
		}, answers(200, events(3, 5))}
		recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
		if aborted || recorder.Body.String() != events(1, 5) {
			t.Errorf("got body %q, aborted: %t; want events 1 to 5", recorder.Body, aborted)
		}
		time.Sleep(time.Second)
	})
}

// TestRegionsOfRouteAndWorkspace guards against requests whose bodies leave the permitted regions,
// at targets or at other entries, and against refusals without need.
func TestRegionsOfRouteAndWorkspace(t *testing.T) {
	all := greengageroute.AllowedRegions{}
	tests := []struct {
		name             string
		route, workspace greengageroute.AllowedRegions
		evacuated        []string
		targets          []string // data centres whose targets may have the request
		entries          []string // that may have the body
	}{
		{"no list", all, all, nil, []string{"a", "b", "c"}, []string{"h1", "h2", "h3", "h4", "h5"}},
		{"of the route", greengageroute.NewAllowedRegions("south"), all, nil, []string{"b", "c"}, []string{"h2", "h3"}},
		{"of the workspace", all, greengageroute.NewAllowedRegions("north"), nil, []string{"a"}, []string{"h1"}},
		{"of both", greengageroute.NewAllowedRegions("north", "south"), greengageroute.NewAllowedRegions("north", "west"), nil, []string{"a"}, []string{"h1"}},
		{"no common one", greengageroute.NewAllowedRegions("north"), greengageroute.NewAllowedRegions("south"), nil, nil, nil},
		{"an empty list", greengageroute.NewAllowedRegions(), all, nil, nil, nil},
		{"a part is evacuated", greengageroute.NewAllowedRegions("south"), all, []string{"b"}, []string{"c"}, []string{"h2", "h3"}},
		{"all of it is evacuated", greengageroute.NewAllowedRegions("north"), all, []string{"a"}, nil, []string{"h1"}},
	}
	for _, test := range tests {
		routes := greengageroute.NewRouteTable(8, []greengageroute.Route{
			{Host: "h", Prefix: "/get/", Kind: greengageroute.Idempotent, Timeout: time.Second, Attempts: 9, Pools: toPool("ledger"), AllowedRegions: test.route},
			{Host: "h", Prefix: "/chat/", Kind: greengageroute.Streaming, Timeout: 8 * time.Second, Attempts: 9, Resumable: true, Pools: toPool("llm"), AllowedRegions: test.route},
		}, testRoutes.Pools, map[string]greengageroute.KeyOwner{"key": {Name: "counters", AllowedRegions: test.workspace}}, testRoutes.Limits, true)
		for _, path := range []string{"/get/x", "/chat/x"} {
			t.Run(test.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					requireServedIn(t, routes, path, false, test.evacuated, test.targets)
					requireServedIn(t, routes, path, true, test.evacuated, test.entries)
				})
			})
		}
	}
}

// requireServedIn checks that a request is tried in exactly the given data centres, or at the given
// entries if this one is isolated, and is then refused as not run.
func requireServedIn(t *testing.T, routes *greengageroute.RouteTable, path string, isolated bool, evacuated, want []string) {
	t.Helper()
	tried := greengageroute.Set[string]{}
	placed := &placedDependencies{isolatedEntry: isolatedEntry{isolated: isolated, helpers: slices.Repeat(script{refusedBy(421)}, 9)}, routes: routes}
	placed.target = func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		tried.Add(attempt.Target.DataCentre)
		return rejects(ctx, attempt)
	}
	service := placed.service()
	service.Config, service.Peers, service.Prober, service.Sender, service.PeerSender = placed, placed, placed, placed, placed
	service.SetRegions(greengageroute.DataCentreRegions{"a": "north", "b": "south", "c": "south"})
	placeTargets(service.Directory)
	evacuate(service.Directory, evacuated...)
	recorder := httptest.NewRecorder()
	service.ServeHTTP(recorder, newRequest("POST", path))
	for _, attempt := range placed.attempts {
		tried.Add(attempt.Target.Address)
	}
	if got := tried.Sorted(); !slices.Equal(got, want) {
		t.Errorf("isolated: %t: tried %q, want %q", isolated, got, want)
	}
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("isolated: %t: got %d with Retry-After %q", isolated, recorder.Code, recorder.Header().Get("Retry-After"))
	}
	reason := regionReason
	if len(evacuated) > 0 {
		reason = evacuatedReason
	}
	if !isolated && len(want) == 0 && !strings.Contains(recorder.Body.String(), reason) {
		t.Errorf("the reason of the refusal is %s", recorder.Body)
	}
}
