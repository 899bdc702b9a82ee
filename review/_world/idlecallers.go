package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	callersPerSecond = 60
	callersTime      = 85 * time.Second
	callerDeadline   = time.Second
	readyInterval    = time.Second
	// stableWindow is stable_window_ms, and minTries how many callers must try in it.
	stableWindow = 3 * time.Second
	minTries     = 7
)

type (
	// caller is one request on a new channel.
	caller struct {
		at       time.Time
		answered bool
	}

	// callers are the requests on new channels and the answers to the balancer's checks.
	callers struct {
		mu     sync.Mutex
		tries  []caller
		ready  []caller // answered: with 200
		opened []*channel
	}
)

// idleCallers has callers open new channels, each for one request, and leave them open. The
// config's idle_timeout_ms says how long they may stay idle. The entry must go on taking new
// channels as long as it says that it is ready.
func idleCallers(world *world) (held bool, err error) {
	world.putConfig(1, []any{route("stock-check", "/stock/", "idempotent", time.Second, 2)}, []any{ledgerService()}, []any{tenantWith(tenant, theKey)})
	if _, err := world.startLedger(); err != nil {
		return false, err
	}
	// Memory and descriptors are limited for each process; the command is the deploy file's.
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, fileDescriptors)
	entry, err := world.startEntry("frontend-a-1", "127.0.0.1", "bash", "-c", limit)
	if err != nil {
		return false, err
	}
	all := &callers{}
	defer all.close()
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Go(func() { all.checkReady(entry, stop) })
	started := time.Now()
	ticker := time.NewTicker(time.Second / callersPerSecond)
	defer ticker.Stop()
	for number := 0; time.Since(started) < callersTime; number++ {
		<-ticker.C
		running.Go(func() { all.call(entry, number, world.trouble) })
		if number%(5*callersPerSecond) == 0 {
			all.report(world, entry)
		}
	}
	close(stop)
	running.Wait()
	all.report(world, entry)
	if entry.hasExited() {
		return false, fmt.Errorf("the entry has exited")
	}
	return all.held(world), nil
}

// call makes one request on a new channel.
func (all *callers) call(entry *entry, number int, staysOpen bool) {
	try := caller{at: time.Now()}
	opened, err := openChannel(entry.callers)
	if err == nil {
		var status int
		status, _, err = opened.call(http.MethodGet, "/stock/2f", fmt.Sprintf("check-%d", number), theKey, callerDeadline, nil)
		try.answered = err == nil && status == http.StatusOK
		if !staysOpen || err != nil {
			opened.Close()
		}
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	all.tries = append(all.tries, try)
	if err == nil && staysOpen {
		all.opened = append(all.opened, opened)
	}
}

// checkReady asks each second whether the entry is ready, on a kept connection.
func (all *callers) checkReady(entry *entry, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case at := <-ticker.C:
			isReady := entry.isReady(client)
			all.mu.Lock()
			all.ready = append(all.ready, caller{at, isReady})
			all.mu.Unlock()
		}
	}
}

func (all *callers) close() {
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, opened := range all.opened {
		opened.Close()
	}
}

// report records the last seconds.
func (all *callers) report(world *world, entry *entry) {
	files, _ := os.ReadDir("/proc/" + strconv.Itoa(entry.command.Process.Pid) + "/fd") // 0 once it has exited
	all.mu.Lock()
	defer all.mu.Unlock()
	tries, answered, ready := 0, 0, 0
	since := time.Now().Add(-5 * time.Second)
	for _, try := range all.tries {
		if try.at.After(since) {
			tries++
			if try.answered {
				answered++
			}
		}
	}
	for _, check := range all.ready {
		if check.at.After(since) && check.answered {
			ready++
		}
	}
	world.record("in the last 5 s: %d callers on new channels, %d answered; %d checks of readiness answered with 200; the entry has %d descriptors, callers keep %d channels", tries, answered, ready, len(files), len(all.opened))
}

// held reports whether there was no window in which the entry said that it is ready, many
// callers tried, and none was answered.
func (all *callers) held(world *world) bool {
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, first := range all.tries {
		from, to := first.at, first.at.Add(stableWindow)
		tries, answered := 0, 0
		for _, try := range all.tries {
			if !try.at.Before(from) && try.at.Before(to) {
				tries++
				if try.answered {
					answered++
				}
			}
		}
		checks, ready := 0, 0
		for _, check := range all.ready {
			if !check.at.Before(from) && check.at.Before(to) {
				checks++
				if check.answered {
					ready++
				}
			}
		}
		if tries >= minTries && answered == 0 && checks >= 2 && ready == checks {
			world.record("from second %.3f, for %s: %d callers tried a new channel, none was answered, and the entry said %d times that it is ready", from.Sub(world.started).Seconds(), stableWindow, tries, ready)
			return false
		}
	}
	return true
}
