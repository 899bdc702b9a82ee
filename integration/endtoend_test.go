package integration

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEndToEndRequests sends chats and one action through every entry. It guards
// against incomplete answers, an action that runs again at the second entry under
// the same key, and an audit trail without the applied file.
func TestEndToEndRequests(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 4, vmsPerGroup: 4, groups: 1, services: 1, tokenInterval: 5 * time.Millisecond})
	ctx := context.Background()
	history := &history{}
	for _, entry := range cluster.entries {
		request := chatRequest{content: "Is the ridge open?", seed: 41, tokens: 40}
		reply := chat(ctx, entry.listen, request, nil)
		history.recordChat(request, 0, reply)
		if !reply.complete {
			t.Errorf("entry %s: answer is incomplete: %+v", entry.name, reply)
		}
		outcome := history.sendAction(ctx, entry.listen, "deposit-1", "snowshoes 41")
		if want := "recorded deposit-1: snowshoes 41"; outcome.status != http.StatusCreated || outcome.body != want {
			t.Errorf("entry %s: action got status %d, body %q, want 201 and %q", entry.name, outcome.status, outcome.body, want)
		}
	}
	if times := cluster.records()["deposit-1"]; len(times) != 1 {
		t.Errorf("deposit recorded %d times, want 1", len(times))
	}
	reportViolations(t, history.checkAnswers())
	reportViolations(t, history.checkActions(cluster.records()))
	if trail := cluster.runCommand("audit", "--entry", cluster.entries[1].listen); !strings.Contains(trail, "added model trail-70b") {
		t.Errorf("audit trail has no line on the applied model:\n%s", trail)
	}
}
