package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestUsersPlatformDataCentreIsEvacuated guards against an entry that goes on sending requests to an
// evacuated data centre, against one that does so when it has just started, and against targets that
// receive nothing after the evacuation.
func TestUsersPlatformDataCentreIsEvacuated(t *testing.T) {
	const evacuationTime = 5 * time.Second
	deployment := newDeployment(t, 0, 3)
	get := func(entry *entryProcess) (status int, body string) {
		return deployment.send(entry, "GET", "/get/stock", deployment.nextAttemptID(), "key-1")
	}
	requireAll := func(wanted func(status int, body string) bool) {
		t.Helper()
		began := time.Now()
		for _, entry := range deployment.entries {
			deployment.waitFor("the change is in force", func() bool { return wanted(get(entry)) })
		}
		t.Logf("in force at %d entries after %s", len(deployment.entries), time.Since(began))
		if took := time.Since(began); took > evacuationTime {
			t.Errorf("the change was in force after %s, want at most %s", took, evacuationTime)
		}
	}
	isServed := func(status int, _ string) bool { return status == http.StatusOK }
	isRefused := func(status int, body string) bool {
		return status == http.StatusServiceUnavailable && strings.Contains(body, "evacuated")
	}
	requireAll(isServed)
	deployment.store.Put("op", "evacuate/a", map[string]any{})
	requireAll(isRefused)
	started := deployment.startEntry("entry-late")
	deployment.waitFor("the new entry answers", func() bool {
		status, body := get(started)
		if isServed(status, body) {
			t.Error("an entry that has just started sends requests to the evacuated data centre")
		}
		return isRefused(status, body)
	})
	deployment.store.Remove("op", "evacuate/a")
	requireAll(isServed)
}
