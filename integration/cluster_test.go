// Package integration tests the system as separate processes on the loopback
// interface while it injects faults into them.
package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/standin"
)

const (
	operatorToken = "test-operator"
	counterKey    = "test-counters"
	lettersKey    = "test-letters"
	modelName     = "trail-70b"
	startTimeout  = 40 * time.Second
	pollInterval  = 50 * time.Millisecond

	firstPort = 20000
	endPort   = 30000
	portBlock = 1000
)

var (
	binDirectory string
	claimedPorts int      // first port of this process's block
	portsInTests sync.Map // ports that tests which run were given
	lastPort     atomic.Int32
)

type (
	// clusterOptions is the size and the kind of a cluster's parts.
	clusterOptions struct {
		dataCentres   []string
		entries       int // per data centre
		engines       int // per data centre
		vmsPerGroup   int
		groups        int           // per data centre
		ignoresFences bool          // engines accept orders with an outdated fencing number
		tokenInterval time.Duration // between two tokens of an engine
		services      int
	}

	// process is a program that the test runs.
	process struct {
		name    string
		args    []string
		logPath string
		cmd     *exec.Cmd
		exited  chan struct{}
	}

	// clusterEntry is an entry. It reaches the platform through a proxy.
	clusterEntry struct {
		*process
		dataCentre    string
		listen        string
		peerListen    string // UDP address of its socket behind the proxy
		platformProxy *tcpProxy
	}

	// engine is the stand-in engine of a VM. Entries reach it through a proxy.
	engine struct {
		*process
		vm            greengageroute.VM
		directAddress string // behind the proxy; used by the test itself
		proxy         *tcpProxy
	}

	// cluster is a platform, its VMs and services, and the entries.
	cluster struct {
		t                *testing.T
		options          clusterOptions
		dir              string
		platform         *process
		platformAddress  string
		entries          []*clusterEntry
		engines          []*engine
		services         []*process
		serviceAddresses []string // behind the proxies
		serviceProxies   []*tcpProxy

		mu      sync.Mutex
		dropped map[string]bool // "source>destination" of peer sockets whose datagrams are dropped
	}
)

func TestMain(m *testing.M) {
	claim, err := claimPorts()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	dir, err := os.MkdirTemp("", "greengageroute-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDirectory = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the programs: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	_ = claim.Close()
	os.Exit(code)
}

// startCluster starts a cluster, applies its config and waits until every group
// serves.
func startCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	cluster := prepareCluster(t, options)
	for _, entry := range cluster.entries {
		entry.start(t)
	}
	cluster.apply("base", cluster.config())
	cluster.waitUntilServing(len(options.dataCentres) * options.groups)
	return cluster
}

// prepareCluster starts the engines, services and platform of a cluster and
// writes the settings of its entries, without starting them.
func prepareCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	cluster := &cluster{t: t, options: options, dir: t.TempDir(), dropped: map[string]bool{}}
	var vms []greengageroute.VM
	for _, dataCentre := range options.dataCentres {
		for i := range options.engines {
			vms = append(vms, cluster.startEngine(fmt.Sprintf("%s-vm-%d", dataCentre, i), dataCentre))
		}
	}
	for i := range options.services {
		address := freeTCP(t)
		service := cluster.newProcess(fmt.Sprintf("service-%d", i), "standin", "service", "--listen", address)
		service.start(t)
		cluster.services = append(cluster.services, service)
		proxy := newTCPProxy(t, address)
		cluster.serviceProxies = append(cluster.serviceProxies, proxy)
		cluster.serviceAddresses = append(cluster.serviceAddresses, address)
	}
	vmsFile := filepath.Join(cluster.dir, "vms.json")
	cluster.writeJSON(vmsFile, vms)
	cluster.platformAddress = freeTCP(t)
	cluster.platform = cluster.newProcess("platform", "standin", "platform", "--listen", cluster.platformAddress, "--vms", vmsFile)
	cluster.platform.start(t)
	cluster.prepareEntries()
	return cluster
}

