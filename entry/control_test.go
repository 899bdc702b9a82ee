package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
	"greengageroute.example/greengageroute/standin"
	"greengageroute.example/greengageroute/table"
)

const (
	// vmsPerEntry is the ratio at the design size: 2,300 engine VMs for 400
	// entries.
	vmsPerEntry     = 6
	vmsPerGroup     = 4
	measureTime     = 15 * time.Second
	convergeTimeout = time.Minute
	// localPingRound is the time in which an entry of a data centre with 33 entries
	// pings each of the others once.
	localPingRound = 20 * time.Second
	// remotePingRound is the time in which an entry pings each of its contacts in
	// 11 other data centres once.
	remotePingRound = 50 * time.Second

	// maxControlBytesPerSecond bounds the control traffic that one entry sends and
	// receives.
	maxControlBytesPerSecond = 6 << 10
)

type (
	// testCluster is a number of entries in this process, with engines and a
	// platform in another process.
	testCluster struct {
		entries  []*Entry
		platform string // address of the platform
		stop     func()
	}

	// controlCost is the cost of control traffic and its processing. Costs are per
	// entry, except reads and writes.
	controlCost struct {
		peerBytes   float64 // a second
		probeBytes  float64 // a second
		processor   float64 // share of a core
		heap        float64 // bytes
		unavailable float64 // share of groups that an entry considers unavailable
		reads       float64 // of the platform's table by all entries, a second
		writes      float64
	}
)

func startCluster(t testing.TB, dataCentres, entriesEach int) *testCluster {
	t.Helper()
	directory := t.TempDir()
	cluster := &testCluster{}
	platformAddress := startEngines(t, directory, dataCentres, entriesEach*vmsPerEntry)
	authority, err := peer.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, directory, "authority.pem", authority.Certificate)
	writeFile(t, directory, "event.key", make([]byte, 32))
	cluster.platform = platformAddress
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var seeds []string
	for i := range dataCentres * entriesEach {
		name := fmt.Sprintf("entry-%03d", i)
		settings := entrySettings(t, directory, name, fmt.Sprintf("dc-%d", i/entriesEach), authority)
		settings.Platform = platformAddress
		settings.Seeds = seeds
		entry, err := New(settings.Defaults(), logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, entry.PeerAddress())
		}
		cluster.entries = append(cluster.entries, entry)
		running.Go(func() { _ = entry.Run(ctx) })
	}
	cluster.stop = func() {
		cancel()
		running.Wait()
	}
	cluster.apply(t, dataCentres, entriesEach)
	return cluster
}

func startEngines(t testing.TB, directory string, dataCentres, enginesEach int) string {
	t.Helper()
	build := exec.Command("go", "build", "-o", directory, "../cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the stand-in program failed: %v\n%s", err, output)
	}
	command := exec.Command(filepath.Join(directory, "standin"), "engines", "--data-centres", fmt.Sprint(dataCentres), "--count", fmt.Sprint(enginesEach), "--domain", "16")
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func entrySettings(t testing.TB, directory, name, dataCentre string, authority peer.KeyPair) greengageroute.Settings {
	t.Helper()
	pair, err := peer.NewEntryKeys(authority, name)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, directory, name+".pem", pair.Certificate)
	writeFile(t, directory, name+".key", pair.Key)
	file := func(name string) string { return filepath.Join(directory, name) }
	return greengageroute.Settings{
		Name: name, DataCentre: dataCentre, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StopGrace: time.Millisecond,
		Keys: greengageroute.KeyPaths{Authority: file("authority.pem"), Certificate: file(name + ".pem"), Key: file(name + ".key"), EventKey: file("event.key")},
	}
}

