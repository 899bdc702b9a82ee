package integration

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/platform/standin"
)

type (
	// deployment is a small copy of the users' platform: its store and targets run
	// in the test's process, entries as separate processes.
	deployment struct {
		t            *testing.T
		store        *standin.Store
		storeAddress string
		peers        *standin.Peers
		modelTargets []*standin.Target
		plainTargets []*standin.Target
		entries      []*entryProcess
		requestCount int
		proxies      *proxySet // nil: connections are direct
		grace        time.Duration
		program      string // path of the entries' program; empty: this build
	}

	// entryProcess is an entry, its addresses and its files.
	entryProcess struct {
		name          string
		callerAddress string
		readyAddress  string
		proxies       *entryProxies // nil: connections are direct
		logPath       string
		settingsPath  string
		program       string // empty: this build
		cmd           *exec.Cmd
		exited        chan struct{}
	}
)

func newDeployment(t *testing.T, models, entries int) *deployment {
	deployment := newEmptyDeployment(t)
	deployment.startTargetsAndEntries(models, entries)
	return deployment
}

// newEmptyDeployment starts a store without targets or entries.
func newEmptyDeployment(t *testing.T) *deployment {
	deployment := &deployment{t: t, store: standin.NewStore(), peers: standin.NewPeers(), grace: 8 * time.Second}
	server := httptest.NewServer(deployment.store.Handler())
	t.Cleanup(server.Close)
	deployment.storeAddress = strings.TrimPrefix(server.URL, "http://")
	return deployment
}

// startTargetsAndEntries puts the config, starts targets and entries, and waits
// until the entries are ready.
func (deployment *deployment) startTargetsAndEntries(models, entries int) {
	deployment.store.Put("op", "config", platformConfig(3, "key-1"))
	for i := range models {
		deployment.modelTargets = append(deployment.modelTargets, deployment.startTarget(fmt.Sprintf("i-model-%d", i), "llm", "d0"))
	}
	for i := range 2 {
		deployment.plainTargets = append(deployment.plainTargets, deployment.startTarget(fmt.Sprintf("i-plain-%d", i), "ledger", ""))
	}
	for range entries {
		deployment.entries = append(deployment.entries, deployment.startEntry(fmt.Sprint("entry-", len(deployment.entries))))
	}
	deployment.waitReady()
}