func (cluster *cluster) startEngine(id, dataCentre string) greengageroute.VM {
	t := cluster.t
	directAddress := freeTCP(t)
	proxy := newTCPProxy(t, directAddress)
	process := cluster.newProcess(id, "standin", "engine", "--listen", directAddress, "--vm", id,
		fmt.Sprintf("--honours-fences=%t", !cluster.options.ignoresFences), "--token-interval", cluster.options.tokenInterval.String())
	process.start(t)
	vm := greengageroute.VM{ID: id, Address: proxy.address(), DataCentre: dataCentre, Domain: dataCentre + "-1", State: greengageroute.VMLive}
	cluster.engines = append(cluster.engines, &engine{process: process, vm: vm, directAddress: directAddress, proxy: proxy})
	return vm
}

func (cluster *cluster) prepareEntries() {
	t := cluster.t
	var names, seeds []string
	for _, dataCentre := range cluster.options.dataCentres {
		for i := range cluster.options.entries {
			name := fmt.Sprintf("%s-entry-%d", dataCentre, i)
			names = append(names, name)
			entry := &clusterEntry{dataCentre: dataCentre, listen: freeTCP(t), peerListen: freeUDP(t), platformProxy: newTCPProxy(t, cluster.platformAddress)}
			destination := entry.peerListen
			peerProxy := newUDPProxy(t, entry.peerListen, func(source string) bool {
				cluster.mu.Lock()
				defer cluster.mu.Unlock()
				return cluster.dropped[source+">"+destination]
			})
			seeds = append(seeds, peerProxy.address())
			settings := filepath.Join(cluster.dir, name+".yaml")
			entry.process = cluster.newProcess(name, "greengageroute", "entry", "--settings", settings)
			cluster.entries = append(cluster.entries, entry)
		}
	}
	cluster.runCommand(append([]string{"keys", "--directory", cluster.dir}, names...)...)
	for i, entry := range cluster.entries {
		cluster.writeSettings(entry, seeds[i], seeds[:min(3, len(seeds))])
	}
}

func (cluster *cluster) writeSettings(entry *clusterEntry, address string, seeds []string) {
	text := fmt.Sprintf(`name: %s
data-centre: %s
listen: %s
peer-listen: %s
peer-address: %s
seeds: [%s]
platform: %s
operator-token-hash: %s
lease-term: 3s
stop-grace: 500ms
stop-timeout: 20s
keys:
  authority: %s/authority.pem
  certificate: %s/%s.pem
  key: %s/%s.key
  event-key: %s/event.key
`, entry.name, entry.dataCentre, entry.listen, entry.peerListen, address, strings.Join(seeds, ", "), entry.platformProxy.address(),
		greengageroute.HashKey(operatorToken), cluster.dir, cluster.dir, entry.name, cluster.dir, entry.name, cluster.dir)
	writeFile(cluster.t, entry.args[len(entry.args)-1], text)
}

// config returns the configuration file that matches the options.
func (cluster *cluster) config() string {
	var text strings.Builder
	text.WriteString("data-centres:\n")
	for _, dataCentre := range cluster.options.dataCentres {
		fmt.Fprintf(&text, "  - {name: %s, region: hills, fabric-domains: [{name: %s-1, vms: %d}]}\n", dataCentre, dataCentre, max(cluster.options.engines, 1))
	}
	fmt.Fprintf(&text, "models:\n  - {name: %s, vms-per-group: %d}\ngroups:\n", modelName, cluster.options.vmsPerGroup)
	for _, dataCentre := range cluster.options.dataCentres {
		fmt.Fprintf(&text, "  - {name: %s, model: %s, data-centre: %s, count: %d}\n", dataCentre, modelName, dataCentre, cluster.options.groups)
	}
	text.WriteString("classes:\n  - {name: counter, rank: 0, deadline: 10s}\n  - {name: letters, rank: 2, deadline: 20s}\n")
	if len(cluster.serviceProxies) > 0 {
		text.WriteString("services:\n  - name: ledger\n    outcome-path: /outcomes/{key}\n    timeout: 2s\n    targets:\n")
		for _, proxy := range cluster.serviceProxies {
			fmt.Fprintf(&text, "      - {address: %s, data-centre: %s}\n", proxy.address(), cluster.options.dataCentres[0])
		}
	}
	services := "[]"
	if len(cluster.serviceProxies) > 0 {
		services = "[ledger]"
	}
	fmt.Fprintf(&text, "workspaces:\n  - {name: counters, class: counter, models: [%s], services: %s, key-hashes: [%s]}\n", modelName, services, greengageroute.HashKey(counterKey))
	fmt.Fprintf(&text, "  - {name: letters, class: letters, models: [%s], services: [], key-hashes: [%s]}\n", modelName, greengageroute.HashKey(lettersKey))
	return text.String()
}

