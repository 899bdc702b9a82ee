package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestDataCentreWithoutGroups kills every engine of a data centre. Its entries must
// forward requests to the other data centre and pass answers on byte for byte,
// until the data centre has groups again.
func TestDataCentreWithoutGroups(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne", "hp"}, entries: 2, engines: 2, vmsPerGroup: 2, groups: 1, tokenInterval: 2 * time.Millisecond})
	localEntries, _ := cluster.splitEntries("ne")
	history := &history{}
	sendChat := func(entry *clusterEntry, content string) chatResponse {
		request := chatRequest{content: content, seed: 3, tokens: 60}
		response := chat(context.Background(), entry.listen, request, nil)
		history.recordChat(request, 0, response)
		return response
	}
	for _, engine := range cluster.engines {
		if engine.vm.DataCentre == "ne" {
			engine.kill()
		}
	}
	eventually(t, startTimeout, "the data centre has no group", func() bool {
		return cluster.servingGroups(localEntries[0]) == 0 && cluster.servingGroups(localEntries[1]) == 0
	})
	for i, entry := range localEntries {
		if response := sendChat(entry, fmt.Sprintf("dark %d", i)); !response.complete {
			t.Errorf("entry %s: not answered by the other data centre: status %d, %d tokens, %s, %v", entry.name, response.status, len(response.tokens), response.body, response.err)
		}
		if count := cluster.counter(entry, "caller-forwarded"); count != 1 {
			t.Errorf("entry %s forwarded %d requests, want 1", entry.name, count)
		}
	}
	for _, engine := range cluster.engines {
		if engine.vm.DataCentre == "ne" {
			engine.start(t)
		}
	}
	cluster.waitUntilServing(2)
	if response := sendChat(localEntries[0], "light again"); !response.complete || cluster.counter(localEntries[0], "caller-forwarded") != 1 {
		t.Errorf("not answered by the entry's own data centre: %+v", response)
	}
	reportViolations(t, history.checkAnswers())
}

// TestWorkspaceLimit checks that a workspace's tokens per minute are enforced and do
// not limit another workspace.
func TestWorkspaceLimit(t *testing.T) {
	t.Parallel()
	cluster := prepareCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: 1, vmsPerGroup: 1, groups: 1, tokenInterval: time.Millisecond})
	cluster.entries[0].start(t)
	cluster.apply("base", strings.Replace(cluster.config(), "{name: letters, class: letters,", "{name: letters, class: letters, tokens-per-minute: 100,", 1))
	cluster.waitUntilServing(1)
	served, refused := 0, 0
	for range 10 {
		response := chat(context.Background(), cluster.entries[0].listen, chatRequest{key: lettersKey, content: "letter", tokens: 20}, nil)
		switch {
		case response.complete:
			served++
		case response.status == 429 && strings.Contains(response.body, "tokens of this minute"):
			refused++
		}
	}
	if served != 5 || refused != 5 {
		t.Errorf("%d served and %d refused, want 5 served with 20 tokens each and 5 refused", served, refused)
	}
	if response := chat(context.Background(), cluster.entries[0].listen, chatRequest{content: "another workspace", tokens: 20}, nil); !response.complete {
		t.Errorf("another workspace was limited too: %+v", response)
	}
}
