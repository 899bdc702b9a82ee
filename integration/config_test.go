package integration

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/standin"
)

const (
	// inForceBound is the time from acceptance until a revision is in force at
	// every entry that can be reached.
	inForceBound = 3 * time.Second

	exitConflict = 4
)

// revisions samples the revision of every entry and finds ones that go back.
type revisions struct {
	mu      sync.Mutex
	highest map[*node]uint64
	broken  []string
}

func (cluster *cluster) sampleRevisions(ctx context.Context) (found *revisions, wait func()) {
	found = &revisions{highest: map[*node]uint64{}}
	var samplers sync.WaitGroup
	for _, entry := range cluster.entries {
		samplers.Go(func() {
			for ctx.Err() == nil {
				if status, err := cluster.status(entry); err == nil && healthy(entry) {
					found.sample(entry, status.Revision)
				}
				time.Sleep(poll)
			}
		})
	}
	return found, samplers.Wait
}

func (revisions *revisions) sample(entry *node, revision uint64) {
	revisions.mu.Lock()
	defer revisions.mu.Unlock()
	if revision < revisions.highest[entry] {
		revisions.broken = append(revisions.broken, fmt.Sprintf("entry %s went from revision %d to %d", entry.name, revisions.highest[entry], revision))
	}
	revisions.highest[entry] = revision
}

// healthy is the balancer's check.
func healthy(entry *node) bool {
	response, err := quick.Get("http://" + entry.listen + "/health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (cluster *cluster) inForce(entries []*node, revision uint64) bool {
	return !slices.ContainsFunc(entries, func(entry *node) bool {
		status, err := cluster.status(entry)
		return err != nil || status.Revision < revision
	})
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

func class(name string, deadline int) string {
	return fmt.Sprintf("classes:\n  - {name: %s, rank: 5, deadline: %ds}\n", name, deadline)
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne", "hp"}, entries: 2, engines: 0, width: 1, groups: 0})
	for round := range 4 {
		codes := make([]int, 2)
		outputs := make([]string, 2)
		var operators sync.WaitGroup
		for i := range codes {
			path := cluster.file("routes", class("routes", 10+round))
			operators.Go(func() {
				output, err := cluster.try("apply", path, "--base", fmt.Sprint(round), "--entry", cluster.entries[i*2].listen)
				codes[i], outputs[i] = exitCode(err), output
			})
		}
		operators.Wait()
		slices.Sort(codes)
		if codes[0] != 0 || codes[1] != exitConflict {
			t.Errorf("round %d: exit codes %v, want one 0 and one %d\n%s", round, codes, exitConflict, strings.Join(outputs, "\n"))
		}
		if said := strings.Join(outputs, ""); !strings.Contains(said, "put in force by bootstrap at") {
			t.Errorf("the loser was not told who won:\n%s", said)
		}
	}
}

func TestApplyWhoseReplyIsLost(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 1, engines: 0, width: 1, groups: 0})
	path := cluster.file("routes", class("routes", 10))
	cluster.platformFaults(standin.PlatformFaults{DropResponses: 1, DropKeyPrefix: "config/"})
	output := cluster.run("apply", path, "--entry", cluster.entries[0].listen, "--apply-id", "one")
	if !strings.Contains(output, "version 1, revision 2") {
		t.Errorf("got %q, want version 1 and revision 2", output)
	}
	again := cluster.run("apply", path, "--base", "0", "--entry", cluster.entries[0].listen, "--apply-id", "one")
	if again != output {
		t.Errorf("the same apply id sent again got %q, want %q", again, output)
	}
	if trail := cluster.run("audit", "--entry", cluster.entries[0].listen); strings.Count(trail, "routes") != 2 {
		t.Errorf("want one line on the file in the audit trail:\n%s", trail)
	}
}

