package integration

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// TestAnswersGoOnAtASilentGroup guards against answers that fail because an engine of their only
// group was suspended for a moment: the group is the one at which they can go on.
func TestAnswersGoOnAtASilentGroup(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		rank    int
		silence time.Duration
	}{
		{"the first member for 1 s", 0, time.Second},
		{"the first member for 2 s", 0, 2 * time.Second},
		{"another member for 2 s", 1, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 2, vmsPerGroup: 2, groups: 1, tokenInterval: 10 * time.Millisecond})
			silent := cluster.engineOf(cluster.firstGroupMembers(cluster.entries[0])[test.rank])
			history := &history{}
			request := chatRequest{content: "advisory", seed: 3, tokens: 400}
			reply := chat(context.Background(), cluster.entries[0].listen, request, func(count int) {
				if count == 50 {
					silent.signal(syscall.SIGSTOP)
					time.AfterFunc(test.silence, func() { silent.signal(syscall.SIGCONT) })
				}
			})
			history.recordChat(request, 0, reply)
			if !reply.complete {
				t.Errorf("the answer is incomplete: status %d, %d tokens, %s, error %v", reply.status, len(reply.tokens), reply.body, reply.err)
			}
			reportViolations(t, history.checkAnswers())
			reportViolations(t, cluster.checkGenerations())
		})
	}
}
