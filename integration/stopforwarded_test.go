package integration

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// Guards against answers that are cut in a planned stop of the entry that serves them for
// another data centre: the stop waited only for the requests of its own callers.
func TestStopFinishesForwardedAnswers(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne", "hp"}, entries: 1, engines: 2, vmsPerGroup: 2, groups: 1, tokenInterval: 10 * time.Millisecond})
	local, remote := cluster.splitEntries("ne")
	for _, engine := range cluster.engines {
		if engine.vm.DataCentre == "ne" {
			engine.kill()
		}
	}
	eventually(t, startTimeout, "the data centre has no group", func() bool { return cluster.servingGroups(local[0]) == 0 })
	answered := make(chan chatResponse, 1)
	request := chatRequest{content: "long", seed: 3, tokens: 400}
	go func() { answered <- chat(context.Background(), local[0].listen, request, nil) }()
	eventually(t, startTimeout, "the request is forwarded", func() bool { return cluster.counter(local[0], "caller-forwarded") == 1 })
	time.Sleep(300 * time.Millisecond)
	remote[0].signal(syscall.SIGTERM)
	signalled := time.Now()
	time.Sleep(time.Second)
	if late := chat(context.Background(), local[0].listen, chatRequest{content: "late", seed: 4, tokens: 10}, nil); late.status == 200 && !late.complete {
		t.Errorf("a request during the stop was accepted and cut: %+v", late)
	}
	if answer := <-answered; !answer.complete {
		t.Errorf("the forwarded answer was cut after %d tokens, %s after SIGTERM: %s, %v", len(answer.tokens), time.Since(signalled).Round(10*time.Millisecond), answer.body, answer.err)
	}
	<-remote[0].exited
}
