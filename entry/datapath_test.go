package entry

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/standin"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
)

const (
	callerKey  = "path-key"
	pathTokens = 200
)

// dataPath is one entry and one engine, both in this process.
type dataPath struct {
	engine *httptest.Server
	entry  *httptest.Server
	group  greengageroute.Group
}

func newDataPath(t testing.TB, interval time.Duration) *dataPath {
	t.Helper()
	engine := standin.NewEngine(standin.EngineSettings{VM: "vm-1", TokenInterval: interval})
	path := &dataPath{engine: httptest.NewServer(engine.Handler())}
	address := strings.TrimPrefix(path.engine.URL, "http://")
	cluster := startCluster(t, 1, 1)
	entry := cluster.entries[0]
	text := fmt.Sprintf("models: [{name: p, vms-per-group: 1, streams-per-group: 4096}]\nclasses: [{name: c, rank: 0, deadline: 1m}]\nworkspaces: [{name: w, class: c, models: [p], key-hashes: [%s]}]", greengageroute.HashKey(callerKey))
	config, err := entry.configs.Apply(context.Background(), entry.Config(), pathProposal(text))
	if err != nil {
		t.Fatal(err)
	}
	entry.ConfigAccepted(config)
	// The test loads the engine and sets the fleet itself, without the planner, since
	// only the data path is measured.
	if err := target.NewClient(nil, nil).SendOrder(context.Background(), greengageroute.EngineOrder{VM: "vm-1", Address: address, Group: "p-0", Generation: 1000}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	report, err := target.NewClient(nil, nil).Probe(context.Background(), address)
	if err != nil || !report.Loaded {
		t.Fatalf("the engine did not load: %+v, %v", report, err)
	}
	path.group = greengageroute.Group{Name: "p-0", Model: "p", Generation: 1000, Members: []greengageroute.Member{{VM: "vm-1", Address: address, Boot: report.Boot}}}
	entry.documents.adoptFleet(greengageroute.Fleet{Revision: 1 << 40, Groups: []greengageroute.Group{path.group}})
	entry.chatAdmission.SetSlots(1 << 20)
	path.entry = httptest.NewServer(entry.handler())
	t.Cleanup(func() {
		path.entry.Close()
		cluster.stop()
		path.engine.Close()
	})
	entry.probeGroup(context.Background(), path.group)
	return path
}

// callEngine sends a request directly to the engine and returns the time to the
// first token.
func (path *dataPath) callEngine(tokens int) (time.Duration, error) {
	request := target.GenerateRequest{ID: "d", Model: "p", Prompt: "x", MaxTokens: tokens, Group: "p-0", Generation: 1000}
	client := target.NewClient(nil, nil)
	began := time.Now()
	stream, err := client.Generate(context.Background(), strings.TrimPrefix(path.engine.URL, "http://"), request, func() time.Time { return time.Now().Add(time.Hour) }, func() {})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	_, err = stream.Next(context.Background())
	return time.Since(began), err
}

// callEntry sends a chat completion to the entry and reads the answer to its end. It
// returns the time to the first token and the number of tokens.
func (path *dataPath) callEntry(client *http.Client, tokens int) (first time.Duration, count int, err error) {
	body := fmt.Sprintf(`{"model":"p","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	request, _ := http.NewRequest(http.MethodPost, path.entry.URL+"/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			if count == 0 {
				first = time.Since(began)
			}
			count++
		}
	}
	if count != tokens {
		err = fmt.Errorf("status %s, got %d tokens, want %d", response.Status, count, tokens)
	}
	return first, count, err
}

// BenchmarkDataPath measures the processor time of the data path. It includes that
// of the caller and the engine stand-in, which run in the same process.
func BenchmarkDataPath(b *testing.B) {
	for _, streams := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			path := newDataPath(b, 0)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
			b.ReportAllocs()
			b.ResetTimer()
			processor := processorTime()
			var callers sync.WaitGroup
			for range streams {
				callers.Go(func() {
					for range (b.N + streams - 1) / streams {
						if _, _, err := path.callEntry(client, pathTokens); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			callers.Wait()
			processorSeconds := (processorTime() - processor).Seconds()
			requests := float64((b.N + streams - 1) / streams * streams)
			b.ReportMetric(requests*pathTokens/processorSeconds, "tokens/core-s")
			b.ReportMetric(requests/processorSeconds, "requests/core-s")
		})
	}
}

// TestFirstTokenThroughTheEntry compares the time to the first token with that
// of a direct call, in one run. The entry may add at most a tenth of the 0.67 s that
// the users allow, and an engine takes at least 50 ms.
func TestFirstTokenThroughTheEntry(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const rounds, prefill = 60, 50 * time.Millisecond
	path := newDataPath(t, prefill)
	client := &http.Client{}
	var direct, through []time.Duration
	for range rounds {
		first, err := path.callEngine(1)
		if err != nil {
			t.Fatal(err)
		}
		direct = append(direct, first)
		first, _, err = path.callEntry(client, 1)
		if err != nil {
			t.Fatal(err)
		}
		through = append(through, first)
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, percentile := range []int{50, 95} {
		directTime, entryTime := direct[rounds*percentile/100], through[rounds*percentile/100]
		t.Logf("p%d: direct %s, through the entry %s, ratio %.2f", percentile, directTime.Round(10*time.Microsecond), entryTime.Round(10*time.Microsecond), float64(entryTime)/float64(directTime))
	}
	if ratio := float64(through[rounds/2]) / float64(direct[rounds/2]); ratio > 1.1 {
		t.Errorf("the first token takes %.2f times as long through the entry, want at most 1.1", ratio)
	}
}

// BenchmarkStreamMemory measures the memory of an open stream: that of the entry,
// the caller and the engine together.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 1000
	path := newDataPath(b, time.Hour)
	for range b.N {
		before := heapAndStacks()
		ctx, stop := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for range streams {
			callers.Go(func() {
				body := `{"model":"p","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}`
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, path.entry.URL+"/v1/chat/completions", strings.NewReader(body))
				request.Header.Set("Authorization", "Bearer "+callerKey)
				if response, err := http.DefaultClient.Do(request); err == nil {
					_ = response.Body.Close()
				}
			})
		}
		time.Sleep(800 * time.Millisecond)
		b.ReportMetric(float64(heapAndStacks()-before)/streams/1024, "KB/stream")
		stop()
		callers.Wait()
	}
}

func heapAndStacks() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc + memory.StackInuse
}

func pathProposal(text string) table.Proposal {
	return table.Proposal{Name: "path", Text: text, ApplyID: "path", Actor: "test"}
}