func (cluster *cluster) newProcess(name, program string, args ...string) *process {
	return &process{name: name, args: append([]string{program}, args...), logPath: filepath.Join(cluster.dir, name+".log")}
}

func (process *process) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(process.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(binDirectory, process.args[0]), process.args[1:]...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	process.cmd, process.exited = command, done
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-done
		if t.Failed() {
			text, _ := os.ReadFile(process.logPath)
			t.Logf("log of %s:\n%s", process.name, text[max(0, len(text)-4000):])
		}
	})
}

func (process *process) signal(signal syscall.Signal) { _ = process.cmd.Process.Signal(signal) }

// kill sends SIGKILL and waits for the process to exit.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.exited
}

// runCommand runs a command of greengageroute and returns its output. It fails
// the test if the command fails.
func (cluster *cluster) runCommand(args ...string) string {
	cluster.t.Helper()
	output, err := cluster.tryCommand(args...)
	if err != nil {
		cluster.t.Fatalf("greengageroute %s: %v\n%s", strings.Join(args, " "), err, output)
	}
	return output
}

func (cluster *cluster) tryCommand(args ...string) (string, error) {
	return cluster.tryCommandAs(operatorToken, args...)
}

// tryCommandAs runs a command with the given operator token.
func (cluster *cluster) tryCommandAs(token string, args ...string) (string, error) {
	command := exec.Command(filepath.Join(binDirectory, "greengageroute"), args...)
	command.Env = append(os.Environ(), "GREENGAGEROUTE_TOKEN="+token)
	output, err := command.CombinedOutput()
	return string(output), err
}

// apply applies a file through the first entry and retries until it is accepted.
func (cluster *cluster) apply(name, text string) {
	cluster.t.Helper()
	path := cluster.writeConfig(name, text)
	eventually(cluster.t, startTimeout, "file "+name+" is applied", func() bool {
		_, err := cluster.tryCommand("apply", path, "--entry", cluster.entries[0].listen)
		return err == nil
	})
}

func (cluster *cluster) writeConfig(name, text string) string {
	path := filepath.Join(cluster.dir, name+".yaml")
	writeFile(cluster.t, path, text)
	return path
}

// clusterStatus is the response to an operator's status request.
type clusterStatus struct {
	Revision uint64 `json:"revision"`
	Groups   []struct {
		Name  string   `json:"name"`
		State string   `json:"state"`
		VMs   []string `json:"vms"`
	} `json:"groups"`
	Entries []struct {
		Name     string `json:"name"`
		State    string `json:"state"`
		Revision uint64 `json:"revision"`
	} `json:"entries"`
}

func (cluster *cluster) status(entry *clusterEntry) (clusterStatus, error) {
	var status clusterStatus
	request, _ := http.NewRequest(http.MethodGet, "http://"+entry.listen+"/admin/status", nil)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := httpClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// counter reads one counter of an entry.
func (cluster *cluster) counter(entry *clusterEntry, name string) int {
	cluster.t.Helper()
	request, _ := http.NewRequest(http.MethodGet, "http://"+entry.listen+"/debug/vars", nil)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := httpClient.Do(request)
	if err != nil {
		cluster.t.Fatal(err)
	}
	defer response.Body.Close()
	var counters map[string]int
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		cluster.t.Fatal(err)
	}
	return counters[name]
}

// servingGroups returns the number of groups that the entry routes requests to;
// -1 if the entry doesn't respond.
func (cluster *cluster) servingGroups(entry *clusterEntry) int {
	status, err := cluster.status(entry)
	if err != nil {
		return -1
	}
	count := 0
	for _, group := range status.Groups {
		if group.State == "serving" {
			count++
		}
	}
	return count
}

