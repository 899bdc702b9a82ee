package integration

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var earlierBuild = flag.String("earlier-build", "", "path of the program of an earlier build, which also replaces entries in the calm soak")

type (
	// buildsTest is a deployment whose entries are replaced one after the other under load.
	buildsTest struct {
		*deployment
		inRotation []atomic.Bool // by entry: the balancer sends callers to it

		mu      sync.Mutex
		results []callerResult
	}
)

// balance takes entries out of the rotation that fail two health checks in a row.
func (builds *buildsTest) balance(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	misses := make([]int, len(builds.entries))
	for {
		for i, entry := range builds.entries {
			misses[i]++
			if response, err := client.Get("http://" + entry.readyAddress + "/ready"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			}
			builds.inRotation[i].Store(misses[i] < 2)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// runCaller sends one request after the other, each entry's on a kept connection.
func (builds *buildsTest) runCaller(number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 7 * time.Second}
	defer client.CloseIdleConnections()
	for sequence := 0; ; sequence++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		index := (number + sequence) % len(builds.entries)
		if !builds.inRotation[index].Load() {
			continue
		}
		id, path := fmt.Sprintf("b%d-%d", number, sequence), [...]string{"/chat/x", "/post/x", "/get/x"}[sequence%3]
		status, body := sendRequest(client, builds.entries[index], "POST", path, id, "key-1")
		builds.mu.Lock()
		builds.results = append(builds.results, callerResult{path, id, status, body})
		builds.mu.Unlock()
	}
}

// replace stops an entry and starts it again with a program.
func (builds *buildsTest) replace(entry *entryProcess, program string) {
	stopped := entry.cmd
	_ = stopped.Process.Signal(syscall.SIGTERM)
	select {
	case <-entry.exited:
	case <-time.After(builds.grace):
		builds.t.Errorf("%s (%s) still runs at the end of its grace period", entry.name, entry.program)
		_ = stopped.Process.Kill()
		<-entry.exited
	}
	if code := stopped.ProcessState.ExitCode(); code != 0 {
		builds.t.Errorf("%s (%s) ended with %s", entry.name, entry.program, stopped.ProcessState)
	}
	entry.program = program
	builds.startProcess(entry)
	builds.waitReady()
}

// requireConfig changes the keys, and checks that all entries follow within their bound.
func (builds *buildsTest) requireConfig(version, wantStatus int, keys ...string) {
	builds.store.Put("op", "config", platformConfig(version, keys...))
	time.Sleep(drainBound)
	for _, entry := range builds.entries {
		if status, body := builds.send(entry, "GET", "/get/x", builds.nextAttemptID(), "key-2"); status != wantStatus {
			builds.t.Errorf("%s (%s) answers the second key with %d, want %d by config %d: %s", entry.name, entry.program, status, wantStatus, version, body)
		}
	}
}

// memberships returns the groups of all targets.
func (builds *buildsTest) memberships() (all []string) {
	for _, target := range builds.modelTargets {
		all = append(all, target.ID+" in "+target.Membership())
	}
	return all
}

// check reports results that callers must not see.
func (builds *buildsTest) check() {
	counts := map[int]int{}
	for _, result := range builds.results {
		counts[result.status]++
		runs := 0
		for _, target := range slices.Concat(builds.modelTargets, builds.plainTargets) {
			runs += target.Runs(result.id)
		}
		switch {
		case result.path == "/post/x" && runs > 1:
			builds.t.Errorf("ran %d times: %+v", runs, result)
		case result.isCut():
			builds.t.Errorf("not a whole answer: %+v", result)
		case result.status == http.StatusOK:
		case result.status == http.StatusServiceUnavailable && (runs == 0 || result.path != "/post/x"):
		case result.status == 0 && runs == 0: // closed unread
		default:
			builds.t.Errorf("neither a whole answer nor a true refusal, %d runs: %+v", runs, result)
		}
	}
	builds.t.Logf("%d requests, by status: %v", len(builds.results), counts)
	if counts[http.StatusOK] < len(builds.results)*9/10 {
		builds.t.Errorf("%d of %d requests were answered, want nine of ten", counts[http.StatusOK], len(builds.results))
	}
	for _, violation := range builds.peers.Violations() {
		builds.t.Error(violation)
	}
}

// Guards against builds that break a rule while they run beside each other: requests without an
// answer, groups that move, processes that end, keys that one build follows later. Run by hand:
//
//	go test ./integration -run TwoBuilds -earlier-build=/tmp/earlier/greengageroute
func TestUsersPlatformTwoBuilds(t *testing.T) {
	if *earlierBuild == "" {
		t.Skip("needs an earlier build; see -earlier-build")
	}
	for _, test := range []struct{ name, from, to string }{
		{"the earlier build is replaced", *earlierBuild, ""},
		{"this build is replaced by the earlier one", "", *earlierBuild},
	} {
		t.Run(test.name, func(t *testing.T) {
			builds := &buildsTest{deployment: newEmptyDeployment(t), inRotation: make([]atomic.Bool, 3)}
			builds.program = test.from
			builds.startTargetsAndEntries(7, len(builds.inRotation))
			for index, entry := range builds.entries {
				builds.requireStream(entry)
				builds.inRotation[index].Store(true)
			}
			before := builds.memberships()
			stop := make(chan struct{})
			var loops sync.WaitGroup
			loops.Go(func() { builds.balance(stop) })
			for number := range 6 {
				loops.Go(func() { builds.runCaller(number, stop) })
			}
			time.Sleep(time.Second)
			for index, entry := range builds.entries {
				builds.replace(entry, test.to)
				builds.requireConfig(10+10*index, http.StatusOK, "key-1", "key-2")
				builds.requireConfig(15+10*index, http.StatusUnauthorized, "key-1")
			}
			close(stop)
			loops.Wait()
			builds.check()
			if after := builds.memberships(); !slices.Equal(before, after) {
				t.Errorf("groups were moved:\n%v\nbefore:\n%v", after, before)
			}
			for _, entry := range builds.entries {
				builds.requireStream(entry)
			}
		})
	}
}

// Guards against callers of an entry without a link to its targets who are refused, or whose
// answers are cut, because the entries that help it run another build.
func TestUsersPlatformTwoBuildsForward(t *testing.T) {
	if *earlierBuild == "" {
		t.Skip("needs an earlier build; see -earlier-build")
	}
	for _, test := range []struct{ name, isolated, helpers string }{
		{"the earlier build is helped", *earlierBuild, ""},
		{"the earlier build helps", "", *earlierBuild},
	} {
		t.Run(test.name, func(t *testing.T) {
			builds := &buildsTest{deployment: newEmptyDeployment(t), inRotation: make([]atomic.Bool, 3)}
			links := &targetLinks{t: t, store: builds.store.Handler(), proxies: map[string]*tcpProxy{}}
			view := httptest.NewServer(links)
			t.Cleanup(view.Close)
			direct := builds.storeAddress
			builds.storeAddress, builds.program = strings.TrimPrefix(view.URL, "http://"), test.isolated
			builds.entries = append(builds.entries, builds.startEntryIn("b", "entry-0"))
			builds.storeAddress, builds.program = direct, test.helpers
			builds.startTargetsAndEntries(7, 2)
			for _, entry := range builds.entries {
				builds.requireStream(entry)
			}
			before := builds.memberships()
			builds.inRotation[0].Store(true) // callers use the entry without targets alone
			links.apply(func(proxy *tcpProxy) { proxy.setBlocked(true) })
			run := func(firstCaller int, span time.Duration) {
				stop := make(chan struct{})
				var callers sync.WaitGroup
				for number := range 6 {
					callers.Go(func() { builds.runCaller(firstCaller+number, stop) })
				}
				time.Sleep(span)
				close(stop)
				callers.Wait()
			}
			run(0, adaptTime)
			builds.results = nil
			run(6, 4*time.Second)
			builds.check()
			if after := builds.memberships(); !slices.Equal(before, after) {
				t.Errorf("groups were moved:\n%v\nbefore:\n%v", after, before)
			}
		})
	}
}
