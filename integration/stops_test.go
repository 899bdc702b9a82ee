package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/platform/standin"
)

const (
	// lossSlack is the time after a request's last byte from which it counts as read.
	lossSlack = 200 * time.Millisecond
	// lateSend is the time after SIGTERM up to which a request may be cut in the last sixth
	// of the grace period.
	lateSend = 3 * time.Second
	// callDeadline is how long the callers wait from the head of their requests on.
	callDeadline = 6 * time.Second
	// notSent stands for the time of a request that could not be sent.
	notSent = -time.Hour
)

type (
	// stopCall is a request on a connection of its own around the stop of an entry. Times
	// are relative to SIGTERM.
	stopCall struct {
		path     string
		openAt   time.Duration
		sendAt   time.Duration
		bodyTime time.Duration // between the head and the last byte of the body
		work     time.Duration
		usedConn bool // the connection has carried a request before
	}

	// stopResult is what the caller of a stopCall saw.
	stopResult struct {
		stopCall
		id       string
		refused  bool          // the connection could not be opened
		sentAt   time.Duration // of the last byte, or notSent
		endedAt  time.Duration
		status   int // 0: the connection ended before the head of an answer
		complete bool
		closes   bool          // the answer says that the connection is closed
		body     string        // of an answer that isn't a success
		wait     time.Duration // asked for by Retry-After
	}

	// stopping is an entry under test and the time of its SIGTERM.
	stopping struct {
		*deployment
		entry     *entryProcess
		signalled time.Time
		grace     time.Duration
	}
)

// run carries out a call.
func (stopping *stopping) run(call stopCall, id string) stopResult {
	result := stopResult{stopCall: call, id: id, sentAt: notSent}
	time.Sleep(time.Until(stopping.signalled.Add(call.openAt)))
	conn, err := net.DialTimeout("tcp4", stopping.entry.callerAddress, time.Second)
	if err != nil {
		result.refused = true
		return result
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if call.usedConn {
		_, _ = io.WriteString(conn, stopping.head("/get/warm", id+"-warm", 0)+"x")
		if !result.readWhole(reader) {
			result.refused = true
			return result
		}
	}
	time.Sleep(time.Until(stopping.signalled.Add(call.sendAt)))
	head := stopping.head(call.path, id, call.work)
	if call.bodyTime > 0 {
		_, err = io.WriteString(conn, head)
		time.Sleep(call.bodyTime)
		head = ""
	}
	if err == nil {
		_, err = io.WriteString(conn, head+"x")
	}
	if err == nil {
		result.sentAt = time.Since(stopping.signalled)
	}
	result.readWhole(reader)
	result.endedAt = time.Since(stopping.signalled)
	return result
}

// head returns the head of a request with a body of one byte.
func (stopping *stopping) head(path, id string, work time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nAuthorization: Bearer key-1\r\nX-Greengageroute-Model: m\r\n"+
		"X-Greengageroute-Token-Counts: 100,60\r\nX-Greengageroute-Deadline-Ms: %d\r\n%s: %d\r\nContent-Length: 1\r\n\r\n",
		path, platform.HeaderAttemptID, id, callDeadline.Milliseconds(), standin.HeaderWork, work.Milliseconds())
}

// readWhole reads an answer, and reports whether a whole one came.
func (result *stopResult) readWhole(reader *bufio.Reader) bool {
	result.status, result.complete, result.closes = 0, false, false
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	result.status, result.complete, result.closes = response.StatusCode, err == nil, response.Close
	if result.status != http.StatusOK {
		result.body = string(body)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 without the header
		result.wait = time.Duration(seconds * float64(time.Second))
	}
	return result.complete
}

func (stopping *stopping) runs(id string) (runs int) {
	for _, target := range append(append([]*standin.Target{}, stopping.modelTargets...), stopping.plainTargets...) {
		runs += target.Runs(id)
	}
	return runs
}

