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
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	gencaller "greengageroute.example/greengageroute/gen/caller"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
)

const (
	// tableDelay is the way to the table, and as much back.
	tableDelay = 5 * time.Millisecond
	// targetDelay is the way to the target, and as much back.
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
	// stop halts an entry at one point of an action: before or after the nth
	// write, or before or after the effect at the target.
	stop struct {
		point string
		after time.Time // halt at whatever comes first from then on
		once  sync.Once
		hit   chan struct{}
		wake  chan struct{}
	}

	// haltedTable passes an entry's writes on to the shared table.
	haltedTable struct {
		*table.Memory
		stop   *stop
		writes int
		lossy  bool // takes effect, then neither replies nor can be asked
	}

	// ledger is a target that records each call it receives.
	ledger struct {
		mu      sync.Mutex
		records map[string]int
	}

	// haltedTargets are an entry's way to the ledger.
	haltedTargets struct {
		Targets
		ledger *ledger
		stop   *stop
		lost   bool // the answers of calls are lost
	}

	staticState struct{ config *greengageroute.Config }
)

func (stop *stop) at(point string) {
	if stop == nil || stop.point != point && (stop.after.IsZero() || time.Now().Before(stop.after)) {
		return
	}
	stop.once.Do(func() {
		close(stop.hit)
		<-stop.wake
	})
}

func (halted *haltedTable) Commit(ctx context.Context, writes ...table.Write) error {
	halted.writes++
	point := fmt.Sprintf("write %d", halted.writes)
	time.Sleep(tableDelay)
	halted.stop.at("before " + point)
	err := halted.Memory.Commit(ctx, writes...)
	time.Sleep(tableDelay)
	halted.stop.at("after " + point)
	if halted.lossy {
		return &table.UncertainError{}
	}
	return err
}

func (halted *haltedTable) Read(ctx context.Context, key string) (table.Row, error) {
	if halted.lossy {
		return table.Row{}, &table.UnavailableError{}
	}
	return halted.Memory.Read(ctx, key)
}

func (targets *haltedTargets) Call(_ context.Context, address string, call target.ServiceCall) (greengageroute.Answer, error) {
	time.Sleep(targetDelay)
	targets.stop.at("before effect")
	targets.ledger.mu.Lock()
	targets.ledger.records[string(call.Body)]++
	targets.ledger.mu.Unlock()
	time.Sleep(targetDelay)
	targets.stop.at("after effect")
	if targets.lost {
		return greengageroute.Answer{}, &target.AnswerLostError{Address: address, Cause: errors.New("lost")}
	}
	return greengageroute.Answer{Status: http.StatusCreated, Body: []byte("recorded")}, nil
}

func (targets *haltedTargets) Outcome(_ context.Context, _, _, key string) (greengageroute.Answer, bool, error) {
	targets.ledger.mu.Lock()
	defer targets.ledger.mu.Unlock()
	known := key == "k" && len(targets.ledger.records) > 0
	return greengageroute.Answer{Status: http.StatusOK, Body: []byte("recorded")}, known, nil
}

func (state staticState) Config() *greengageroute.Config                             { return state.config }
func (state staticState) Servable(string, time.Time) []greengageroute.GroupCandidate { return nil }
func (state staticState) GroupFailed(greengageroute.Group, string)                   {}
func (state staticState) RequestDied(string, string)                                 {}
func (state staticState) Stopping() bool                                             { return false }

func (state staticState) WholeUntil(greengageroute.Group) time.Time { return time.Time{} }
func (state staticState) Entries() int                              { return 1 }
func (state staticState) Elsewhere(context.Context, string, []byte, string) (Forwarded, error) {
	return Forwarded{}, errors.New("there is no other data centre")
}

