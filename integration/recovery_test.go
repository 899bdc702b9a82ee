package integration

import (
	"bufio"
	"flag"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

var recoveryRuns = flag.Int("recovery-runs", 1, "runs of each crash")

// timedStream is a stream and the times at which its events arrived.
type timedStream struct {
	head      string // the target that began it
	status    int
	startedAt time.Time
	events    []time.Time
	whole     bool
}

// read requests a stream and reads it to its end.
func (stream *timedStream) read(client *http.Client, entry *entryProcess, id string) {
	stream.startedAt = time.Now()
	request, err := newCallerRequest(entry, "POST", "/chat/x", id, "key-1")
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	stream.status, stream.head = response.StatusCode, response.Header.Get("X-Greengageroute-Server-Signature")
	body := strings.Builder{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		body.WriteString(scanner.Text() + "\n")
		if strings.HasPrefix(scanner.Text(), "id:") {
			stream.events = append(stream.events, time.Now())
		}
	}
	stream.whole = body.String() == expectedStream()
}

// pauseAfter returns the longest pause between two events from a moment on; false if the
// stream didn't run then.
func (stream *timedStream) pauseAfter(moment time.Time) (pause time.Duration, found bool) {
	if stream.startedAt.After(moment) || len(stream.events) == 0 || stream.events[0].After(moment) {
		return 0, false
	}
	last := moment
	for _, event := range stream.events {
		if event.After(moment) {
			pause, last, found = max(pause, event.Sub(last)), event, true
		}
	}
	return pause, found
}

// TestRecoveryFromCrashes guards against streams that are lost in a true crash, and measures
// how long running streams pause, and until the replica is open again. For figures:
//
//	go test ./integration -run RecoveryFromCrashes -recovery-runs 5 -v
func TestRecoveryFromCrashes(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, test := range []struct {
		name  string
		crash func(head, member *standin.Target)
	}{
		{"head is killed", func(head, _ *standin.Target) { head.Crash() }},
		{"head goes dark", func(head, _ *standin.Target) { head.Hang(standin.RowLapse) }},
		{"member goes dark", func(_, member *standin.Target) { member.Hang(standin.RowLapse) }},
		{"head restarts at once", func(head, _ *standin.Target) { head.RestartAtOnce() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range *recoveryRuns {
				measureRecovery(t, test.crash)
			}
		})
	}
}

func measureRecovery(t *testing.T, crash func(head, member *standin.Target)) {
	deployment := newDeployment(t, 7, 2) // two groups of three and a spare
	deployment.requireStream(deployment.entries[0])
	serving := func() (heads []*standin.Target) {
		for _, target := range deployment.modelTargets {
			if target.Serves() {
				heads = append(heads, target)
			}
		}
		return heads
	}
	deployment.waitFor("two groups are open", func() bool { return len(serving()) == 2 })
	var mu sync.Mutex
	var streams []*timedStream
	var callers sync.WaitGroup
	ended := make(chan struct{})
	for caller := range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 7 * time.Second}
			defer client.CloseIdleConnections()
			for number := 0; ; number++ {
				select {
				case <-ended:
					return
				default:
				}
				stream := &timedStream{}
				stream.read(client, deployment.entries[caller%2], strings.Repeat("r", caller+1)+"-"+time.Now().Format(time.RFC3339Nano))
				mu.Lock()
				streams = append(streams, stream)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	head := serving()[0]
	name, epoch, _ := head.Place()
	member := deployment.modelTargets[slices.IndexFunc(deployment.modelTargets, func(other *standin.Target) bool {
		group, otherEpoch, _ := other.Place()
		return other != head && group == name && otherEpoch == epoch
	})]
	crashedAt := time.Now()
	crash(head, member)
	opened := eventually(t, startTimeout, "both groups serve again", func() bool { return len(serving()) == 2 })
	time.Sleep(500 * time.Millisecond)
	close(ended)
	callers.Wait()
	var pauses []time.Duration
	cut, failed := 0, 0
	for _, stream := range streams {
		if stream.status == http.StatusOK && !stream.whole {
			cut++
		}
		if stream.status != http.StatusOK {
			failed++
		}
		if pause, found := stream.pauseAfter(crashedAt); found && stream.head == head.ID {
			pauses = append(pauses, pause)
		}
	}
	slices.Sort(pauses)
	if len(pauses) > 0 {
		t.Logf("running streams pause for %s in the median, %s at most, in %d streams", pauses[len(pauses)/2].Round(time.Millisecond), pauses[len(pauses)-1].Round(time.Millisecond), len(pauses))
	}
	t.Logf("both groups serve after %s; of %d streams %d were cut, %d had another status than 200", opened.Round(10*time.Millisecond), len(streams), cut, failed)
	if cut > 0 {
		t.Errorf("%d streams were cut, though another group served", cut)
	}
}
