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
	cluster := start(t, plan{centres: []string{"ne", "hp"}, entries: 2, engines: 2, width: 2, groups: 1, tokenInterval: 2 * time.Millisecond})
	localEntries, _ := cluster.of("ne")
	history := &history{}
	sendChat := func(entry *node, content string) reply {
		request := prompt{content: content, seed: 3, tokens: 60}
		response := chat(context.Background(), entry.listen, request, nil)
		history.answer(request, 0, response)
		return response
	}
	for _, engine := range cluster.engines {
		if engine.vm.DataCentre == "ne" {
			engine.kill()
		}
	}
	eventually(t, startTimeout, "the data centre has no group", func() bool {
		return cluster.serving(localEntries[0]) == 0 && cluster.serving(localEntries[1]) == 0
	})
	for i, entry := range localEntries {
		if response := sendChat(entry, fmt.Sprintf("dark %d", i)); !response.whole {
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
	cluster.waitServing(2)
	if response := sendChat(localEntries[0], "light again"); !response.whole || cluster.counter(localEntries[0], "caller-forwarded") != 1 {
		t.Errorf("not answered by the entry's own data centre: %+v", response)
	}
	report(t, history.checkWhole())
}

// TestWorkspaceLimit checks that a workspace's tokens per minute are enforced and do
// not limit another workspace.
func TestWorkspaceLimit(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, plan{centres: []string{"ne"}, entries: 1, engines: 1, width: 1, groups: 1, tokenInterval: time.Millisecond})
	cluster.entries[0].start(t)
	cluster.apply("base", strings.Replace(cluster.config(), "{name: letters, class: letters,", "{name: letters, class: letters, tokens-per-minute: 100,", 1))
	cluster.waitServing(1)
	served, refused := 0, 0
	for range 10 {
		response := chat(context.Background(), cluster.entries[0].listen, prompt{key: lettersKey, content: "letter", tokens: 20}, nil)
		switch {
		case response.whole:
			served++
		case response.status == 429 && strings.Contains(response.body, "tokens of this minute"):
			refused++
		}
	}
	if served != 5 || refused != 5 {
		t.Errorf("%d served and %d refused, want 5 served with 20 tokens each and 5 refused", served, refused)
	}
	if response := chat(context.Background(), cluster.entries[0].listen, prompt{content: "another workspace", tokens: 20}, nil); !response.whole {
		t.Errorf("another workspace was limited too: %+v", response)
	}
}