// waitUntilServing waits until every entry routes to all groups of its data
// centre. The groups are counted over all data centres.
func (cluster *cluster) waitUntilServing(groups int) {
	cluster.t.Helper()
	groupsPerEntry := groups / len(cluster.options.dataCentres)
	eventually(cluster.t, startTimeout, fmt.Sprintf("every entry routes to %d groups", groupsPerEntry), func() bool {
		return !slices.ContainsFunc(cluster.entries, func(entry *clusterEntry) bool { return cluster.servingGroups(entry) != groupsPerEntry })
	})
}

// setPartitioned drops all datagrams between two sets of entries, in both
// directions, or carries them again.
func (cluster *cluster) setPartitioned(from, to []*clusterEntry, partitioned bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for _, source := range from {
		for _, destination := range to {
			cluster.dropped[source.peerListen+">"+destination.peerListen] = partitioned
			cluster.dropped[destination.peerListen+">"+source.peerListen] = partitioned
		}
	}
}

// splitEntries returns the entries inside and outside a data centre.
func (cluster *cluster) splitEntries(dataCentre string) (inside, outside []*clusterEntry) {
	for _, entry := range cluster.entries {
		if entry.dataCentre == dataCentre {
			inside = append(inside, entry)
		} else {
			outside = append(outside, entry)
		}
	}
	return inside, outside
}

func (cluster *cluster) setFaults(address string, faults any) {
	cluster.t.Helper()
	postJSON(cluster.t, "http://"+address+"/control/faults", faults)
}

func (cluster *cluster) setPlatformFaults(faults standin.PlatformFaults) {
	cluster.t.Helper()
	cluster.setFaults(cluster.platformAddress, faults)
}

// records returns the times at which all services recorded each key.
func (cluster *cluster) records() map[string][]time.Time {
	total := map[string][]time.Time{}
	for _, address := range cluster.serviceAddresses {
		var records map[string][]time.Time
		getJSON(cluster.t, "http://"+address+"/control/records", &records)
		for key, times := range records {
			total[key] = append(total[key], times...)
		}
	}
	return total
}

func (cluster *cluster) writeJSON(path string, value any) {
	text, err := json.Marshal(value)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		cluster.t.Fatal(err)
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func postJSON(t *testing.T, url string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	response, err := httpClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

func getJSON(t *testing.T, url string, value any) {
	t.Helper()
	response, err := httpClient.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		t.Fatal(err)
	}
}

func decodeJSON[T any](t *testing.T, text []byte) T {
	t.Helper()
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatalf("cannot decode %q: %v", text, err)
	}
	return value
}

// eventually waits until the condition holds and returns the time it took. It
// fails the test after the limit.
func eventually(t *testing.T, limit time.Duration, condition string, holds func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for time.Since(started) < limit {
		if holds() {
			return time.Since(started)
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("condition not met within %s: %s", limit, condition)
	return 0
}

// claimPorts reserves a block of ports for this process, so that several runs of
// the tests on one VM don't take each other's: it returns a listener on the block's
// first port. The ports lie below the ephemeral range, so the system doesn't give one
// to an outgoing connection while the process that uses it restarts.
func claimPorts() (net.Listener, error) {
	for first := firstPort; first < endPort; first += portBlock {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			claimedPorts = first
			return listener, nil
		}
	}
	return nil, fmt.Errorf("every block of ports from %d to %d is in use; end other runs of the tests", firstPort, endPort)
}

// freePort returns a loopback address from the process's block that nothing listens on, and
// that no other test is given until this one has ended: its process may just be restarting.
func freePort(t *testing.T, bind func(address string) (io.Closer, error)) string {
	t.Helper()
	for range portBlock {
		port := claimedPorts + 1 + int(lastPort.Add(1))%(portBlock-1)
		if _, taken := portsInTests.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := bind(address); err == nil {
			_ = listener.Close()
			t.Cleanup(func() { portsInTests.Delete(port) })
			return address
		}
		portsInTests.Delete(port)
	}
	t.Fatalf("no free port among the %d after %d", portBlock, claimedPorts)
	return ""
}

func freeTCP(t *testing.T) string {
	t.Helper()
	return freePort(t, func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

func freeUDP(t *testing.T) string {
	t.Helper()
	return freePort(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}
