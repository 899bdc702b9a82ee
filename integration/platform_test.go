package integration

import (
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
	// site is the users' platform in small: its store and targets in the test's
	// process, entries as processes.
	site struct {
		t       *testing.T
		store   *standin.Store
		address string
		peers   *standin.Peers
		models  []*standin.Target
		plain   []*standin.Target
		entries []*siteEntry
		asked   int
		proxies *proxies // nil: connections are direct
	}

	siteEntry struct {
		name    string
		callers string
		ready   string
		links   *links // nil: connections are direct
		log     string
		file    string // settings
		cmd     *exec.Cmd
		done    chan struct{}
	}
)

func newSite(t *testing.T, models, entries int) *site {
	site := emptySite(t)
	site.populate(models, entries)
	return site
}

// emptySite has a store and nothing else.
func emptySite(t *testing.T) *site {
	site := &site{t: t, store: standin.NewStore(), peers: standin.NewPeers()}
	server := httptest.NewServer(site.store.Handler())
	t.Cleanup(server.Close)
	site.address = strings.TrimPrefix(server.URL, "http://")
	return site
}

// populate adds targets and entries and waits until these are ready.
func (site *site) populate(models, entries int) {
	site.store.Put("op", "config", siteConfig(3, "key-1"))
	for i := range models {
		site.models = append(site.models, site.target(fmt.Sprintf("i-model-%d", i), "llm", "d0"))
	}
	for i := range 2 {
		site.plain = append(site.plain, site.target(fmt.Sprintf("i-plain-%d", i), "ledger", ""))
	}
	for i := range entries {
		site.entries = append(site.entries, site.entry(fmt.Sprint("entry-", i)))
	}
	site.ready()
}

