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
	// inForceBound is the longest time from the acceptance of a file until its
	// revision is in force at every reachable entry.
	inForceBound = 3 * time.Second

	exitConflict = 4 // exit code of apply if the base is outdated
)

// revisionSampler samples the revision of every entry and records each one that
// is lower than an earlier one.
type revisionSampler struct {
	mu         sync.Mutex
	highest    map[*clusterEntry]uint64
	violations []string
}

// sampleRevisions samples the healthy entries until the context ends; wait waits
// for the last sample.
func (cluster *cluster) sampleRevisions(ctx context.Context) (sampler *revisionSampler, wait func()) {
	sampler = &revisionSampler{highest: map[*clusterEntry]uint64{}}
	var samplers sync.WaitGroup
	for _, entry := range cluster.entries {
		samplers.Go(func() {
			for ctx.Err() == nil {
				if status, err := cluster.status(entry); err == nil && healthy(entry) {
					sampler.sample(entry, status.Revision)
				}
				time.Sleep(pollInterval)
			}
		})
	}
	return sampler, samplers.Wait
}

func (sampler *revisionSampler) sample(entry *clusterEntry, revision uint64) {
	sampler.mu.Lock()
	defer sampler.mu.Unlock()
	if revision < sampler.highest[entry] {
		sampler.violations = append(sampler.violations, fmt.Sprintf("entry %s went from revision %d to %d", entry.name, sampler.highest[entry], revision))
	}
	sampler.highest[entry] = revision
}

// healthy reports whether the entry passes the load balancer's health check.
func healthy(entry *clusterEntry) bool {
	response, err := httpClient.Get("http://" + entry.listen + "/health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (cluster *cluster) revisionInForce(entries []*clusterEntry, revision uint64) bool {
	return !slices.ContainsFunc(entries, func(entry *clusterEntry) bool {
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

func classConfig(name string, deadline int) string {
	return fmt.Sprintf("classes:\n  - {name: %s, rank: 5, deadline: %ds}\n", name, deadline)
}

// TestTwoOperatorsAtOnce guards against lost updates. Two operators apply a file to
// the same base through entries of two data centres; one has to get a conflict
// that names the other.
func TestTwoOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne", "hp"}, entries: 2, engines: 0, vmsPerGroup: 1, groups: 0})
	for round := range 4 {
		codes := make([]int, 2)
		outputs := make([]string, 2)
		var operators sync.WaitGroup
		path := cluster.writeConfig("routes", classConfig("routes", 10+round))
		for i := range codes {
			operators.Go(func() {
				output, err := cluster.tryCommand("apply", path, "--base", fmt.Sprint(round), "--entry", cluster.entries[i*2].listen)
				codes[i], outputs[i] = exitCode(err), output
			})
		}
		operators.Wait()
		slices.Sort(codes)
		if codes[0] != 0 || codes[1] != exitConflict {
			t.Errorf("round %d: exit codes %v, want one 0 and one %d\n%s", round, codes, exitConflict, strings.Join(outputs, "\n"))
		}
		if combined := strings.Join(outputs, ""); !strings.Contains(combined, "put in force by bootstrap at") {
			t.Errorf("the conflict does not name the operator whose file is in force:\n%s", combined)
		}
	}
}

// TestApplyWhoseReplyIsLost guards against a file that is applied twice. The
// platform writes it and drops the reply, and the operator repeats the apply under
// the same id.
func TestApplyWhoseReplyIsLost(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: 0, vmsPerGroup: 1, groups: 0})
	path := cluster.writeConfig("routes", classConfig("routes", 10))
	cluster.setPlatformFaults(standin.PlatformFaults{DropResponses: 1, DropKeyPrefix: "config/"})
	output := cluster.runCommand("apply", path, "--entry", cluster.entries[0].listen, "--apply-id", "one")
	if !strings.Contains(output, "version 1, revision 2") {
		t.Errorf("got %q, want version 1 and revision 2", output)
	}
	repeated := cluster.runCommand("apply", path, "--base", "0", "--entry", cluster.entries[0].listen, "--apply-id", "one")
	if repeated != output {
		t.Errorf("repeated apply with the same id got %q, want %q", repeated, output)
	}
	if trail := cluster.runCommand("audit", "--entry", cluster.entries[0].listen); strings.Count(trail, "routes") != 2 {
		t.Errorf("want one entry on the file in the audit trail:\n%s", trail)
	}
}

// TestRefusedFileChangesNothing guards against a file with errors that is applied
// in part, or refused without naming each error.
func TestRefusedFileChangesNothing(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: 0, vmsPerGroup: 1, groups: 0})
	path := cluster.writeConfig("broken", "models:\n  - {name: m, vms-per-group: two}\ngroups:\n  - {name: g, model: n, data-centre: nowhere, count: 1}\nspare: 1\n")
	output, err := cluster.tryCommand("apply", path, "--entry", cluster.entries[0].listen)
	if exitCode(err) != 3 || !strings.Contains(output, "broken:2:") || !strings.Contains(output, `unknown key "spare"`) {
		t.Errorf("exit code %d, want 3 and every error with its position:\n%s", exitCode(err), output)
	}
	if status, err := cluster.status(cluster.entries[0]); err != nil || status.Revision != 1 {
		t.Errorf("revision %d, want 1 (%v)", status.Revision, err)
	}
}