func (deployment *deployment) waitReady() {
	for _, entry := range deployment.entries {
		deployment.waitFor("the entry is ready", func() bool {
			response, err := http.Get("http://" + entry.readyAddress + "/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

func platformConfig(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 6000,
			"target_latency_ms": 1000, "target_gap_ms": 1000, "attempts": 2, "resumable": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "/chat/", "streaming", "llm"), route("post", "/post/", "non_idempotent", "ledger"), route("get", "/get/", "idempotent", "ledger"),
		},
		"services": []any{
			map[string]any{"name": "ledger", "health_path": standin.HealthPath},
			map[string]any{"name": "llm", "engine": map[string]any{
				"slots": 8, "stride": 2, "step_ms": 5, "read_per_s": 50000, "chunk": 512, "loads_per_s": 20, "loads_at_once": 20,
				"usual":  map[string]any{"prompt": 100, "answer": 60},
				"models": []any{map[string]any{"name": "m", "size": 3, "share": 1, "pace": 1, "load_time_s": 0.1, "warm_s": 0.02}},
			}},
		},
		"limits":  map[string]any{"max_body_bytes": 100000},
		"tenants": []any{map[string]any{"name": "counters", "api_keys": keys}},
	}
}

func (deployment *deployment) startTarget(id, service, domain string) *standin.Target {
	target, err := standin.StartTarget(deployment.store, deployment.peers, id, service, domain)
	if err != nil {
		deployment.t.Fatal(err)
	}
	deployment.t.Cleanup(target.Close)
	return target
}

func (deployment *deployment) startEntry(name string) *entryProcess {
	return deployment.startEntryIn("a", name)
}

// startEntryIn starts an entry in a data centre.
func (deployment *deployment) startEntryIn(dataCentre, name string) *entryProcess {
	peerAddress := freePort(deployment.t, func(address string) (io.Closer, error) { return net.Listen("tcp4", address) })
	_, port, _ := strings.Cut(peerAddress, ":")
	entry := &entryProcess{
		name: name, callerAddress: freeTCP(deployment.t), readyAddress: freeTCP(deployment.t),
		logPath: filepath.Join(deployment.t.TempDir(), name+".log"), program: deployment.program,
	}
	listenAddress, storeAddress := entry.callerAddress, deployment.storeAddress
	if deployment.proxies != nil {
		entry.proxies = deployment.proxies.addEntry(entry, peerAddress, storeAddress)
		entry.callerAddress, storeAddress = entry.proxies.callers.address(), entry.proxies.store.address()
	}
	settingsPath := filepath.Join(deployment.t.TempDir(), name+".conf")
	writeFile(deployment.t, settingsPath, fmt.Sprintf(`node_name=%s
zone=%s
ip_address=127.0.0.1
listen_addresses.frontend=%s
listen_addresses.ready=%s
internal_port_range=%s,%s
bootstrap=true
limits.cpu_share=0.5
limits.memory_mb=206
limits.link_mbps=700
heartbeat_ms=300
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_period_s=%g
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.extra_retries=282
bounds.stall_ms=6000
platform.address=%s
`, name, dataCentre, listenAddress, entry.readyAddress, port, port, deployment.grace.Seconds(), storeAddress))
	entry.settingsPath = settingsPath
	deployment.startProcess(entry)
	deployment.t.Cleanup(func() {
		_ = entry.cmd.Process.Kill()
		<-entry.exited
		if deployment.t.Failed() {
			deployment.t.Logf("%s:\n%s", name, readFile(deployment.t, entry.logPath))
		}
	})
	return entry
}

// startProcess starts an entry's process, also again after an earlier one has
// exited.
func (deployment *deployment) startProcess(entry *entryProcess) {
	logFile, err := os.OpenFile(entry.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		deployment.t.Fatal(err)
	}
	program := cmp.Or(entry.program, filepath.Join(binDirectory, "greengageroute"))
	entry.cmd, entry.exited = exec.Command(program, "entry"), make(chan struct{})
	entry.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+entry.settingsPath)
	entry.cmd.Stdout, entry.cmd.Stderr = logFile, logFile
	if err := entry.cmd.Start(); err != nil {
		deployment.t.Fatal(err)
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // tests check the exit by themselves
		logFile.Close()
		close(exited)
	}(entry.cmd, entry.exited)
}

func (deployment *deployment) waitFor(description string, condition func() bool) {
	deployment.t.Helper()
	eventually(deployment.t, startTimeout, description, condition)
}

// send returns the status and body of the response; the status is 0 if the
// connection failed.
func (deployment *deployment) send(entry *entryProcess, method, path, id, key string) (int, string) {
	return sendRequest(http.DefaultClient, entry, method, path, id, key)
}

func newCallerRequest(entry *entryProcess, method, path, id, key string) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+entry.callerAddress+path, strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	request.Host = "h"
	for name, value := range map[string]string{
		platform.HeaderAttemptID: id, "Authorization": "Bearer " + key, "X-Greengageroute-Model": "m",
		"X-Greengageroute-Token-Counts": "100,60", "X-Greengageroute-Deadline-Ms": "6000",
	} {
		request.Header.Set(name, value)
	}
	return request, nil
}

func sendRequest(client *http.Client, entry *entryProcess, method, path, id, key string) (int, string) {
	request, err := newCallerRequest(entry, method, path, id, key)
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(body)
	}
	return response.StatusCode, string(body)
}

func (deployment *deployment) nextAttemptID() string {
	deployment.requestCount++
	return fmt.Sprintf("id-%d", deployment.requestCount)
}

// requireStream requests a stream until the status is 200, and checks that its
// body is complete.
func (deployment *deployment) requireStream(entry *entryProcess) {
	deployment.t.Helper()
	deployment.waitFor("a stream is served", func() bool {
		status, body := deployment.send(entry, "POST", "/chat/x", deployment.nextAttemptID(), "key-1")
		if status == http.StatusOK && body != expectedStream() {
			deployment.t.Errorf("stream with status 200 has body %q, want all 30 events", body)
		}
		return status == http.StatusOK
	})
}

func expectedStream() string {
	text := strings.Builder{}
	for id := 1; id <= 30; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

func TestUsersPlatformServesEveryRouteKind(t *testing.T) {
	deployment := newDeployment(t, 7, 2)
	for _, entry := range deployment.entries {
		deployment.requireStream(entry)
	}
	tests := []struct {
		name, method, path, key string
		status                  int
	}{
		{"non-idempotent request", "POST", "/post/deposit", "key-1", 200},
		{"idempotent request", "GET", "/get/stock", "key-1", 200},
		{"unknown key", "GET", "/get/stock", "key-2", 401},
		{"unknown route", "GET", "/none/", "key-1", 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if status, body := deployment.send(deployment.entries[0], test.method, test.path, deployment.nextAttemptID(), test.key); status != test.status {
				t.Errorf("unexpected status %d with body %q", status, body)
			}
		})
	}
	deployment.store.Put("op", "config", platformConfig(9, "key-1", "key-2"))
	deployment.waitFor("the added key is accepted", func() bool {
		status, _ := deployment.send(deployment.entries[1], "GET", "/get/stock", deployment.nextAttemptID(), "key-2")
		return status == http.StatusOK
	})
	deployment.store.Put("op", "config", platformConfig(12, "key-1"))
	deployment.waitFor("the revoked key is refused", func() bool {
		status, _ := deployment.send(deployment.entries[1], "GET", "/get/stock", deployment.nextAttemptID(), "key-2")
		return status == http.StatusUnauthorized
	})
	if violations := deployment.peers.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}