func claimConfig(t *testing.T, asks bool) *greengageroute.Config {
	t.Helper()
	outcome := ""
	if asks {
		outcome = "    outcome-path: /outcomes/{key}"
	}
	text := fmt.Sprintf(claimFile, outcome, greengageroute.HashKey("key"))
	config, err := greengageroute.NewConfig(1, map[string]greengageroute.FileVersion{"base": {Name: "base", Version: 1, Revision: 1, Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func newClaimer(config *greengageroute.Config, name string, actions Actions, targets Targets) *Service {
	refused := func(string) {}
	return New(Parts{
		Entry: name, State: staticState{config}, Targets: targets, Actions: actions,
		Chats: greengageroute.NewAdmission(1, refused), Calls: greengageroute.NewAdmission(64, refused),
		Quarantine: greengageroute.NewQuarantine(greengageroute.QuarantineCrashLimit), Router: greengageroute.NewRouter(), Flights: NewFlights(), Counters: new(expvar.Map).Init(), Log: logr.Discard(),
	})
}

// deposit sends an action through an entry and returns what it was told.
func deposit(service *Service, key, body string) string {
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/services/ledger/deposits"}}
	ctx := context.WithValue(context.Background(), exchangeKey{}, &exchange{request: request})
	bearer := "Bearer key"
	payload := &gencaller.CallPayload{Authorization: &bearer, IdempotencyKey: &key, Service: "ledger", Path: "deposits"}
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
	// halted is one action whose first entry is halted at a point, killed or
	// woken later, while the caller sends it again through a second entry.
	halted struct {
		told   []told
		writes int
		ledger *ledger
	}

	// told is one thing that a caller was told, and what was recorded by then.
	told struct {
		body    string
		outcome string
		records int
	}
)

func (halted *halted) tell(body, outcome string) {
	halted.told = append(halted.told, told{body: body, outcome: outcome, records: halted.ledger.count(body)})
}

func (ledger *ledger) count(body string) int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.records[body]
}

func haltAt(point string) *stop {
	return &stop{point: point, hit: make(chan struct{}), wake: make(chan struct{})}
}

func haltAfter(length time.Duration) *stop {
	return &stop{after: time.Now().Add(length), hit: make(chan struct{}), wake: make(chan struct{})}
}

func runHalted(config *greengageroute.Config, stop *stop, killed bool, secondBody string) *halted {
	memory := table.NewMemory()
	book := &ledger{records: map[string]int{}}
	first := newClaimer(config, "first", table.NewActions(&haltedTable{Memory: memory, stop: stop}), &haltedTargets{ledger: book, stop: stop})
	second := newClaimer(config, "second", table.NewActions(memory), &haltedTargets{ledger: book})
	result := &halted{ledger: book}
	outcomes := make(chan string, 1)
	go func() { outcomes <- deposit(first, "k", "41") }()
	halted := false
	select {
	case <-stop.hit:
		halted = true
	case outcome := <-outcomes: // the action does not pass this point
		result.tell("41", outcome)
	}
	result.tell(secondBody, deposit(second, "k", secondBody))
	if !killed && halted {
		close(stop.wake)
		result.tell("41", <-outcomes)
	}
	time.Sleep(time.Minute)
	result.tell("41", deposit(second, "k", "41"))
	_, result.writes = memory.Counts()
	if killed && halted {
		// A killed entry never goes on; here it does once all is counted, so
		// that its goroutines end.
		close(stop.wake)
		time.Sleep(time.Minute)
	}
	return result
}

// violations lists what must never be.
func (halted *halted) violations() []string {
	var broken []string
	recorded := 0
	for _, told := range halted.told {
		recorded = max(recorded, told.records)
		if told.outcome == greengageroute.OutcomeDone && told.records == 0 {
			broken = append(broken, fmt.Sprintf("%s told done, not recorded", told.body))
		}
		if told.outcome == greengageroute.OutcomeNotRun && told.records > 0 {
			broken = append(broken, fmt.Sprintf("%s told not run, recorded", told.body))
		}
	}
	if recorded > 1 || halted.last("41").records > 0 && halted.last("42").records > 0 {
		broken = append(broken, "recorded twice")
	}
	return broken
}

// last returns what was told last of a body.
func (halted *halted) last(body string) told {
	found := told{}
	for _, told := range halted.told {
		if told.body == body {
			found = told
		}
	}
	return found
}

func TestActionsRunAtMostOnceWhereverAnEntryHalts(t *testing.T) {
	for _, asks := range []bool{false, true} {
		for _, killed := range []bool{false, true} {
			for _, point := range haltPoints {
				for _, body := range []string{"41", "42"} {
					name := fmt.Sprintf("asks=%t/killed=%t/%s/body=%s", asks, killed, point, body)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							result := runHalted(claimConfig(t, asks), haltAt(point), killed, body)
							report(t, result)
						})
					})
				}
			}
		}
	}
}

