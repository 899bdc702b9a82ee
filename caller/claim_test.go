package caller

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	gencaller "greengageroute.example/greengageroute/gen/caller"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
)

const (
	// tableDelay is the one-way delay between an entry and the table.
	tableDelay = 5 * time.Millisecond
	// targetDelay is the one-way delay between an entry and the target.
	targetDelay = 10 * time.Millisecond
)

const claimFile = `
data-centres: [{name: ne, region: hills, fabric-domains: [{name: ne-1, vms: 4}]}]
classes: [{name: counter, rank: 0, deadline: 30s}]
services:
  - name: ledger
    timeout: 2s
    targets: [{address: "10.0.0.1:1", data-centre: ne}]
%s
workspaces:
  - name: counters
    class: counter
    services: [ledger]
    key-hashes: [%s]
`

type (
	// halter blocks an entry at one point of an action: before or after the nth
	// write, or before or after the effect at the target.
	halter struct {
		point  string
		after  time.Time // halt at the first point reached after this time
		once   sync.Once
		halted chan struct{}
		resume chan struct{}
	}

	// haltingTable forwards an entry's writes to the shared table and may halt
	// before or after each.
	haltingTable struct {
		*table.Memory
		halter      *halter
		writes      atomic.Int32
		dropReplies atomic.Bool // writes take effect, but all replies are lost and reads fail
		down        atomic.Bool
	}

	// ledger is a target that records each call it receives.
	ledger struct {
		mu      sync.Mutex
		records map[string]int
	}

	// haltingTargets sends an entry's calls to the ledger and may halt before or
	// after the effect.
	haltingTargets struct {
		TargetClient
		ledger        *ledger
		halter        *halter
		dropResponses bool // calls take effect, but their answers are lost
	}

	staticState struct{ config *greengageroute.Config }
)

func (halter *halter) haltIfAt(point string) {
	if halter == nil || halter.point != point && (halter.after.IsZero() || time.Now().Before(halter.after)) {
		return
	}
	halter.once.Do(func() {
		close(halter.halted)
		<-halter.resume
	})
}

func (halting *haltingTable) Commit(ctx context.Context, writes ...table.Write) error {
	if halting.down.Load() {
		return &table.UnavailableError{}
	}
	point := fmt.Sprintf("write %d", halting.writes.Add(1))
	time.Sleep(tableDelay)
	halting.halter.haltIfAt("before " + point)
	err := halting.Memory.Commit(ctx, writes...)
	time.Sleep(tableDelay)
	halting.halter.haltIfAt("after " + point)
	if halting.dropReplies.Load() {
		return &table.UncertainError{}
	}
	return err
}

func (halting *haltingTable) Read(ctx context.Context, key string) (table.Row, error) {
	if halting.dropReplies.Load() || halting.down.Load() {
		return table.Row{}, &table.UnavailableError{}
	}
	return halting.Memory.Read(ctx, key)
}

func (targets *haltingTargets) Call(_ context.Context, address string, call target.ServiceCall) (greengageroute.Answer, error) {
	time.Sleep(targetDelay)
	targets.halter.haltIfAt("before effect")
	targets.ledger.mu.Lock()
	targets.ledger.records[string(call.Body)]++
	targets.ledger.mu.Unlock()
	time.Sleep(targetDelay)
	targets.halter.haltIfAt("after effect")
	if targets.dropResponses {
		return greengageroute.Answer{}, &target.AnswerLostError{Address: address, Cause: errors.New("lost")}
	}
	return greengageroute.Answer{Status: http.StatusCreated, Body: []byte("recorded")}, nil
}

func (targets *haltingTargets) Outcome(_ context.Context, _, _, key string) (greengageroute.Answer, bool, error) {
	targets.ledger.mu.Lock()
	defer targets.ledger.mu.Unlock()
	known := key == "k" && len(targets.ledger.records) > 0
	return greengageroute.Answer{Status: http.StatusOK, Body: []byte("recorded")}, known, nil
}

func (state staticState) Config() *greengageroute.Config                              { return state.config }
func (state staticState) Available(string, time.Time) []greengageroute.GroupCandidate { return nil }
func (state staticState) RecordGroupFailure(greengageroute.Group, string)             {}
func (state staticState) HoldsLease() bool                                            { return false }
func (state staticState) ReportSound([]greengageroute.CrashCause)                     {}
func (state staticState) ReportCrash(greengageroute.CrashReport)                      {}
func (state staticState) Stopping() bool                                              { return false }

