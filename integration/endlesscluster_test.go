package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"greengageroute.example/greengageroute/standin"
)

const (
	// endlessClusterCallers call a faulty target at once, each again and again for endlessTime.
	endlessClusterCallers = 100
	endlessTime           = 6 * time.Second
	// endlessClusterDeadline is how long a caller of a faulty target waits at most.
	endlessClusterDeadline = 15 * time.Second
	// endlessClass is the deadline of the callers' class, which bounds their wait in the queue
	// and their waits for a group.
	endlessClass = 3 * time.Second
	// smallEntryEngines is the number of engines, of which one serves and the others are probed.
	smallEntryEngines = 12
	// ordinaryDeadline bounds a request at another target.
	ordinaryDeadline = 5 * time.Second
)

type (
	// endlessClusterCase is what is faulty, and the requests that meet it.
	endlessClusterCase struct {
		engine, service, platform standin.EndlessAnswers
		send                      string // chat, document, stock, deposit or action
	}

	// endlessTally counts how callers' requests ended.
	endlessTally struct{ ended, late, served atomic.Int64 }
)

// startSmallEntry starts a cluster of engines and services whose one entry has the memory of
// the smallest VM.
func startSmallEntry(t *testing.T) (*cluster, hostileTarget) {
	cluster := prepareCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: smallEntryEngines, vmsPerGroup: 1, groups: 1, services: 2, tokenInterval: time.Millisecond})
	entry := cluster.entries[0]
	settings := entry.args[len(entry.args)-1]
	writeFile(t, settings, readFile(t, settings)+fmt.Sprintf("memory-mb: %d\n", hostileMemoryMB))
	entry.start(t)
	cluster.apply("base", strings.Replace(cluster.config(), "rank: 0, deadline: 10s", "rank: 0, deadline: "+endlessClass.String(), 1))
	cluster.waitUntilServing(1)
	return cluster, hostileTarget{address: entry.listen, pid: entry.cmd.Process.Pid, exited: entry.exited, memoryMB: hostileMemoryMB}
}

// sendEndless sends one request and reads its answer to the end.
func (test endlessClusterCase) sendEndless(listen string, number int, tally *endlessTally) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessClusterDeadline)
	defer cancel()
	method, path, body := http.MethodGet, "/services/ledger/stock/x", ""
	switch test.send {
	case "chat", "document":
		method, path = http.MethodPost, "/v1/chat/completions"
		body = chatRequest{content: fmt.Sprintf("endless %d", number), seed: 1, tokens: 20}.body()
		if test.send == "document" {
			body = strings.Replace(body, `"stream":true`, `"stream":false`, 1)
		}
	case "deposit":
		method, path, body = http.MethodPost, "/services/ledger/deposits", "x"
	case "action":
		path = "/actions/known"
	}
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+listen+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+counterKey)
	request.Header.Set("Idempotency-Key", fmt.Sprintf("endless-%d-%d", number, time.Now().UnixNano()))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	switch {
	case ctx.Err() != nil:
		tally.late.Add(1)
	case err == nil && response.StatusCode < http.StatusMultipleChoices:
		tally.served.Add(1)
	default:
		tally.ended.Add(1)
	}
}

// TestAnswersWithoutEnd guards against targets, engines and a platform whose answers never end
// and use up the memory of the entry that called them.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	var tests []endlessClusterCase
	for _, kind := range []string{
		standin.EndlessHead, standin.EndlessInterim, standin.EndlessError, standin.EndlessEmptyLines, standin.EndlessTrailer, standin.EndlessToken, standin.EndlessTokens, standin.EndlessLongTokens, standin.EndlessRepeats, standin.EndlessSilence,
	} {
		tests = append(tests, endlessClusterCase{engine: standin.EndlessAnswers{"generate": kind}, send: "chat"})
	}
	tests = append(tests, endlessClusterCase{engine: standin.EndlessAnswers{"generate": standin.EndlessLongTokens}, send: "document"})
	for _, kind := range []string{standin.EndlessHeadLine, standin.EndlessChunks, standin.EndlessError, standin.EndlessUnframed} {
		tests = append(tests, endlessClusterCase{service: standin.EndlessAnswers{"stock": kind}, send: "stock"})
	}
	tests = append(tests, endlessClusterCase{service: standin.EndlessAnswers{"deposits": standin.EndlessChunks, "outcomes": standin.EndlessChunks}, send: "deposit"})
	tests = append(tests, endlessClusterCase{engine: standin.EndlessAnswers{"report": standin.EndlessRow, "order": standin.EndlessRow}, send: "chat"})
	for _, kind := range []string{standin.EndlessRow, standin.EndlessRows} {
		tests = append(tests, endlessClusterCase{platform: standin.EndlessAnswers{"rows": kind, "scan": kind, "vms": kind, "commit": kind}, send: "action"})
	}
	for _, test := range tests {
		t.Run(test.send+":"+describe("engine", test.engine)+describe("service", test.service)+describe("platform", test.platform), test.run)
	}
}

func describe(part string, answers standin.EndlessAnswers) (text string) {
	for _, path := range []string{"generate", "report", "order", "stock", "deposits", "rows", "scan"} {
		if kind, found := answers[path]; found {
			text += " " + part + " " + path + " " + kind
		}
	}
	return text
}

func (test endlessClusterCase) run(t *testing.T) {
	cluster, target := startSmallEntry(t)
	entry := cluster.entries[0]
	before := target.peakMemoryMB(t)
	for _, engine := range cluster.engines {
		cluster.setFaults(engine.directAddress, standin.EngineFaults{Endless: test.engine})
	}
	for _, address := range cluster.serviceAddresses {
		cluster.setFaults(address, standin.ServiceFaults{Endless: test.service})
	}
	cluster.setPlatformFaults(standin.PlatformFaults{Endless: test.platform})
	var tally endlessTally
	var callers sync.WaitGroup
	started := time.Now()
	for number := range endlessClusterCallers {
		callers.Go(func() {
			for time.Since(started) < endlessTime {
				test.sendEndless(entry.listen, number, &tally)
				time.Sleep(pollInterval)
			}
		})
	}
	time.Sleep(endlessTime / 2)
	eventually(t, ordinaryDeadline, "an ordinary request is answered beside the callers", func() bool { return test.ordinaryServed(entry) })
	callers.Wait()
	select {
	case <-entry.exited:
		t.Fatal("the process ended")
	default:
	}
	peak := target.peakMemoryMB(t)
	t.Logf("peak memory %.0f MB of %d, %.0f before; requests: %d served, %d refused or cut, %d without an end", peak, target.memoryMB, before, tally.served.Load(), tally.ended.Load(), tally.late.Load())
	if peak > float64(target.memoryMB) {
		t.Errorf("peak memory %.0f MB, want at most %d", peak, target.memoryMB)
	}
	if late := tally.late.Load(); late > 0 {
		t.Errorf("%d requests did not end within %s", late, endlessClusterDeadline)
	}
}

// ordinaryServed sends a request to a target that is not faulty.
func (test endlessClusterCase) ordinaryServed(entry *clusterEntry) bool {
	if test.service != nil {
		return chat(context.Background(), entry.listen, chatRequest{content: "ordinary", seed: 1, tokens: 3}, nil).complete
	}
	request, _ := http.NewRequest(http.MethodGet, "http://"+entry.listen+"/services/ledger/stock/y", nil)
	request.Header.Set("Authorization", "Bearer "+counterKey)
	return fetchOutcome(request).status == http.StatusOK
}