// ready waits until all entries are ready.
func (site *site) ready() {
	for _, entry := range site.entries {
		site.until("the entry is ready", func() bool {
			response, err := http.Get("http://" + entry.ready + "/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

func siteConfig(version int, keys ...string) map[string]any {
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
			map[string]any{"name": "ledger"},
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

func (site *site) target(id, service, domain string) *standin.Target {
	target, err := standin.StartTarget(site.store, site.peers, id, service, domain)
	if err != nil {
		site.t.Fatal(err)
	}
	site.t.Cleanup(target.Close)
	return target
}

func (site *site) entry(name string) *siteEntry {
	peer := freePort(site.t, func(address string) (io.Closer, error) { return net.Listen("tcp4", address) })
	_, port, _ := strings.Cut(peer, ":")
	entry := &siteEntry{
		name: name, callers: freeTCP(site.t), ready: freeTCP(site.t),
		log: filepath.Join(site.t.TempDir(), name+".log"),
	}
	listens, store := entry.callers, site.address
	if site.proxies != nil {
		entry.links = site.proxies.front(entry, peer, store)
		entry.callers, store = entry.links.callers.address(), entry.links.store.address()
	}
	settings := filepath.Join(site.t.TempDir(), name+".conf")
	writeFile(site.t, settings, fmt.Sprintf(`node_name=%s
zone=a
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
bounds.grace_period_s=8
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.extra_retries=282
bounds.stall_ms=6000
platform.address=%s
`, name, listens, entry.ready, port, port, store))
	entry.file = settings
	site.launch(entry)
	site.t.Cleanup(func() {
		_ = entry.cmd.Process.Kill()
		<-entry.done
		if site.t.Failed() {
			site.t.Logf("%s:\n%s", name, readFile(site.t, entry.log))
		}
	})
	return entry
}

// launch starts an entry's process, also after an earlier one has ended.
func (site *site) launch(entry *siteEntry) {
	log, err := os.OpenFile(entry.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		site.t.Fatal(err)
	}
	entry.cmd, entry.done = exec.Command(filepath.Join(binaries, "greengageroute"), "entry"), make(chan struct{})
	entry.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+entry.file)
	entry.cmd.Stdout, entry.cmd.Stderr = log, log
	if err := entry.cmd.Start(); err != nil {
		site.t.Fatal(err)
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // the test looks at the end by itself
		log.Close()
		close(done)
	}(entry.cmd, entry.done)
}

func (site *site) until(what string, holds func() bool) {
	site.t.Helper()
	eventually(site.t, startTimeout, what, holds)
}

// ask sends a request and returns its status and body; 0 if the connection broke.
func (site *site) ask(entry *siteEntry, method, path, id, key string) (int, string) {
	return askEntry(http.DefaultClient, entry, method, path, id, key)
}

func askEntry(client *http.Client, entry *siteEntry, method, path, id, key string) (int, string) {
	request, err := http.NewRequest(method, "http://"+entry.callers+path, strings.NewReader(id))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h"
	for name, value := range map[string]string{
		platform.HeaderAttemptID: id, "Authorization": "Bearer " + key, "X-Greengageroute-Model": "m",
		"X-Greengageroute-Token-Counts": "100,60", "X-Greengageroute-Deadline-Ms": "6000",
	} {
		request.Header.Set(name, value)
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

func (site *site) nextID() string {
	site.asked++
	return fmt.Sprintf("id-%d", site.asked)
}

// chat asks for a stream until it is answered and checks that it is whole.
func (site *site) chat(entry *siteEntry) {
	site.t.Helper()
	site.until("a stream is answered", func() bool {
		status, body := site.ask(entry, "POST", "/chat/x", site.nextID(), "key-1")
		if status == http.StatusOK && body != wholeStream() {
			site.t.Errorf("a stream came as %q", body)
		}
		return status == http.StatusOK
	})
}

func wholeStream() string {
	text := strings.Builder{}
	for id := 1; id <= 30; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

func TestUsersPlatformServesEveryKind(t *testing.T) {
	site := newSite(t, 7, 2)
	for _, entry := range site.entries {
		site.chat(entry)
	}
	tests := []struct {
		name, method, path, key string
		status                  int
	}{
		{"an action", "POST", "/post/deposit", "key-1", 200},
		{"a look-up", "GET", "/get/stock", "key-1", 200},
		{"a key that nobody holds", "GET", "/get/stock", "key-2", 401},
		{"a route that does not exist", "GET", "/none/", "key-1", 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if status, body := site.ask(site.entries[0], test.method, test.path, site.nextID(), test.key); status != test.status {
				t.Errorf("got %d %q", status, body)
			}
		})
	}
	site.store.Put("op", "config", siteConfig(9, "key-1", "key-2"))
	site.until("the new key works", func() bool {
		status, _ := site.ask(site.entries[1], "GET", "/get/stock", site.nextID(), "key-2")
		return status == http.StatusOK
	})
	site.store.Put("op", "config", siteConfig(12, "key-1"))
	site.until("the key that was taken away is refused", func() bool {
		status, _ := site.ask(site.entries[1], "GET", "/get/stock", site.nextID(), "key-2")
		return status == http.StatusUnauthorized
	})
	if broken := site.peers.Violations(); len(broken) > 0 {
		t.Error(broken)
	}
}

// A member falls silent under running streams: each goes on at another group and
// arrives whole, and the group is formed anew with a spare.
func TestUsersPlatformLosesAMember(t *testing.T) {
	site := newSite(t, 7, 2) // two groups of three and a spare
	site.chat(site.entries[0])
	var streams sync.WaitGroup
	for i := range 12 {
		id := site.nextID()
		streams.Go(func() {
			status, body := site.ask(site.entries[i%2], "POST", "/chat/x", id, "key-1")
			if status == http.StatusOK && body != wholeStream() {
				t.Errorf("stream %s came as %q", id, body)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	site.models[1].Hang(2 * time.Second)
	streams.Wait()
	for range 5 {
		site.chat(site.entries[1])
	}
	if broken := site.peers.Violations(); len(broken) > 0 {
		t.Error(broken)
	}
}

// Callers that leave, before or within their stream, leave no work behind.
func TestUsersPlatformCallersLeave(t *testing.T) {
	site := newSite(t, 4, 1)
	entry := site.entries[0]
	site.chat(entry)
	active := func() (streams int) {
		for _, target := range site.models {
			streams += target.ActiveStreams()
		}
		return streams
	}
	impatient := &http.Client{Timeout: 120 * time.Millisecond, Transport: &http.Transport{}}
	var asking sync.WaitGroup
	for range 5 {
		id := site.nextID()
		asking.Go(func() { _, _ = askEntry(impatient, entry, "POST", "/chat/x", id, "key-1") })
	}
	site.until("the streams run", func() bool { return active() > 0 })
	asking.Wait()
	time.Sleep(300 * time.Millisecond)
	if left := active(); left > 0 {
		t.Errorf("%d streams still run 0.3 s after their callers left", left)
	}
	impatient.CloseIdleConnections()
}

// Entries that are stopped answer what they have read; those killed are succeeded
// as the planner.
func TestUsersPlatformEntriesComeAndGo(t *testing.T) {
	site := newSite(t, 7, 3)
	site.chat(site.entries[2])
	ids := make([]string, 6)
	var asking sync.WaitGroup
	for i := range ids {
		ids[i] = site.nextID()
		asking.Go(func() {
			if status, body := site.ask(site.entries[0], "POST", "/chat/x", ids[i], "key-1"); status == 0 {
				t.Errorf("the entry that stops cut %s off after %q", ids[i], body)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	_ = site.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	asking.Wait()
	<-site.entries[0].done
	_ = site.entries[1].cmd.Process.Kill()
	site.models[2].Hang(time.Second)
	site.models[5].Hang(time.Second)
	site.chat(site.entries[2])
	if broken := site.peers.Violations(); len(broken) > 0 {
		t.Error(broken)
	}
}

// The store is away: what stands serves on, until keys can't be proven.
func TestUsersPlatformLosesItsStore(t *testing.T) {
	site := newSite(t, 7, 1)
	site.chat(site.entries[0])
	for _, faults := range []standin.Faults{{Down: true}, {Hang: true}} {
		site.store.SetFaults(faults)
		if status, body := site.ask(site.entries[0], "POST", "/post/deposit", site.nextID(), "key-1"); status != http.StatusOK {
			t.Errorf("just after the store went: %d %q", status, body)
		}
		site.until("the entry refuses what it can't prove", func() bool {
			status, _ := site.ask(site.entries[0], "POST", "/post/deposit", site.nextID(), "key-1")
			return status == http.StatusServiceUnavailable
		})
		site.store.SetFaults(standin.Faults{})
		site.chat(site.entries[0])
	}
}

// SIGHUP, and a settings file that changes without one, end neither the process
// nor a request; a file with faults leaves the old settings in force.
func TestUsersPlatformSettingsChange(t *testing.T) {
	site := newSite(t, 7, 1)
	entry := site.entries[0]
	site.chat(entry)
	good := readFile(t, entry.file)
	logged := func(text string) func() bool {
		return func() bool { return strings.Contains(readFile(t, entry.log), text) }
	}
	_ = entry.cmd.Process.Signal(syscall.SIGHUP)
	site.until("SIGHUP is logged", logged(`"settings reloaded"`))
	writeFile(t, entry.file, strings.Replace(good, "revoke_ms=5000", "revoke_ms=4000", 1))
	site.until("the change is taken", logged(`"revoke-ms":4000`))
	writeFile(t, entry.file, "node_name=x\n")
	site.until("the faults are logged", logged(`settings not reloaded`))
	site.chat(entry)
}