// TestUsersPlatformStoreIsRestored guards against configs that were confirmed after the
// store came back from a copy, and that entries behind a reader never follow.
func TestUsersPlatformStoreIsRestored(t *testing.T) {
	deployment := newDeployment(t, 7, 4)
	deployment.requireStream(deployment.entries[0])
	deployment.store.Put("op", "config", platformConfig(5, "key-1", "key-2"))
	copied := deployment.store.Copy()
	deployment.store.Put("op", "config", platformConfig(7, "key-1"))
	time.Sleep(3 * time.Second) // renewals of the lease raise the store's version
	deployment.store.Restore(copied, true)
	time.Sleep(300 * time.Millisecond)
	deployment.store.Put("op", "config", platformConfig(8, "key-1", "key-3"))
	time.Sleep(2 * time.Second) // the time in which a config comes into force
	for _, entry := range deployment.entries {
		for _, test := range []struct {
			key    string
			status int
		}{{"key-1", 200}, {"key-2", 401}, {"key-3", 200}} {
			if status, body := deployment.send(entry, "GET", "/get/stock", deployment.nextAttemptID(), test.key); status != test.status {
				t.Errorf("%s: %s got status %d (%s), want %d by config 8", entry.name, test.key, status, body, test.status)
			}
		}
		deployment.requireStream(entry)
	}
	if violations := deployment.peers.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}