// TestDataCentreCutOff guards against files that wait for an unreachable data
// centre, entries that return to an older revision, and a data centre that stops
// serving while it is cut off. One of three data centres loses its peers and the
// platform while files are applied, and an entry of another restarts without the
// platform.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne", "hp", "pi"}, entries: 2, engines: 1, vmsPerGroup: 1, groups: 1, tokenInterval: time.Millisecond})
	ctx, stop := context.WithCancel(context.Background())
	sampler, wait := cluster.sampleRevisions(ctx)
	cutOff, rest := cluster.splitEntries("pi")
	cluster.setPartitioned(cutOff, rest, true)
	for _, entry := range cutOff {
		entry.platformProxy.setBlocked(true)
	}
	var slowest time.Duration
	for i := range 5 {
		cluster.runCommand("apply", cluster.writeConfig("routes", classConfig("routes", 10+i)), "--entry", cluster.entries[i%4].listen)
		slowest = max(slowest, eventually(t, startTimeout, "the revision is in force at every reachable entry", func() bool {
			return cluster.revisionInForce(rest, uint64(2+i))
		}))
	}
	t.Logf("in force at the %d reachable entries within %s of acceptance, bound %s", len(rest), slowest.Round(10*time.Millisecond), inForceBound)
	if slowest > inForceBound {
		t.Errorf("revision was in force %s after acceptance, want at most %s", slowest, inForceBound)
	}
	if reply := chat(ctx, cutOff[0].listen, chatRequest{content: "cut off", seed: 1, tokens: 5}, nil); !reply.complete {
		t.Errorf("data centre that is cut off does not serve: %+v", reply)
	}
	output, err := cluster.tryCommand("apply", cluster.writeConfig("routes", classConfig("routes", 30)), "--every-data-centre", "--entry", rest[0].listen)
	if exitCode(err) != 5 || !strings.Contains(output, "data centre pi") {
		t.Errorf("--every-data-centre: exit code %d, want 5 and the name of the data centre:\n%s", exitCode(err), output)
	}
	// An entry that restarts without the platform gets the revision from its peers.
	restarted := rest[1]
	restarted.platformProxy.setBlocked(true)
	restarted.kill()
	restarted.start(t)
	eventually(t, startTimeout, "the restarted entry is healthy", func() bool { return healthy(restarted) })
	if status, err := cluster.status(restarted); err != nil || status.Revision != 6 {
		t.Errorf("the restarted entry is at revision %d, want 6 (%v)", status.Revision, err)
	}
	restarted.platformProxy.setBlocked(false)
	cluster.setPartitioned(cutOff, rest, false)
	for _, entry := range cutOff {
		entry.platformProxy.setBlocked(false)
	}
	delay := eventually(t, startTimeout, "the revision is in force everywhere after the partition", func() bool { return cluster.revisionInForce(cluster.entries, 6) })
	t.Logf("in force in the data centre that was cut off %s after the end of the partition", delay.Round(10*time.Millisecond))
	stop()
	wait()
	reportViolations(t, sampler.violations)
}

// TestEntryWithoutPlatformOrPeers guards against an entry that counts as healthy
// without a configuration: it is restarted where it reaches neither the platform
// nor its peers, has to fail its health check and serve nothing.
func TestEntryWithoutPlatformOrPeers(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 1, vmsPerGroup: 1, groups: 1})
	first, second := cluster.entries[0], cluster.entries[1]
	second.kill()
	cluster.setPartitioned([]*clusterEntry{second}, []*clusterEntry{first}, true)
	second.platformProxy.setBlocked(true)
	second.start(t)
	time.Sleep(3 * time.Second)
	if healthy(second) {
		t.Error("entry without the platform and peers passes its health check")
	}
	if reply := chat(context.Background(), second.listen, chatRequest{content: "x", tokens: 1}, nil); reply.status == 200 {
		t.Errorf("entry without configuration served a request: %+v", reply)
	}
}