// check reports results that callers must not see.
func (stopping *stopping) check(result stopResult) {
	runs := stopping.runs(result.id)
	mayBeCut := result.sentAt <= lateSend && result.endedAt >= stopping.grace*5/6 || result.endedAt >= result.sendAt+callDeadline
	switch {
	case runs > 0 && result.status == http.StatusServiceUnavailable:
		stopping.t.Errorf("refused as not run, and has run: %+v", result)
	case runs > 1 && result.path == "/post/x":
		stopping.t.Errorf("ran %d times: %+v", runs, result)
	case result.complete || result.refused || result.sentAt == notSent:
	case runs > 0 && (result.path != "/chat/x" || !mayBeCut):
		stopping.t.Errorf("ran and was cut without a whole answer: %+v", result)
	case runs == 0 && result.endedAt > result.sentAt+lossSlack:
		stopping.t.Errorf("was read and got neither an answer nor a refusal: %+v", result)
	}
}

// stopCalls returns calls at all times of a grace period.
func stopCalls(grace time.Duration) (calls []stopCall) {
	for step := range 16 {
		sendAt := grace * time.Duration(step) / 16
		for index, path := range []string{"/post/x", "/get/x", "/chat/x"} {
			work := grace * time.Duration(1+(step+index)%6) / 16
			calls = append(
				calls,
				stopCall{path: path, openAt: -100 * time.Millisecond, sendAt: sendAt, work: work, usedConn: true},
				stopCall{path: path, openAt: -100 * time.Millisecond, sendAt: sendAt, work: work},
				stopCall{path: path, openAt: min(sendAt, grace/4), sendAt: sendAt, work: work},
				stopCall{path: path, openAt: min(sendAt, grace/4), sendAt: sendAt, bodyTime: grace / 2, work: work},
			)
		}
	}
	return calls
}

// Guards against requests that an entry takes late in the grace period of its stop, passes on
// to a target and cuts at the end without an answer.
func TestUsersPlatformStopAnswersWhatItTook(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			deployment := newEmptyDeployment(t)
			deployment.grace = grace
			deployment.startTargetsAndEntries(7, 2)
			for _, entry := range deployment.entries {
				deployment.requireStream(entry)
			}
			stopping := &stopping{deployment: deployment, entry: deployment.entries[0], signalled: time.Now().Add(500 * time.Millisecond), grace: grace}
			var callers sync.WaitGroup
			var mu sync.Mutex
			var results []stopResult
			for number, call := range stopCalls(grace) {
				callers.Go(func() {
					result := stopping.run(call, fmt.Sprintf("%s-%d", strings.ReplaceAll(call.path, "/", ""), number))
					mu.Lock()
					defer mu.Unlock()
					results = append(results, result)
				})
			}
			time.Sleep(time.Until(stopping.signalled))
			_ = stopping.entry.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-stopping.entry.exited:
			case <-time.After(grace):
				t.Error("the entry still runs at the end of the grace period")
				_ = stopping.entry.cmd.Process.Kill()
			}
			exitedAt := time.Since(stopping.signalled)
			callers.Wait()
			answered, unread := 0, 0
			for _, result := range results {
				stopping.check(result)
				switch {
				case result.complete:
					answered++
				case stopping.runs(result.id) == 0:
					unread++
				}
			}
			t.Logf("%d calls, %d answered, %d closed unread, exit after %s", len(results), answered, unread, exitedAt.Round(10*time.Millisecond))
			if answered == 0 {
				t.Error("no call was answered")
			}
		})
	}
}