// TestUsersPlatformEntryStartsFromAnOldCopy guards against keys that were revoked long ago
// and that an entry accepts because it started while the store had an old config.
func TestUsersPlatformEntryStartsFromAnOldCopy(t *testing.T) {
	deployment := newEmptyDeployment(t)
	deployment.startTargetsAndEntries(7, 2)
	deployment.store.Put("op", "config", platformConfig(5, "key-1", "key-2"))
	// The config before lacks the key too: only one that had it can show that it is revoked.
	waitForKey := func(description string, want int) {
		for _, entry := range deployment.entries {
			deployment.waitFor(description, func() bool {
				status, _ := deployment.send(entry, "GET", "/get/stock", deployment.nextAttemptID(), "key-2")
				return status == want
			})
		}
	}
	waitForKey("the key is valid", http.StatusOK)
	copied := deployment.store.Copy()
	deployment.store.Put("op", "config", platformConfig(7, "key-1"))
	waitForKey("the key is revoked", http.StatusUnauthorized)
	deployment.store.Restore(copied, false)
	late := deployment.startEntry("entry-2")
	started := time.Now()
	for time.Since(started) < 5*time.Second {
		if status, _ := deployment.send(late, "GET", "/get/stock", deployment.nextAttemptID(), "key-2"); status == http.StatusOK {
			t.Fatalf("a key that was revoked before is accepted by an entry that started %s ago", time.Since(started))
		}
		if status, body := deployment.send(deployment.entries[0], "GET", "/get/stock", deployment.nextAttemptID(), "key-1"); status != http.StatusOK {
			t.Fatalf("an entry that knows the newest config answers %d: %s", status, body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	deployment.store.Put("op", "config", platformConfig(7, "key-1"))
	deployment.entries = append(deployment.entries, late)
	deployment.waitReady()
	if status, body := deployment.send(late, "GET", "/get/stock", deployment.nextAttemptID(), "key-1"); status != http.StatusOK {
		t.Errorf("once the config is written again, the late entry answers %d: %s", status, body)
	}
}

// TestUsersPlatformRowsAreWrittenAgain guards against entries that later ones don't find,
// and heads that the next planner doesn't know, because the store lost their rows.
func TestUsersPlatformRowsAreWrittenAgain(t *testing.T) {
	deployment := newEmptyDeployment(t)
	empty := deployment.store.Copy()
	deployment.startTargetsAndEntries(7, 3)
	deployment.requireStream(deployment.entries[0])
	deployment.store.Restore(empty, true)
	for _, row := range []string{"entries/entry-0", "entries/entry-1", "entries/entry-2", "control/heads-llm", "control/planner"} {
		deployment.waitFor("row "+row+" is written again", func() bool { return deployment.store.Has(row) })
	}
	deployment.requireStream(deployment.entries[1])
}

// Guards against streams that are lost or arrive incomplete when a member of their
// group hangs: each has to continue at another group, and the group is formed
// again with a spare.
func TestUsersPlatformMemberHangs(t *testing.T) {
	deployment := newDeployment(t, 7, 2) // two groups of three and a spare
	deployment.requireStream(deployment.entries[0])
	var streams sync.WaitGroup
	for i := range 12 {
		id := deployment.nextAttemptID()
		streams.Go(func() {
			status, body := deployment.send(deployment.entries[i%2], "POST", "/chat/x", id, "key-1")
			if status == http.StatusOK && body != expectedStream() {
				t.Errorf("stream %s with status 200 has body %q, want all 30 events", id, body)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	deployment.modelTargets[1].Hang(2 * time.Second)
	streams.Wait()
	for range 5 {
		deployment.requireStream(deployment.entries[1])
	}
	if violations := deployment.peers.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}

// Guards against targets that go on generating for a caller that has disconnected,
// before or during its stream.
func TestUsersPlatformCallersDisconnect(t *testing.T) {
	deployment := newDeployment(t, 4, 1)
	entry := deployment.entries[0]
	deployment.requireStream(entry)
	active := func() (streams int) {
		for _, target := range deployment.modelTargets {
			streams += target.ActiveStreams()
		}
		return streams
	}
	client := &http.Client{Timeout: 120 * time.Millisecond, Transport: &http.Transport{}}
	var requests sync.WaitGroup
	for range 5 {
		id := deployment.nextAttemptID()
		requests.Go(func() { _, _ = sendRequest(client, entry, "POST", "/chat/x", id, "key-1") })
	}
	deployment.waitFor("streams are running", func() bool { return active() > 0 })
	requests.Wait()
	time.Sleep(300 * time.Millisecond)
	if running := active(); running > 0 {
		t.Errorf("%d streams still run 0.3 s after their callers disconnected", running)
	}
	client.CloseIdleConnections()
}

// An entry that gets SIGTERM has to answer the requests that it has read. When an
// entry is killed that may hold the planner's lease, another has to take over the
// planning.
func TestUsersPlatformEntriesStopAndCrash(t *testing.T) {
	deployment := newDeployment(t, 7, 3)
	deployment.requireStream(deployment.entries[2])
	ids := make([]string, 6)
	var requests sync.WaitGroup
	for i := range ids {
		ids[i] = deployment.nextAttemptID()
		requests.Go(func() {
			if status, body := deployment.send(deployment.entries[0], "POST", "/chat/x", ids[i], "key-1"); status == 0 {
				t.Errorf("the stopping entry aborted the response to %s after %q", ids[i], body)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	_ = deployment.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	requests.Wait()
	<-deployment.entries[0].exited
	_ = deployment.entries[1].cmd.Process.Kill()
	deployment.modelTargets[2].Hang(time.Second)
	deployment.modelTargets[5].Hang(time.Second)
	deployment.requireStream(deployment.entries[2])
	if violations := deployment.peers.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}

// An entry whose store is unreachable or hangs serves on with the config that it
// has, until it can no longer confirm that API keys are current.
func TestUsersPlatformStoreUnreachable(t *testing.T) {
	deployment := newDeployment(t, 7, 1)
	deployment.requireStream(deployment.entries[0])
	for _, faults := range []standin.Faults{{Down: true}, {Hang: true}} {
		deployment.store.SetFaults(faults)
		if status, body := deployment.send(deployment.entries[0], "POST", "/post/deposit", deployment.nextAttemptID(), "key-1"); status != http.StatusOK {
			t.Errorf("just after the store became unreachable: got status %d, body %q, want status 200", status, body)
		}
		deployment.waitFor("the entry refuses requests whose key it can't confirm", func() bool {
			status, _ := deployment.send(deployment.entries[0], "POST", "/post/deposit", deployment.nextAttemptID(), "key-1")
			return status == http.StatusServiceUnavailable
		})
		deployment.store.SetFaults(standin.Faults{})
		deployment.requireStream(deployment.entries[0])
	}
}

// SIGHUP, or a settings file that changes without SIGHUP, ends neither the process
// nor a request; an invalid file leaves the old settings in force.
func TestUsersPlatformReloadsSettings(t *testing.T) {
	deployment := newDeployment(t, 7, 1)
	entry := deployment.entries[0]
	deployment.requireStream(entry)
	settings := readFile(t, entry.settingsPath)
	logged := func(text string) func() bool {
		return func() bool { return strings.Contains(readFile(t, entry.logPath), text) }
	}
	_ = entry.cmd.Process.Signal(syscall.SIGHUP)
	deployment.waitFor("SIGHUP is logged", logged(`"settings reloaded"`))
	writeFile(t, entry.settingsPath, strings.Replace(settings, "revoke_ms=5000", "revoke_ms=4000", 1))
	deployment.waitFor("the changed setting is applied", logged(`"revoke-ms":4000`))
	writeFile(t, entry.settingsPath, "node_name=x\n")
	deployment.waitFor("the invalid file is logged", logged(`settings not reloaded`))
	deployment.requireStream(entry)
}
