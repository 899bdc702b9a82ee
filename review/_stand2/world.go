// Command stand2 plays the scripted cases of the second review. It starts entries as separate
// processes on loopback addresses, and plays the store, the runners and the requesters itself.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

type (
	// world is a small deployment: a store and runners in this process, and entries.
	world struct {
		dir     string
		program string
		trouble bool
		store   *standin.Store
		peers   *standin.Peers
		address string // of the store
		entries []*entry
		targets []*standin.Target
		record  *record
	}

	// entry is a process of the system.
	entry struct {
		name, callers, ready string
		command              *exec.Cmd
		exited               chan struct{}
	}

	// record writes what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

// printf writes a line with the time since the start.
func (record *record) printf(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}

// newWorld starts a store. The record is written into the given folder.
func newWorld(program, folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	world := &world{
		dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), peers: standin.NewPeers(),
		record: &record{file: file, start: time.Now()},
	}
	world.address, err = serve(world.store.Handler())
	return world, err
}

// serve serves a handler at a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // until the process ends
	return listener.Addr().String(), nil
}

// close ends all entries and removes the temporary folder.
func (world *world) close() {
	for _, entry := range world.entries {
		_ = entry.command.Process.Kill() // fails if it has ended
		<-entry.exited
	}
	for _, target := range world.targets {
		target.Close()
	}
	_ = os.RemoveAll(world.dir)
	_ = world.record.file.Close()
}

// startTarget starts a runner of the project's own kind.
func (world *world) startTarget(id, service string) error {
	target, err := standin.StartTarget(world.store, world.peers, id, service, "")
	if err != nil {
		return err
	}
	world.targets = append(world.targets, target)
	return nil
}

// beat writes the rows of the runners as often as their heartbeats do.
func (world *world) beat() {
	for range time.Tick(1200 * time.Millisecond) {
		for _, target := range world.targets {
			target.Beat()
		}
	}
}

func freeAddress(network string) (string, error) {
	if network == "udp4" {
		conn, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startEntry starts an entry in a zone with the settings of a small deployment. Its store is at
// the given address.
func (world *world) startEntry(name, zone, storeAddress string) (*entry, error) {
	callers, err1 := freeAddress("tcp4")
	ready, err2 := freeAddress("tcp4")
	peer, err3 := freeAddress("tcp4")
	metrics, err4 := freeAddress("tcp4")
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return nil, err
	}
	_, port, _ := strings.Cut(peer, ":")
	_, metricsPort, _ := strings.Cut(metrics, ":")
	path := filepath.Join(world.dir, name+".conf")
	settings := fmt.Sprintf(settingsText, name, zone, zone, callers, ready, port, port, storeAddress)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(world.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	started := &entry{name: name, callers: callers, ready: ready, exited: make(chan struct{})}
	started.command = exec.Command(world.program, "entry", "--metrics", ":"+metricsPort)
	started.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + world.dir, "GREENGAGEROUTE_CONFIG=" + path}
	started.command.Stdout, started.command.Stderr = log, log
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = started.command.Wait() // the case looks at exited
		log.Close()
		close(started.exited)
	}()
	world.entries = append(world.entries, started)
	return started, nil
}

// isReady asks an entry's health check.
func (entry *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + entry.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (world *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, entry := range world.entries {
			if entry.isReady() {
				ready++
			}
		}
		if ready == len(world.entries) {
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

// putConfig writes the operator's config with one plain service.
func (world *world) putConfig(version int, attempts int) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "service": "desk", "timeout_ms": 4000,
			"target_latency_ms": 100, "priority": 1, "attempts": attempts, "public": false,
		}
	}
	text, _ := json.Marshal(map[string]any{ // of values that can be encoded
		"version":  version,
		"routes":   []any{route("post", "/post/", "non_idempotent"), route("get", "/get/", "idempotent")},
		"services": []any{map[string]any{"name": "desk", "health_path": standin.HealthPath, "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "counter", "api_keys": []string{key}}},
	})
	world.store.PutBytes("op", "config", text)
}

const (
	key = "key-of-the-counter"
	// settingsText is the settings file, as the deploy page shows it, with loopback addresses.
	settingsText = `node_name=%s
role=entry
machine_class=frontend
serves=frontend
ip_address=127.0.0.1
zone=%s
region=central
zones.%s=central
listen_addresses.frontend=%s
listen_addresses.ready=%s
internal_port_range=%s,%s
bootstrap=true
limits.cpu_share=0.272
limits.cpu_cores=1
limits.memory_mb=206
limits.file_descriptors=2940
limits.link_mbps=700.0
heartbeat_ms=1200
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.extra_retries=260
bounds.recovery_s=12
bounds.stall_ms=6000
platform.address=%s
`
)
