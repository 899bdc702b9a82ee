package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	entries        = 3
	badRowTime     = 45 * time.Second
	restartDelay   = 500 * time.Millisecond
	keptChannels   = 40
	pauseOfCallers = 50 * time.Millisecond
	// maxLost is how many requests the rule lets the machines leave without an answer.
	maxLost = 3
)

// badRow has a row in the list of runners that another writer wrote, with a field missing. It
// names no runner to use. The platform restarts entries that end. Requests that were passed on
// to a sound runner from kept channels must be answered.
func badRow(world *world) (held bool, err error) {
	world.putConfig(1, []any{route("deposit-post", "/deposits/", "non_idempotent", time.Second, 1), streamRoute()}, []any{ledgerService(), engineService(false)}, []any{tenantWith(tenant, theKey)})
	runners, err := world.startLedger()
	if err != nil {
		return false, err
	}
	all := &engines{world: world, byID: map[string]*engine{}}
	for domain := range domains {
		for i := range runnersPerDomain {
			if err := all.start(fmt.Sprintf("i-%d-%d", domain, i), "a", fmt.Sprintf("a-d%d", domain)); err != nil {
				return false, err
			}
		}
	}
	if world.trouble {
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return false, err
		}
		// The group has no epoch.
		world.store.Put("servers", "i-other", map[string]any{
			"service": pool, "address": address, "zone": "a", "version": "v1", "slots": engineSlots, "state": "ready", "cold_remaining_ms": 0,
			"sequence": 4, "born": time.Now().UnixMilli(), "domain": "a-d0", "stage": "unified", "staged": []string{model},
			"models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}},
			"group":  map[string]any{"name": "g7", "rank": 1, "state": "ready"},
		})
		world.record("the list has a row of another writer, whose group has no epoch")
	}
	var started []*entry
	stop := make(chan struct{})
	var running sync.WaitGroup
	exits := make([]atomic.Int64, entries)
	for i := range entries {
		added, err := world.newEntry(fmt.Sprintf("frontend-a-%d", i), fmt.Sprintf("127.0.0.%d", 11+i))
		if err == nil {
			err = added.start(true)
		}
		if err != nil {
			return false, err
		}
		started = append(started, added)
		running.Go(func() { added.keepRunning(&exits[i], stop) })
	}
	if err := started[0].awaitReady(); err != nil {
		return false, err
	}
	answered := make([]int, keptChannels)
	lost := make([]int, keptChannels)
	for i := range keptChannels {
		running.Go(func() {
			answered[i], lost[i] = sendDeposits(world, started[i%entries], runners, i, stop)
		})
	}
	time.Sleep(badRowTime)
	close(stop)
	running.Wait()
	allAnswered, allLost, exited := 0, 0, ""
	for i := range keptChannels {
		allAnswered, allLost = allAnswered+answered[i], allLost+lost[i]
	}
	for i := range entries {
		exited += fmt.Sprintf("%s: %d, %s; ", started[i].name, exits[i].Load(), started[i].panicLine())
	}
	world.record("in %s: %d deposits answered with 200; %d passed on to a runner from a kept channel that was closed without an answer; %d groups are open", badRowTime, allAnswered, allLost, all.groups())
	world.record("entries that ended by themselves: %s", exited)
	if allAnswered == 0 {
		return false, fmt.Errorf("no deposit was answered")
	}
	return allLost <= maxLost, nil
}

// keepRunning restarts the entry after a short delay whenever it ends.
func (entry *entry) keepRunning(exits *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-entry.exited:
			exits.Add(1)
			entry.world.record("entry %s has ended by itself", entry.name)
		}
		time.Sleep(restartDelay)
		if err := entry.start(false); err != nil {
			entry.world.record("entry %s not started: %v", entry.name, err)
			return
		}
	}
}

// sendDeposits sends one deposit after the other on kept channels. It returns how many were
// answered, and how many a runner got from a channel that had been used before and was closed
// without an answer.
func sendDeposits(world *world, entry *entry, runners []*runner, caller int, stop <-chan struct{}) (answered, lost int) {
	var kept *channel
	used := 0 // requests answered on the channel
	for number := 0; ; number++ {
		select {
		case <-stop:
			return answered, lost
		case <-time.After(pauseOfCallers):
		}
		if kept == nil {
			opened, err := openChannel(entry.callers)
			if err != nil {
				continue
			}
			kept, used = opened, 0
		}
		id := fmt.Sprintf("deposit-%d-%d", caller, number)
		status, _, err := kept.call(http.MethodPost, "/deposits/2f", id, theKey, time.Second, []byte("deposit"))
		if err == nil {
			used++
			if status == http.StatusOK {
				answered++
			}
			continue
		}
		kept.Close()
		kept = nil
		runs := 0
		for _, runner := range runners {
			runs += runner.ran(id)
		}
		if used > 0 && runs > 0 {
			lost++
			world.record("request %s on a kept channel of %s: passed on to a runner, %v", id, entry.name, err)
		}
	}
}
