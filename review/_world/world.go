package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

const (
	// readyTimeout is how long an entry has to report itself ready after its start.
	readyTimeout = 15 * time.Second
	// metricsFlag is as in the deploy file.
	metricsFlag = ":9464"

	settingsText = `node_name=%s
role=entry
machine_class=frontend
serves=frontend
ip_address=%s
zone=a
region=r
zones.a=r
listen_addresses.frontend=%s
listen_addresses.ready=%s
internal_port_range=%s,%s
limits.cpu_share=0.272
limits.cpu_cores=1
limits.memory_mb=%d
limits.file_descriptors=%d
limits.link_mbps=700.0
limits.disk_mb=0
heartbeat_ms=1200
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.config_apply_ms=2000
bounds.strict_revocation=true
bounds.revoke_ms=%d
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.extra_retries=282
bounds.recovery_s=12
bounds.stall_ms=%d
bounds.enforce_fencing=false
platform.address=%s
platform.form=table
`
)

type (
	// world is the platform with its store, and the processes that the script has started.
	world struct {
		trouble bool
		store   *standin.Store
		address string // of the store
		folder  string // temporary
		started time.Time

		mu        sync.Mutex
		file      *os.File
		processes []*exec.Cmd
	}

	// entry is a process of the project on a loopback address.
	entry struct {
		world                *world
		name, callers, ready string
		settings             string // path of the file
		text                 string // of the settings
		words                []string
		command              *exec.Cmd
		exited               chan struct{}
	}
)

func newWorld(recordPath string, trouble bool) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world := &world{
		trouble: trouble, store: standin.NewStore(), address: listener.Addr().String(), folder: folder,
		started: time.Now(), file: file,
	}
	go func() { _ = http.Serve(listener, world.store.Handler()) }() // until the process ends
	world.record("trouble: %v", trouble)
	return world, nil
}

// record writes a line with the time since the start.
func (world *world) record(format string, values ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	fmt.Fprintf(world.file, "%8.3f "+format+"\n", append([]any{time.Since(world.started).Seconds()}, values...)...)
}

// close ends all processes and removes the temporary folder.
func (world *world) close() {
	world.mu.Lock()
	processes := world.processes
	world.processes = nil
	world.mu.Unlock()
	for _, process := range processes {
		_ = process.Process.Kill() // it may have ended
	}
	_ = os.RemoveAll(world.folder)
}

// freeAddress returns an address that nothing listens on.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newEntry writes the settings of an entry, those of a small deployment. wrap is put before
// the command.
func (world *world) newEntry(name, ip string, wrap ...string) (*entry, error) {
	var addresses []string
	for range 3 {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	added := &entry{
		world: world, name: name, callers: addresses[0], ready: addresses[1], settings: filepath.Join(world.folder, name+".conf"),
		words: append(wrap, "target/greengageroute", "entry", "--metrics", metricsFlag),
	}
	added.text = fmt.Sprintf(settingsText, name, ip, addresses[0], addresses[1], peerPort, peerPort, memoryMB, fileDescriptors, revokeTime.Milliseconds(), stallTime.Milliseconds(), world.address)
	return added, nil
}

// start starts the entry's process with the deploy file's command. bootstrap is set if the
// whole system starts for the first time.
func (entry *entry) start(bootstrap bool) error {
	if err := os.WriteFile(entry.settings, fmt.Appendf([]byte(entry.text), "bootstrap=%v\n", bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(entry.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(entry.words[0], entry.words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEROUTE_CONFIG=" + entry.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	entry.world.mu.Lock()
	entry.world.processes = append(entry.world.processes, command)
	entry.command, entry.exited = command, exited
	entry.world.mu.Unlock()
	go func() {
		_ = command.Wait() // how it ended doesn't matter
		close(exited)
	}()
	return nil
}

// startEntry starts an entry and waits until it is ready.
func (world *world) startEntry(name, ip string, wrap ...string) (*entry, error) {
	started, err := world.newEntry(name, ip, wrap...)
	if err == nil {
		err = started.start(true)
	}
	if err != nil {
		return nil, err
	}
	return started, started.awaitReady()
}

// awaitReady waits until the entry says that it is ready.
func (entry *entry) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if entry.isReady(http.DefaultClient) {
			entry.world.record("entry %s is ready, process %d", entry.name, entry.command.Process.Pid)
			return nil
		}
	}
	return fmt.Errorf("entry %s was not ready after %s: %s", entry.name, readyTimeout, entry.tail())
}

func (entry *entry) logPath() string { return filepath.Join(entry.world.folder, entry.name+".log") }

// isReady asks the entry as the platform's balancer does.
func (entry *entry) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + entry.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // lets the connection be used again
	return response.StatusCode == http.StatusOK
}

// hasExited reports whether the process has ended.
func (entry *entry) hasExited() bool {
	select {
	case <-entry.exited:
		return true
	default:
		return false
	}
}

// tail returns the end of the entry's log.
func (entry *entry) tail() string {
	text, _ := os.ReadFile(entry.logPath())
	return strings.TrimSpace(string(text[max(len(text)-600, 0):]))
}

// panicLine returns the line of the log that says why the process ended by itself.
func (entry *entry) panicLine() string {
	text, _ := os.ReadFile(entry.logPath())
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no panic in the log"
}
