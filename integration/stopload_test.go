package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// adaptTime is the time in which the fleet adapts to a cut.
const adaptTime = 3 * time.Second

// sendWithoutPause sends one request after the other on one connection until it is closed, or
// from the given time on, and opens the next connection until that is refused. It waits only as
// long as refusals ask for.
func (stopping *stopping) sendWithoutPause(name string, until time.Time, record func(stopResult)) {
	for number := 0; time.Now().Before(until); {
		conn, err := net.DialTimeout("tcp4", stopping.entry.callerAddress, time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for open := true; open && time.Now().Before(until); number++ {
			result := stopResult{stopCall: stopCall{path: [...]string{"/post/x", "/chat/x", "/get/x"}[number%3]}, id: fmt.Sprint(name, "-", number), sentAt: notSent}
			result.sendAt = time.Since(stopping.signalled)
			if _, err = io.WriteString(conn, stopping.head(result.path, result.id, result.work)+"x"); err == nil {
				result.sentAt = time.Since(stopping.signalled)
			}
			result.readWhole(reader)
			result.endedAt = time.Since(stopping.signalled)
			open = result.complete && !result.closes
			record(result)
			time.Sleep(result.wait)
		}
		conn.Close()
	}
}

// Guards against requests that are lost around a planned stop beside something else: callers
// that send without pause, a change of the config, a store that is away, an entry that reaches
// no target and forwards its requests, or the stop of the entry that it forwards them to.
func TestUsersPlatformStopBesideOthers(t *testing.T) {
	tests := []struct {
		name     string
		isolated bool // the first entry reaches no target
		stopped  int  // the entry that is stopped; callers use the first one
		beside   func(deployment *deployment)
	}{
		{name: "calm", beside: func(*deployment) {}},
		{name: "the config changes", beside: func(deployment *deployment) {
			time.Sleep(500 * time.Millisecond)
			deployment.store.Put("op", "config", platformConfig(20, "key-1", "key-2"))
			time.Sleep(time.Second)
			deployment.store.Put("op", "config", platformConfig(21, "key-1"))
		}},
		{name: "the store is away", beside: func(deployment *deployment) { deployment.store.SetFaults(standin.Faults{Down: true}) }},
		{name: "the store hangs", beside: func(deployment *deployment) { deployment.store.SetFaults(standin.Faults{Hang: true}) }},
		{name: "the entry reaches no target", isolated: true, beside: func(*deployment) {}},
		{name: "the helper of an entry that reaches no target", isolated: true, stopped: 1, beside: func(*deployment) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			deployment := newEmptyDeployment(t)
			links := &targetLinks{t: t, store: deployment.store.Handler(), proxies: map[string]*tcpProxy{}}
			view := httptest.NewServer(links)
			t.Cleanup(view.Close)
			direct := deployment.storeAddress
			deployment.storeAddress = strings.TrimPrefix(view.URL, "http://")
			deployment.entries = append(deployment.entries, deployment.startEntryIn("b", "entry-0"))
			deployment.storeAddress = direct
			deployment.startTargetsAndEntries(7, 2)
			for _, entry := range deployment.entries {
				deployment.requireStream(entry)
			}
			stopping := &stopping{deployment: deployment, entry: deployment.entries[0], signalled: time.Now().Add(time.Second), grace: deployment.grace}
			if test.isolated {
				links.apply(func(proxy *tcpProxy) { proxy.setBlocked(true) })
				stopping.signalled = stopping.signalled.Add(adaptTime)
			}
			stopped := deployment.entries[test.stopped]
			var callers sync.WaitGroup
			var mu sync.Mutex
			var results []stopResult
			for number := range 6 {
				callers.Go(func() {
					stopping.sendWithoutPause(fmt.Sprint("busy-", number), stopping.signalled.Add(stopping.grace), func(result stopResult) {
						mu.Lock()
						defer mu.Unlock()
						if result.sendAt > -time.Second {
							results = append(results, result)
						}
					})
				})
			}
			time.Sleep(time.Until(stopping.signalled))
			_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
			test.beside(deployment)
			select {
			case <-stopped.exited:
			case <-time.After(time.Until(stopping.signalled.Add(stopping.grace))):
				t.Error("the entry still runs at the end of the grace period")
			}
			exitedAt := time.Since(stopping.signalled)
			callers.Wait()
			counts, refusals := map[int]int{}, map[string]int{}
			for _, result := range results {
				counts[result.status]++
				stopping.check(result)
				if result.status == http.StatusServiceUnavailable {
					refusals[result.body]++
				}
				if result.status != http.StatusOK && result.status != http.StatusServiceUnavailable && result.status != 0 {
					t.Errorf("neither a whole answer nor a true refusal, %d runs: %+v", stopping.runs(result.id), result)
				}
			}
			t.Logf("%d requests, by status: %v, exit after %s", len(results), counts, exitedAt.Round(10*time.Millisecond))
			if counts[http.StatusOK] < len(results)*9/10 {
				t.Errorf("%d of %d requests were answered, want nine of ten; refusals: %v", counts[http.StatusOK], len(results), refusals)
			}
		})
	}
}