// TestClaimWhoseReplyIsLostIsClosed has the claim take effect while its reply and
// all later ones are lost: the caller is told not run, and may send again.
func TestClaimWhoseReplyIsLostIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := &ledger{records: map[string]int{}}
		halted := &haltedTable{Memory: table.NewMemory(), lossy: true}
		service := newClaimer(claimConfig(t, false), "first", table.NewActions(halted), &haltedTargets{ledger: book})
		if told := deposit(service, "k", "41"); told != greengageroute.OutcomeNotRun || book.count("41") > 0 {
			t.Errorf("told %s with %d records, want not run and none", told, book.count("41"))
		}
		halted.lossy = false
		time.Sleep(time.Minute)
		if told := deposit(service, "k", "41"); told != greengageroute.OutcomeDone || book.count("41") != 1 {
			t.Errorf("sent again: told %s with %d records, want done and one", told, book.count("41"))
		}
	})
}

// TestCloseLeavesAnotherClaimAlone closes a claim that never took effect, after
// another entry's claim of the same key did.
func TestCloseLeavesAnotherClaimAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		actions := table.NewActions(table.NewMemory())
		service := newClaimer(claimConfig(t, false), "first", actions, &haltedTargets{})
		other, _, err := actions.Claim(ctx, greengageroute.Action{Workspace: "counters", Key: "k"})
		if err != nil {
			t.Fatal(err)
		}
		service.close(ctx, table.StoredAction{Action: greengageroute.Action{Workspace: "counters", Key: "k", Attempt: "lost"}})
		if found, err := actions.Get(ctx, "counters", "k"); err != nil || found.Attempt != other.Attempt || found.Version != other.Version {
			t.Errorf("the row is %+v, want that of the other claim (%v)", found.Action, err)
		}
	})
}

// TestShareOfUnknownOutcomes kills the entry at each millisecond of an action:
// the outcome may stay unknown only from the claim's effect to the answer's
// storing, and, if the target is asked, only until the action's effect.
func TestShareOfUnknownOutcomes(t *testing.T) {
	const length = 2*(2*tableDelay) + 2*targetDelay
	for _, test := range []struct {
		name        string
		asks        bool
		wantUnknown time.Duration // part of an action's time
	}{
		{"target not asked", false, 2*tableDelay + 2*targetDelay},
		{"target asked", true, tableDelay + targetDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			unknown, kills, writes := 0, 0, 0
			for at := time.Duration(0); at < length; at += time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					result := runHalted(claimConfig(t, test.asks), haltAfter(at), true, "41")
					report(t, result)
					kills++
					if result.last("41").outcome == greengageroute.OutcomeUnknown {
						unknown++
					}
				})
			}
			synctest.Test(t, func(t *testing.T) {
				writes = runHalted(claimConfig(t, test.asks), haltAfter(time.Hour), false, "41").writes
			})
			t.Logf("%d writes an action, outcome unknown after %d of %d kills", writes, unknown, kills)
			if most := int(test.wantUnknown / time.Millisecond); writes > 2 || unknown > most {
				t.Errorf("got %d writes and %d unknown, want at most 2 and %d", writes, unknown, most)
			}
		})
	}
}

func report(t *testing.T, result *halted) {
	t.Helper()
	for _, broken := range result.violations() {
		t.Errorf("%s: %+v", broken, result.told)
	}
}