func (state staticState) HealthyUntil(greengageroute.Group) time.Time { return time.Time{} }
func (state staticState) LiveEntries() int                            { return 1 }
func (state staticState) ForwardChat(context.Context, string, []byte, string) (Forwarded, error) {
	return Forwarded{}, errors.New("there is no other data centre")
}

func claimConfig(t *testing.T, withOutcomePath bool) *greengageroute.Config {
	t.Helper()
	outcome := ""
	if withOutcomePath {
		outcome = "    outcome-path: /outcomes/{key}"
	}
	text := fmt.Sprintf(claimFile, outcome, greengageroute.HashKey("key"))
	config, err := greengageroute.NewConfig(1, map[string]greengageroute.FileVersion{"base": {Name: "base", Version: 1, Revision: 1, Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// drainedConfig returns the configuration in which the ledger's only target drains.
func drainedConfig(t *testing.T) *greengageroute.Config {
	t.Helper()
	text := fmt.Sprintf(claimFile, "", greengageroute.HashKey("key")) + "drains: [{kind: target, name: \"10.0.0.1:1\"}]\n"
	config, err := greengageroute.NewConfig(2, map[string]greengageroute.FileVersion{"base": {Name: "base", Version: 2, Revision: 2, Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func newTestService(config *greengageroute.Config, name string, actions ActionStore, targets TargetClient) *Service {
	refused := func(string) {}
	return New(Dependencies{
		Entry: name, State: staticState{config}, Targets: targets, Actions: actions,
		ChatAdmission: greengageroute.NewAdmission(1, refused), CallAdmission: greengageroute.NewAdmission(64, refused),
		Quarantine: greengageroute.NewQuarantine(nil), Router: greengageroute.NewRouter(), InFlight: NewInFlightRequests(), Counters: new(expvar.Map).Init(), Log: logr.Discard(),
	})
}

// depositFirst sends the first attempt of an action, declared as such, and returns
// the outcome in the reply.
func depositFirst(service *Service, key, body string) string {
	return depositAttempt(service, key, body, true)
}

// deposit sends an action that may have been sent before.
func deposit(service *Service, key, body string) string {
	return depositAttempt(service, key, body, false)
}

func depositAttempt(service *Service, key, body string, first bool) string {
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/services/ledger/deposits"}}
	ctx := context.WithValue(context.Background(), exchangeKey{}, &exchange{holding: &intake.Holding{}, request: request})
	bearer := "Bearer key"
	payload := &gencaller.CallPayload{Authorization: &bearer, IdempotencyKey: &key, FirstAttempt: &first, Service: "ledger", Path: "deposits"}
	_, _, err := service.Call(ctx, payload, bodyOf(body))
	var refusal *Refusal
	switch {
	case err == nil:
		return greengageroute.OutcomeDone
	case errors.As(err, &refusal):
		return refusal.Outcome
	default:
		return err.Error()
	}
}

type textBody struct{ *strings.Reader }

func (textBody) Close() error { return nil }

func bodyOf(text string) textBody { return textBody{strings.NewReader(text)} }

var haltPoints = []string{
	"before write 1", "after write 1", "before effect", "after effect", "before write 2", "after write 2",
}

type (
	// haltedAction is an action whose first entry is halted at a point and later
	// killed or resumed, while the caller sends the action again through a second
	// entry.
	haltedAction struct {
		replies []callerReply
		writes  int
		ledger  *ledger
	}

	// callerReply is an outcome that a caller received, with the number of records
	// of the body at that time.
	callerReply struct {
		body    string
		outcome string
		records int
	}
)

func (action *haltedAction) recordReply(body, outcome string) {
	action.replies = append(action.replies, callerReply{body: body, outcome: outcome, records: action.ledger.count(body)})
}

func (ledger *ledger) count(body string) int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.records[body]
}

func haltAt(point string) *halter {
	return &halter{point: point, halted: make(chan struct{}), resume: make(chan struct{})}
}

func haltAfter(delay time.Duration) *halter {
	return &halter{after: time.Now().Add(delay), halted: make(chan struct{}), resume: make(chan struct{})}
}

func runHaltedAction(config *greengageroute.Config, halter *halter, killed bool, secondBody string) *haltedAction {
	memory := table.NewMemory()
	receiver := &ledger{records: map[string]int{}}
	first := newTestService(config, "first", table.NewActions(&haltingTable{Memory: memory, halter: halter}), &haltingTargets{ledger: receiver, halter: halter})
	second := newTestService(config, "second", table.NewActions(memory), &haltingTargets{ledger: receiver})
	result := &haltedAction{ledger: receiver}
	outcomes := make(chan string, 1)
	go func() { outcomes <- depositFirst(first, "k", "41") }()
	halted := false
	select {
	case <-halter.halted:
		halted = true
	case outcome := <-outcomes: // the action does not reach this point
		result.recordReply("41", outcome)
	}
	result.recordReply(secondBody, deposit(second, "k", secondBody))
	if !killed && halted {
		close(halter.resume)
		result.recordReply("41", <-outcomes)
	}
	time.Sleep(time.Minute)
	result.recordReply("41", deposit(second, "k", "41"))
	_, result.writes = memory.Counts()
	if killed && halted {
		// A killed entry never continues. Here it does after the records are
		// counted, so that its goroutines end.
		close(halter.resume)
		time.Sleep(time.Minute)
	}
	return result
}

// violations lists the replies and records that contradict each other, and an
// action that was recorded twice.
func (action *haltedAction) violations() []string {
	var violations []string
	recorded := 0
	for _, reply := range action.replies {
		recorded = max(recorded, reply.records)
		if reply.outcome == greengageroute.OutcomeDone && reply.records == 0 {
			violations = append(violations, fmt.Sprintf("body %s: the caller received the outcome done, but no call was recorded", reply.body))
		}
		if reply.outcome == greengageroute.OutcomeNotRun && reply.records > 0 {
			violations = append(violations, fmt.Sprintf("body %s: the caller received the outcome not run, but a call was recorded", reply.body))
		}
	}
	if recorded > 1 || action.lastReply("41").records > 0 && action.lastReply("42").records > 0 {
		violations = append(violations, "the action was recorded twice")
	}
	return violations
}

// lastReply returns the last reply for a body.
func (action *haltedAction) lastReply(body string) callerReply {
	last := callerReply{}
	for _, reply := range action.replies {
		if reply.body == body {
			last = reply
		}
	}
	return last
}

func TestActionsRunAtMostOnceWhereverAnEntryHalts(t *testing.T) {
	for _, withOutcomePath := range []bool{false, true} {
		for _, killed := range []bool{false, true} {
			for _, point := range haltPoints {
				for _, body := range []string{"41", "42"} {
					name := fmt.Sprintf("outcome-path=%t/killed=%t/%s/body=%s", withOutcomePath, killed, point, body)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							result := runHaltedAction(claimConfig(t, withOutcomePath), haltAt(point), killed, body)
							reportViolations(t, result)
						})
					})
				}
			}
		}
	}
}

// TestClaimWhoseReplyIsLostIsClosed guards against a key that stays claimed after
// the table wrote the claim but its reply and all later ones were lost: the
// caller receives the outcome not run, and may send the action again with the same
// key.
func TestClaimWhoseReplyIsLostIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		receiver := &ledger{records: map[string]int{}}
		halting := &haltingTable{Memory: table.NewMemory()}
		halting.dropReplies.Store(true)
		service := newTestService(claimConfig(t, false), "first", table.NewActions(halting), &haltingTargets{ledger: receiver})
		if outcome := depositFirst(service, "k", "41"); outcome != greengageroute.OutcomeNotRun || receiver.count("41") > 0 {
			t.Errorf("outcome is %s with %d records, want not run and no record", outcome, receiver.count("41"))
		}
		halting.dropReplies.Store(false)
		time.Sleep(time.Minute)
		if outcome := deposit(service, "k", "41"); outcome != greengageroute.OutcomeDone || receiver.count("41") != 1 {
			t.Errorf("sent again: outcome is %s with %d records, want done and one record", outcome, receiver.count("41"))
		}
	})
}