// Guards against an entry that runs on until the end of its grace period, though it has no
// request left, because callers hold connections that they don't use.
func TestUsersPlatformStopEndsWithoutRequests(t *testing.T) {
	const acceptTime, slack = 2500 * time.Millisecond, 1500 * time.Millisecond
	deployment := newDeployment(t, 4, 2)
	deployment.requireStream(deployment.entries[0])
	stopping := &stopping{deployment: deployment, entry: deployment.entries[0], signalled: time.Now().Add(500 * time.Millisecond), grace: deployment.grace}
	var callers sync.WaitGroup
	for number, openAt := range []time.Duration{-300 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, used := range []bool{false, true} {
			callers.Go(func() {
				stopping.check(stopping.run(stopCall{path: "/post/x", openAt: openAt, sendAt: 7 * time.Second, usedConn: used}, fmt.Sprintf("late-%d-%t", number, used)))
			})
		}
	}
	time.Sleep(time.Until(stopping.signalled))
	_ = stopping.entry.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-stopping.entry.exited:
		t.Logf("exit after %s", time.Since(stopping.signalled).Round(10*time.Millisecond))
	case <-time.After(acceptTime + slack):
		t.Errorf("the entry still runs after %s", acceptTime+slack)
	}
	callers.Wait()
}

// Guards against stopping entries that a SIGHUP, or a second SIGTERM, ends at once with the
// requests that they run.
func TestUsersPlatformSignalsDuringStop(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			deployment := newDeployment(t, 4, 2)
			deployment.requireStream(deployment.entries[0])
			stopping := &stopping{deployment: deployment, entry: deployment.entries[0], signalled: time.Now().Add(500 * time.Millisecond), grace: deployment.grace}
			var callers sync.WaitGroup
			for index, path := range []string{"/post/x", "/get/x", "/chat/x"} {
				callers.Go(func() {
					result := stopping.run(stopCall{path: path, openAt: -200 * time.Millisecond, work: 2 * time.Second}, fmt.Sprint("running-", index))
					if stopping.check(result); result.status != http.StatusOK {
						t.Errorf("not answered: %+v", result)
					}
				})
			}
			time.Sleep(time.Until(stopping.signalled))
			process := stopping.entry.cmd.Process
			_ = process.Signal(syscall.SIGTERM)
			for range 3 {
				time.Sleep(300 * time.Millisecond)
				_ = process.Signal(signal)
			}
			callers.Wait()
			<-stopping.entry.exited
			if code := stopping.entry.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the entry ended with %s", stopping.entry.cmd.ProcessState)
			}
		})
	}
}

// leaseHolder returns the holder in the row of the planner's lease.
func (deployment *deployment) leaseHolder() string {
	var rows struct{ Rows []struct{ Value []byte } }
	getJSON(deployment.t, "http://"+deployment.storeAddress+"/rows-get?table=control&from=planner&target=planner0", &rows)
	if len(rows.Rows) == 0 {
		return ""
	}
	holder, _, _ := strings.Cut(decodeJSON[struct{ Holder string }](deployment.t, rows.Rows[0].Value).Holder, "#")
	return holder
}

// Guards against replicas that nobody repairs while an entry that holds the planner's lease
// finishes its requests and releases the lease at the end of its grace period or not at all.
func TestUsersPlatformStopReleasesLease(t *testing.T) {
	const takeover = 2 * time.Second
	deployment := newDeployment(t, 4, 2)
	deployment.requireStream(deployment.entries[0])
	holder := deployment.entries[0]
	if deployment.leaseHolder() == deployment.entries[1].name {
		holder = deployment.entries[1]
	}
	stopping := &stopping{deployment: deployment, entry: holder, signalled: time.Now().Add(500 * time.Millisecond), grace: deployment.grace}
	var callers sync.WaitGroup
	callers.Go(func() {
		stopping.check(stopping.run(stopCall{path: "/post/x", openAt: -200 * time.Millisecond, work: 5 * time.Second}, "running"))
	})
	time.Sleep(time.Until(stopping.signalled))
	_ = holder.cmd.Process.Signal(syscall.SIGTERM)
	eventually(t, takeover, "the other entry holds the lease", func() bool {
		found := deployment.leaseHolder()
		return found != "" && found != holder.name
	})
	callers.Wait()
}