func writeFile(t testing.TB, directory, name string, text []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(directory, name), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// apply applies a file with groups and waits until every group of a data centre is
// available at each of its entries.
func (cluster *testCluster) apply(t testing.TB, dataCentres, entriesEach int) {
	t.Helper()
	groups := entriesEach * vmsPerEntry / 16 * (16 / vmsPerGroup)
	var text strings.Builder
	fmt.Fprintf(&text, "models: [{name: m, vms-per-group: %d}]\n", vmsPerGroup)
	for i := range dataCentres {
		if i == 0 {
			text.WriteString("data-centres:\n")
		}
		fmt.Fprintf(&text, "  - {name: dc-%d, region: r, fabric-domains: [{name: dc-%d-0, vms: 16}]}\n", i, i)
	}
	text.WriteString("groups:\n")
	for i := range dataCentres {
		fmt.Fprintf(&text, "  - {name: g%d, model: m, data-centre: dc-%d, count: %d}\n", i, i, groups)
	}
	proposal := table.Proposal{Name: "fleet", Text: text.String(), ApplyID: uuid.NewString(), Actor: "test"}
	config, err := cluster.entries[0].configs.Apply(context.Background(), cluster.entries[0].Config(), proposal)
	if err != nil {
		t.Fatal(err)
	}
	cluster.entries[0].ConfigAccepted(config)
	for deadline := time.Now().Add(convergeTimeout); !cluster.converged(entriesEach, groups); time.Sleep(tick) {
		if time.Now().After(deadline) {
			t.Fatalf("the entries did not converge within the timeout: the first knows %d live entries of its data centre, and %d groups of %d are available there", len(cluster.entries[0].members.LiveInDataCentre()), len(cluster.entries[0].Available("m", time.Now())), groups)
		}
	}
}

func (cluster *testCluster) converged(entriesEach, groups int) bool {
	for _, entry := range cluster.entries {
		if len(entry.members.LiveInDataCentre()) != entriesEach || len(entry.Available("m", time.Now())) != groups {
			return false
		}
	}
	return true
}

// measure waits for warmUp, a round of pings in which every connection is made, and
// then measures for the duration.
func (cluster *testCluster) measure(warmUp, duration time.Duration) controlCost {
	time.Sleep(warmUp)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	peersBefore, probesBefore := cluster.traffic()
	processorBefore := processorTime()
	countsBefore := cluster.platformCounts()
	groups, unavailable := 0, 0
	for began := time.Now(); time.Since(began) < duration; time.Sleep(tick) {
		for _, entry := range cluster.entries {
			available := len(entry.Available("m", time.Now()))
			groups += len(entry.Fleet().Groups)
			unavailable += len(entry.Fleet().Groups) - available
		}
	}
	peersAfter, probesAfter := cluster.traffic()
	countsAfter := cluster.platformCounts()
	entrySeconds := float64(len(cluster.entries)) * duration.Seconds()
	return controlCost{
		peerBytes: float64(peersAfter-peersBefore) / entrySeconds, probeBytes: float64(probesAfter-probesBefore) / entrySeconds,
		processor:   (processorTime() - processorBefore).Seconds() / entrySeconds,
		heap:        float64(memory.HeapAlloc) / float64(len(cluster.entries)),
		unavailable: float64(unavailable) / float64(max(groups, 1)),
		reads:       float64(countsAfter.Reads-countsBefore.Reads) / duration.Seconds(),
		writes:      float64(countsAfter.Writes-countsBefore.Writes) / duration.Seconds(),
	}
}

func (cluster *testCluster) platformCounts() standin.PlatformCounts {
	var counts standin.PlatformCounts
	response, err := http.Get("http://" + cluster.platform + "/control/counts")
	if err != nil {
		return counts
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&counts) // after an error the reported rates show zero counts
	return counts
}

func (cluster *testCluster) traffic() (peers, probes uint64) {
	for _, entry := range cluster.entries {
		peer, probe := entry.Traffic()
		peers += peer
		probes += probe
	}
	return peers, probes
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail for the process itself
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkControl measures the control cost of one entry at several sizes; the
// tables of docs/CAPACITY.md come from it. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct {
		centres, each int
		warmUp        time.Duration
	}{{1, 5, localPingRound}, {1, 10, localPingRound}, {1, 20, localPingRound}, {1, 33, localPingRound}, {4, 8, remotePingRound}, {12, 3, remotePingRound}} {
		b.Run(fmt.Sprintf("%dx%d", size.centres, size.each), func(b *testing.B) {
			cluster := startCluster(b, size.centres, size.each)
			defer cluster.stop()
			b.ResetTimer()
			cost := controlCost{}
			for range b.N {
				cost = cluster.measure(size.warmUp, measureTime)
			}
			b.ReportMetric(cost.peerBytes, "peerB/s")
			b.ReportMetric(cost.probeBytes, "probeB/s")
			b.ReportMetric(100*cost.processor, "%core")
			b.ReportMetric(cost.heap/1024, "heapKB")
			b.ReportMetric(cost.reads, "reads/s")
			b.ReportMetric(cost.writes, "writes/s")
			b.ReportMetric(100*cost.unavailable, "%unserved")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// TestControlTraffic checks that each entry of a data centre of the design size
// sends and receives no more control traffic than allowed.
func TestControlTraffic(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 33 entries")
	}
	cluster := startCluster(t, 1, 33)
	defer cluster.stop()
	cost := cluster.measure(localPingRound, measureTime)
	total := cost.peerBytes + cost.probeBytes
	t.Logf("control traffic of each entry: %.0f bytes a second with other entries, %.0f for probes, limit %d", cost.peerBytes, cost.probeBytes, maxControlBytesPerSecond)
	if total > maxControlBytesPerSecond {
		t.Errorf("each entry sends and receives %.0f bytes of control traffic a second, want at most %d", total, maxControlBytesPerSecond)
	}
}

// BenchmarkConfigPropagation measures the traffic that one accepted file causes at
// each entry, and the time until the last entry has adopted it. Run it with
// -benchtime 20x.
func BenchmarkConfigPropagation(b *testing.B) {
	for _, size := range []struct{ centres, each int }{{1, 5}, {1, 33}, {12, 3}} {
		b.Run(fmt.Sprintf("%dx%d", size.centres, size.each), func(b *testing.B) {
			cluster := startCluster(b, size.centres, size.each)
			defer cluster.stop()
			time.Sleep(remotePingRound) // until every connection has been made
			idle := cluster.measure(0, measureTime)
			before, _ := cluster.traffic()
			began := time.Now()
			slowest := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				slowest = max(slowest, cluster.propagateConfig(b, i))
			}
			after, _ := cluster.traffic()
			bytesPerEntry := float64(after-before)/float64(len(cluster.entries)) - idle.peerBytes*time.Since(began).Seconds()
			b.ReportMetric(bytesPerEntry/float64(b.N), "B/change")
			b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// propagateConfig applies a file of about 1 KB at one entry and returns the time
// until all others have adopted it.
func (cluster *testCluster) propagateConfig(b *testing.B, round int) time.Duration {
	b.Helper()
	first := cluster.entries[round%len(cluster.entries)]
	current, _ := first.Config().Version("spread")
	text := fmt.Sprintf("# %s\nclasses: [{name: spread, rank: 9, deadline: %ds}]", strings.Repeat("x", 1000), round+1)
	config, err := first.configs.Apply(context.Background(), first.Config(), table.Proposal{
		Name: "spread", Text: text, BaseVersion: current.Version, ApplyID: uuid.NewString(), Actor: "test",
	})
	if err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	first.ConfigAccepted(config)
	for _, entry := range cluster.entries {
		for entry.Config().Revision() < config.Revision() && time.Since(began) < convergeTimeout {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}
