package integration

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/platform/standin"
)

// streamGap returns the longest time between two events of a stream, and its text. ok is
// false unless the stream ended regularly.
func streamGap(entry *entryProcess, id string) (gap time.Duration, text string, ok bool) {
	request, err := http.NewRequest("POST", "http://"+entry.callerAddress+"/chat/x", strings.NewReader(id))
	if err != nil {
		return 0, err.Error(), false
	}
	request.Host = "h"
	for name, value := range map[string]string{
		platform.HeaderAttemptID: id, "Authorization": "Bearer key-1", "X-Greengageroute-Model": "m",
		"X-Greengageroute-Token-Counts": "100,60", "X-Greengageroute-Deadline-Ms": "6000",
	} {
		request.Header.Set(name, value)
	}
	last := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error(), false
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text += lines.Text() + "\n"
		if lines.Text() == "" {
			gap, last = max(gap, time.Since(last)), time.Now()
		}
	}
	return gap, text, lines.Err() == nil && response.StatusCode == http.StatusOK
}

// TestUsersPlatformCrashesEndNoStream guards against streams that are broken off, miss or
// repeat events, or aren't resumed, because a member of their replica crashed. It logs how
// long callers waited for the next event.
func TestUsersPlatformCrashesEndNoStream(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := []struct {
		name  string
		crash func(deployment *deployment)
	}{
		{"head's connections end", func(deployment *deployment) { crashOf(deployment.heads()[0]) }},
		{"head vanishes", func(deployment *deployment) { deployment.heads()[0].Hang(time.Second) }},
		{"another member vanishes", func(deployment *deployment) { deployment.followers(deployment.heads()[0])[0].Hang(time.Second) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment := newDeployment(t, 13, 2)
			var gaps []time.Duration
			for range 3 {
				deployment.requireStream(deployment.entries[0])
				deployment.requireStream(deployment.entries[1])
				deployment.waitFor("other replicas can take the streams", func() bool { return len(deployment.heads()) >= 3 })
				var mu sync.Mutex
				var streams sync.WaitGroup
				for i := range 24 {
					id := deployment.nextAttemptID()
					streams.Go(func() {
						gap, text, ok := streamGap(deployment.entries[i%2], id)
						mu.Lock()
						defer mu.Unlock()
						if gaps = append(gaps, gap); !ok || text != expectedStream() {
							t.Errorf("stream %s ended regularly: %t, with body %q", id, ok, text)
						}
					})
				}
				time.Sleep(100 * time.Millisecond)
				test.crash(deployment)
				streams.Wait()
			}
			slices.Sort(gaps)
			t.Logf("longest gaps of %d streams: the longest %s, the tenth longest %s, the median %s", len(gaps), gaps[len(gaps)-1], gaps[len(gaps)-10], gaps[len(gaps)/2])
		})
	}
}

// crashOf ends a target as a crash of its process does.
func crashOf(target *standin.Target) {
	target.Hang(time.Second)
	target.Close()
}
