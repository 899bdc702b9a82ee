package integration

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

// foreignRows returns rows that other writers may put into the list of targets.
func foreignRows() map[string]string {
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	row := func(fields string) string {
		return `{"service":"llm","address":"127.0.0.1:9","zone":"a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":4,"born":1764900000000,"domain":"d0","staged":["m"],"models":[{"name":"m"}],` + fields + `}`
	}
	return map[string]string{
		"deep": row(`"group":` + nested(9_900)), "deeper": row(`"other":` + nested(20_000)), "only-nested": nested(30_000),
		"no-epoch": row(`"group":{"name":"g7","rank":1,"state":"ready"}`), "no-rank": row(`"group":{"name":"g7","epoch":3,"state":"open"}`),
		"negative-rank": row(`"group":{"name":"g7","epoch":3,"rank":-3,"state":"ready"}`), "no-member-state": row(`"group":{"name":"g7","epoch":3,"rank":0}`),
		"large-rank":  row(`"group":{"name":"g7","epoch":3,"rank":9223372036854775807,"state":"ready"}`),
		"large-epoch": row(`"group":{"name":"g7","epoch":18446744073709551615,"rank":1,"state":"ready"}`), "larger-epoch": row(`"group":{"name":"g7","epoch":1e30,"rank":1,"state":"ready"}`),
		"large-slots": strings.Replace(row(`"x":0`), `"slots":6`, `"slots":9223372036854775807`, 1), "negative-slots": strings.Replace(row(`"x":0`), `"slots":6`, `"slots":-6`, 1),
		"large-number": strings.Replace(row(`"x":0`), `"slots":6`, `"slots":1e400`, 1), "port-99999": strings.Replace(row(`"x":0`), `:9"`, `:99999"`, 1),
		"port-0": strings.Replace(row(`"x":0`), `:9"`, `:0"`, 1), "no-port": strings.Replace(row(`"x":0`), `:9"`, `"`, 1),
		"unknown-service": strings.Replace(row(`"x":0`), `"llm"`, `"other"`, 1), "unknown-state": strings.Replace(row(`"x":0`), `"ready"`, `"asleep"`, 1),
		"far-start": strings.Replace(row(`"x":0`), `1764900000000`, `9223372036854775807`, 1), "last-sequence": strings.Replace(row(`"x":0`), `"sequence":4`, `"sequence":18446744073709551615`, 1),
		"long": row(`"staged":["` + strings.Repeat("m", 48_000) + `"]`), "bytes": "\xff\x00\xfe", "empty": "", "null": "null", "list": "[]", "half": `{"service":"llm",`,
	}
}

// memberships returns the memberships that the list shows.
func (deployment *deployment) memberships() map[string]greengageroute.Membership {
	deployment.t.Helper()
	rows, err := platform.NewStore(deployment.storeAddress).Read(context.Background(), platform.TargetTable)
	if err != nil {
		deployment.t.Fatal(err)
	}
	members := map[string]greengageroute.Membership{}
	for _, row := range rows.Rows {
		if target, err := platform.DecodeTarget(row, rows.Era); err == nil && target.Membership.Replica != "" {
			members[target.ID] = target.Membership
		}
	}
	return members
}

// writeOddRows has another writer put odd rows into the list and remove them again, one after
// the other, and overwrite the rows of members, which write them again with their next
// heartbeats.
func (deployment *deployment) writeOddRows(stop <-chan struct{}) {
	rows := foreignRows()
	names := slices.Sorted(maps.Keys(rows))
	for round := 0; ; round++ {
		name, member := names[round%len(names)], deployment.modelTargets[round%len(deployment.modelTargets)]
		key := "i-odd-" + name
		deployment.store.PutBytes(platform.TargetTable, key, []byte(rows[name]))
		deployment.store.PutBytes(platform.TargetTable, member.ID, []byte(rows["no-epoch"]))
		select {
		case <-stop:
			member.Beat()
			deployment.store.Remove(platform.TargetTable, key)
			return
		case <-time.After(300 * time.Millisecond):
		}
		member.Beat()
		if round%2 == 0 {
			deployment.store.Remove(platform.TargetTable, key)
		}
		if round%5 == 0 {
			deployment.store.DropHistory() // the list is read as a whole
		}
	}
}

// TestUsersPlatformOddRowsComeAndGo guards against entries that end, stop following the list,
// move members of replicas or cut callers because of another writer's rows among the targets'.
func TestUsersPlatformOddRowsComeAndGo(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	deployment := newDeployment(t, 9, 3)
	for _, entry := range deployment.entries {
		deployment.requireStream(entry)
	}
	var before map[string]greengageroute.Membership
	deployment.waitFor("the replicas stay as they are", func() bool {
		earlier := before
		deployment.sendMany(2 * time.Second)
		before = deployment.memberships()
		return maps.Equal(earlier, before)
	})
	open := map[greengageroute.ReplicaKey]bool{}
	for _, member := range before {
		key := greengageroute.ReplicaKey{Name: member.Replica, Epoch: member.Epoch}
		open[key] = open[key] || member.State == greengageroute.MemberOpen
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		deployment.writeOddRows(stop)
	}()
	results := deployment.sendMany(10 * time.Second)
	added := deployment.startTarget("i-plain-new", "ledger", "")
	for _, target := range deployment.plainTargets {
		target.Drain()
	}
	for _, entry := range deployment.entries {
		deployment.waitFor("a new target takes the work of leaving ones while odd rows are in the list", func() bool {
			id := deployment.nextAttemptID()
			status, _ := deployment.send(entry, "GET", "/get/x", id, "key-1")
			return status == http.StatusOK && added.Runs(id) > 0
		})
	}
	close(stop)
	<-stopped
	statuses := map[int]int{}
	for _, result := range results {
		statuses[result.status]++
		if result.isCut() {
			t.Errorf("%s %s: status 200 with body %q", result.path, result.id, result.body)
		}
	}
	if statuses[http.StatusOK] != len(results) {
		t.Errorf("the statuses of %d requests are %v, want 200 for each", len(results), statuses)
	}
	for _, entry := range deployment.entries {
		select {
		case <-entry.exited:
			t.Errorf("%s has ended", entry.name)
		default:
		}
	}
	after := deployment.memberships()
	for id, member := range before {
		if open[greengageroute.ReplicaKey{Name: member.Replica, Epoch: member.Epoch}] && after[id] != member {
			t.Errorf("%s is a member of %+v, want %+v as before the odd rows", id, after[id], member)
		}
	}
	if violations := deployment.peers.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
	t.Logf("%d requests with the statuses %v", len(results), statuses)
}