func TestRefusedFileChangesNothing(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 1, engines: 0, width: 1, groups: 0})
	path := cluster.file("broken", "models:\n  - {name: m, vms-per-group: two}\ngroups:\n  - {name: g, model: n, data-centre: nowhere, count: 1}\nspare: 1\n")
	output, err := cluster.try("apply", path, "--entry", cluster.entries[0].listen)
	if exitCode(err) != 3 || !strings.Contains(output, "broken:2:") || !strings.Contains(output, `unknown key "spare"`) {
		t.Errorf("exit code %d, want 3 and every fault with its place:\n%s", exitCode(err), output)
	}
	if status, err := cluster.status(cluster.entries[0]); err != nil || status.Revision != 1 {
		t.Errorf("revision %d, want 1 (%v)", status.Revision, err)
	}
}

// TestDataCentreCutOff cuts a data centre off from its peers and the platform
// while files are applied, and restarts an entry without the platform.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne", "hp", "pi"}, entries: 2, engines: 1, width: 1, groups: 1, tokenInterval: time.Millisecond})
	ctx, stop := context.WithCancel(context.Background())
	sampled, wait := cluster.sampleRevisions(ctx)
	cutOff, rest := cluster.of("pi")
	cluster.setCut(cutOff, rest, true)
	for _, entry := range cutOff {
		entry.platform.setBlocked(true)
	}
	var slowest time.Duration
	for i := range 5 {
		cluster.run("apply", cluster.file("routes", class("routes", 10+i)), "--entry", cluster.entries[i%4].listen)
		slowest = max(slowest, eventually(t, startTimeout, "in force at every entry that can be reached", func() bool {
			return cluster.inForce(rest, uint64(2+i))
		}))
	}
	t.Logf("in force at the %d entries that can be reached within %s of acceptance, bound %s", len(rest), slowest.Round(10*time.Millisecond), inForceBound)
	if slowest > inForceBound {
		t.Errorf("in force only %s after acceptance, want at most %s", slowest, inForceBound)
	}
	if reply := chat(ctx, cutOff[0].listen, prompt{content: "cut off", seed: 1, tokens: 5}, nil); !reply.whole {
		t.Errorf("the data centre that is cut off does not serve: %+v", reply)
	}
	output, err := cluster.try("apply", cluster.file("routes", class("routes", 30)), "--every-data-centre", "--entry", rest[0].listen)
	if exitCode(err) != 5 || !strings.Contains(output, "data centre pi") {
		t.Errorf("--every-data-centre: exit code %d, want 5 and the name of the data centre:\n%s", exitCode(err), output)
	}
	// An entry that restarts without the platform learns the revision from its peers.
	restarted := rest[1]
	restarted.platform.setBlocked(true)
	restarted.kill()
	restarted.start(t)
	eventually(t, startTimeout, "the restarted entry is healthy", func() bool { return healthy(restarted) })
	if status, err := cluster.status(restarted); err != nil || status.Revision != 6 {
		t.Errorf("the restarted entry is at revision %d, want 6 (%v)", status.Revision, err)
	}
	restarted.platform.setBlocked(false)
	cluster.setCut(cutOff, rest, false)
	for _, entry := range cutOff {
		entry.platform.setBlocked(false)
	}
	healed := eventually(t, startTimeout, "in force everywhere after the cut", func() bool { return cluster.inForce(cluster.entries, 6) })
	t.Logf("in force in the data centre that was cut off %s after the cut healed", healed.Round(10*time.Millisecond))
	stop()
	wait()
	report(t, sampled.broken)
}

// TestEntryWithoutPlatformOrPeers serves nothing and says so.
func TestEntryWithoutPlatformOrPeers(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 2, engines: 1, width: 1, groups: 1})
	first, second := cluster.entries[0], cluster.entries[1]
	second.kill()
	cluster.setCut([]*node{second}, []*node{first}, true)
	second.platform.setBlocked(true)
	second.start(t)
	time.Sleep(3 * time.Second)
	if healthy(second) {
		t.Error("an entry without the platform and peers is healthy")
	}
	if reply := chat(context.Background(), second.listen, prompt{content: "x", tokens: 1}, nil); reply.status == 200 {
		t.Errorf("an entry without configuration served: %+v", reply)
	}
}
