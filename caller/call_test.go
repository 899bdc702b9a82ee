package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	gencaller "greengageroute.example/greengageroute/gen/caller"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
)

// halfFaulty are two targets, of which one fails until a time.
type halfFaulty struct {
	TargetClient
	faulty     string
	soundAfter time.Time
	calls      int // at the faulty target, while it is faulty
	sound      int // at it, later
}

func (targets *halfFaulty) Call(_ context.Context, address string, _ target.ServiceCall) (greengageroute.Answer, error) {
	time.Sleep(targetDelay)
	switch {
	case address != targets.faulty:
	case time.Now().Before(targets.soundAfter):
		targets.calls++
		return greengageroute.Answer{}, &target.AnswerLostError{Address: address, Cause: errors.New("the answer is too long")}
	default:
		targets.sound++
	}
	return greengageroute.Answer{Status: http.StatusOK}, nil
}

// TestFaultyTargetComesLast guards against callers that meet a faulty target of a plain service
// again and again although another target is sound, and against a target that stays last once
// it is sound.
func TestFaultyTargetComesLast(t *testing.T) {
	const faultyTime, soundTime, interval = 10 * time.Minute, 2 * time.Minute, 100 * time.Millisecond
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text := strings.Replace(fmt.Sprintf(claimFile, "", greengageroute.HashKey("key")), `{address: "10.0.0.1:1", data-centre: ne}`, `{address: "10.0.0.1:1", data-centre: ne}, {address: "10.0.0.2:1", data-centre: ne}`, 1)
				config, err := greengageroute.NewConfig(1, map[string]greengageroute.FileVersion{"base": {Name: "base", Version: 1, Revision: 1, Text: text}})
				if err != nil {
					t.Fatal(err)
				}
				targets := &halfFaulty{faulty: greengageroute.Rendezvous("counters", []string{"10.0.0.1:1", "10.0.0.2:1"}, 1)[0], soundAfter: time.Now().Add(faultyTime)}
				service := newTestService(config, "entry", table.NewActions(table.NewMemory()), targets)
				lost := 0
				for number := 0; time.Since(targets.soundAfter) < soundTime; number++ {
					request := &http.Request{Method: method, URL: &url.URL{Path: "/services/ledger/x"}}
					ctx := context.WithValue(t.Context(), exchangeKey{}, &exchange{holding: &intake.Holding{}, request: request})
					bearer, key := "Bearer key", fmt.Sprint(number)
					if _, _, err := service.Call(ctx, &gencaller.CallPayload{Authorization: &bearer, IdempotencyKey: &key, Service: "ledger", Path: "x"}, bodyOf("")); err != nil {
						lost++
					}
					time.Sleep(interval)
				}
				// The first call, and one after each rest: 1, 2, 4, 8 and 16 s, then 30 s each.
				maxCalls := 6 + int(faultyTime/(30*time.Second))
				t.Logf("%d calls met the faulty target, %d were lost", targets.calls, lost)
				if targets.calls > maxCalls || lost > maxCalls || targets.sound == 0 {
					t.Errorf("%d calls met the faulty target and %d were lost, want at most %d; %d calls reached it once it was sound", targets.calls, lost, maxCalls, targets.sound)
				}
			})
		})
	}
}