// TestRetryOfARunActionIsNotReportedAsNotRun guards against refusing a retry as not
// run although an earlier attempt under its key ran: the first entry is killed
// after the effect, and the second can't send the action.
func TestRetryOfARunActionIsNotReportedAsNotRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(service *Service, halting *haltingTable)
	}{
		{"the platform is down", func(_ *Service, halting *haltingTable) { halting.down.Store(true) }},
		{"the platform's replies are lost", func(_ *Service, halting *haltingTable) { halting.dropReplies.Store(true) }},
		{"no target is left", func(service *Service, _ *haltingTable) {
			service.state = staticState{drainedConfig(t)}
		}},
		{"the entry is overloaded", func(service *Service, _ *haltingTable) {
			service.callAdmission = greengageroute.NewAdmission(0, func(string) {})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := claimConfig(t, false)
				memory, receiver, halter := table.NewMemory(), &ledger{records: map[string]int{}}, haltAt("after effect")
				first := newTestService(config, "first", table.NewActions(memory), &haltingTargets{ledger: receiver, halter: halter})
				halting := &haltingTable{Memory: memory}
				second := newTestService(config, "second", table.NewActions(halting), &haltingTargets{ledger: receiver})
				go depositFirst(first, "k", "41")
				<-halter.halted
				test.prepare(second, halting)
				if outcome := deposit(second, "k", "41"); outcome != greengageroute.OutcomeUnknown || receiver.count("41") != 1 {
					t.Errorf("the retry got the outcome %q with %d records, want unknown and one record", outcome, receiver.count("41"))
				}
				close(halter.resume)
				time.Sleep(5 * time.Minute)
			})
		})
	}
}

