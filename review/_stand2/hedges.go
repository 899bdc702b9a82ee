package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	routeAttempts = 2
	// hangShare is the share of its requests that the grey runner doesn't answer, and greyTime
	// how long a runner is grey before the next one is.
	hangShare   = 0.4
	greyTime    = 6 * time.Second
	hedgedCalls = 1500
	callEvery   = 33 * time.Millisecond
	// cutTime is how long the entry is cut off at a time, and cutEvery how often.
	cutTime  = 8 * time.Second
	cutEvery = 10 * time.Second
)

// hedgedTwice cuts an entry off from all runners, while one runner of three at a time leaves part
// of its requests unanswered, and counts the runners of each request.
func hedgedTwice(world *world) (broken bool, err error) {
	world.putConfig(3, routeAttempts)
	var runners []*runner
	for i := range 3 {
		started, err := world.startRunner(fmt.Sprint("i-desk-", i), "desk", string(rune('a'+i)))
		if err != nil {
			return false, err
		}
		runners = append(runners, started)
	}
	var grey atomic.Int64 // index of the grey runner
	grey.Store(-1)
	for i, runner := range runners {
		runner.answer = func(_ http.ResponseWriter, request *http.Request) bool {
			if grey.Load() != int64(i) || rand.Float64() >= hangShare {
				return false
			}
			<-request.Context().Done()
			return true
		}
	}
	links := newLinks(world.store.Handler())
	view, err := serve(links)
	if err != nil {
		return false, err
	}
	cutOff, err := world.startEntry("frontend-1", "a", view)
	if err != nil {
		return false, err
	}
	for i, zone := range []string{"b", "b", "c", "c"} {
		if _, err := world.startEntry(fmt.Sprint("frontend-", i+2), zone, world.address); err != nil {
			return false, err
		}
	}
	if err := world.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var calls sync.WaitGroup
	began, cuts := time.Now(), world.trouble && os.Getenv("ONLY_GREY") != "1"
	for call, isCut := 0, false; call < hedgedCalls; call++ {
		if due := cuts && time.Since(began)%cutEvery < cutTime; due != isCut {
			isCut = due
			links.setCut(due)
			world.record.printf("%s is cut off from all runners: %t", cutOff.name, due)
		}
		if next := int64(time.Since(began)/greyTime) % int64(len(runners)); world.trouble && grey.Swap(next) != next {
			world.record.printf("%s leaves %.0f in 100 of its requests unanswered", runners[next].id, 100*hangShare)
		}
		calls.Go(func() {
			id := fmt.Sprint("c-", call)
			outcome, _ := tryOnce(cutOff.callers, id)
			world.record.printf("sent GET %s, answered %s", id, outcome)
		})
		time.Sleep(callEvery)
	}
	calls.Wait()
	time.Sleep(time.Second)
	over := 0
	for call := range hedgedCalls {
		id, ran := fmt.Sprint("c-", call), 0
		for _, runner := range runners {
			if runner.runsOf(id) > 0 {
				ran++
			}
		}
		if ran > routeAttempts {
			over++
			world.record.printf("%s ran on %d runners, its route allows %d", id, ran, routeAttempts)
		}
	}
	world.record.printf("%d requests ran on more runners than their route's attempts", over)
	fmt.Printf("%d requests ran on more runners than their route's attempts\n", over)
	return over > 3, nil
}