// TestCloseLeavesAnotherClaimAlone guards against overwriting another entry's
// claim: it closes a claim that was never written after another claim of the
// same key was.
func TestCloseLeavesAnotherClaimAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		actions := table.NewActions(table.NewMemory())
		service := newTestService(claimConfig(t, false), "first", actions, &haltingTargets{})
		other, _, err := actions.Claim(ctx, greengageroute.Action{Workspace: "counters", Key: "k"})
		if err != nil {
			t.Fatal(err)
		}
		service.storeNotRun(ctx, table.StoredAction{Action: greengageroute.Action{Workspace: "counters", Key: "k", Attempt: "lost"}})
		if found, err := actions.Get(ctx, "counters", "k"); err != nil || found.Attempt != other.Attempt || found.Version != other.Version {
			t.Errorf("the row holds %+v, want the other claim unchanged (%v)", found.Action, err)
		}
	})
}

// TestShareOfUnknownOutcomes kills the entry at each millisecond of an action.
// The outcome may stay unknown only if the kill comes after the claim is written
// and before the answer is stored; if the target can be queried, only before the
// action's effect.
func TestShareOfUnknownOutcomes(t *testing.T) {
	const actionDuration = 2*(2*tableDelay) + 2*targetDelay
	for _, test := range []struct {
		name            string
		withOutcomePath bool
		wantUnknown     time.Duration // part of an action's duration
	}{
		{"without outcome path", false, 2*tableDelay + 2*targetDelay},
		{"with outcome path", true, tableDelay + targetDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			unknown, kills, writes := 0, 0, 0
			for killedAfter := time.Duration(0); killedAfter < actionDuration; killedAfter += time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					result := runHaltedAction(claimConfig(t, test.withOutcomePath), haltAfter(killedAfter), true, "41")
					reportViolations(t, result)
					kills++
					if result.lastReply("41").outcome == greengageroute.OutcomeUnknown {
						unknown++
					}
				})
			}
			synctest.Test(t, func(t *testing.T) {
				writes = runHaltedAction(claimConfig(t, test.withOutcomePath), haltAfter(time.Hour), false, "41").writes
			})
			t.Logf("%d writes per action, outcome unknown after %d of %d kills", writes, unknown, kills)
			if maxUnknown := int(test.wantUnknown / time.Millisecond); writes > 2 || unknown > maxUnknown {
				t.Errorf("got %d writes and %d unknown outcomes, want at most 2 and %d", writes, unknown, maxUnknown)
			}
		})
	}
}

func reportViolations(t *testing.T, result *haltedAction) {
	t.Helper()
	for _, violation := range result.violations() {
		t.Errorf("%s: %+v", violation, result.replies)
	}
}
