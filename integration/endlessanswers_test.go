package integration

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/platform/standin"
)

const (
	endlessCallers     = 120
	endlessDescriptors = 1200
	// endlessDeadline is the time that the callers wait.
	endlessDeadline = 3 * time.Second
	// endMargin is how long after the deadline an answer's end may reach its caller.
	endMargin = time.Second
	// largestEvent is the length of the longest event that is forwarded.
	largestEvent = 1 << 20
)

// endlessCase is what faulty targets send to a crowd of callers.
type endlessCase struct {
	name       string
	path       string
	callers    int // 0: endlessCallers
	send       func(conn net.Conn, head string)
	everywhere bool // reports, orders and health checks are answered so too
	// lasts is set where the target's answer goes on within the protocol, or the target is
	// silent: it may take until the callers' deadline.
	lasts bool
	// tooLong is the part that is too long by the entry's log; empty if the budget may decide.
	tooLong string
	// losesMembers is set for replicas of two, half of which lose a member: their streams are
	// hedged, with two answers being read.
	losesMembers bool
}

const (
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
	events     = "Content-Type: text/event-stream\r\n\r\n"
	firstEvent = "id: 1\ndata: token 1\n\n"
)

var (
	line  = strings.Repeat("x", 63<<10) + "\n"
	lines = strings.Repeat("data: "+strings.Repeat("x", 57)+"\n", 1<<10)

	endlessAnswers = []endlessCase{
		{name: "body in chunks", path: "/books/x", send: flood(chunked, chunk(line))},
		{name: "body without length", path: "/books/x", send: flood("\r\n", line)},
		{name: "body of an error", path: "/books/x", send: func(conn net.Conn, head string) {
			flood(chunked, chunk(line))(conn, strings.Replace(head, "200 OK", "500 Internal Server Error", 1))
		}},
		{name: "body that stops before its length", path: "/books/x", lasts: true, send: func(conn net.Conn, head string) {
			sendAll(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, 8<<20, strings.Repeat("x", 7<<20)))
			awaitClose(conn)
		}},
		{name: "head of one line", path: "/chat/x", tooLong: "the head of the response", send: flood("X-Long: ", strings.Repeat("x", 64<<10))},
		{name: "head of many lines", path: "/chat/x", tooLong: "the head of the response", send: flood("", strings.Repeat("X-Line: "+strings.Repeat("x", 54)+"\r\n", 1<<10))},
		{name: "interim answers", path: "/chat/x", send: func(conn net.Conn, _ string) {
			flood("", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Line: x\r\n\r\n", 1<<10))(conn, "")
		}},
		{name: "trailer", path: "/chat/x", send: flood(chunked+chunk(firstEvent)+"0\r\n", strings.Repeat("X-Line: "+strings.Repeat("x", 54)+"\r\n", 1<<10))},
		{name: "chunk extension", path: "/chat/x", send: flood(chunked+chunk(firstEvent)+"1;", strings.Repeat("x", 64<<10))},
		{name: "answer to another request", path: "/chat/x", tooLong: "the answer to another request", send: func(conn net.Conn, _ string) {
			flood(chunked, chunk(line))(conn, "HTTP/1.1 200 OK\r\n"+platform.HeaderAttemptID+": other\r\n")
		}},
		{name: "stream without events", path: "/chat/x", tooLong: "an event", send: flood("\r\n", strings.Repeat("x", 64<<10))},
		{name: "event without end, one line", path: "/chat/x", tooLong: "an event", send: flood(events+firstEvent, strings.Repeat("x", 64<<10))},
		{name: "event without end, many lines", path: "/chat/x", tooLong: "an event", send: flood(events+firstEvent, lines)},
		{name: "event that stops", path: "/chat/x", lasts: true, send: func(conn net.Conn, head string) {
			sendAll(conn, []byte(head+events+firstEvent), []byte(strings.Repeat("x", largestEvent-1<<10)))
			awaitClose(conn)
		}},
		{name: "event that stops, hedged", path: "/chat/x", lasts: true, losesMembers: true, send: func(conn net.Conn, head string) {
			sendAll(conn, []byte(head+events+"data: token\n\n"), []byte(strings.Repeat("x", largestEvent-1<<10)))
			awaitClose(conn)
		}},
		{name: "largest events", path: "/chat/x", lasts: true, send: sendEvents(func(int) int { return largestEvent - 1<<10 })},
		{name: "streams by the hundred whose events grow", path: "/chat/x", callers: 300, lasts: true, send: sendEvents(func(id int) int { return min(16<<id, largestEvent-1<<10) })},
		{name: "reports, orders and health checks", path: "/chat/x", everywhere: true, lasts: true, send: flood(chunked, chunk(line))},
	}
)

// sendAny returns a function that answers each request as one of the cases of a path does.
func sendAny(path string, cases []endlessCase) func(conn net.Conn, head string) {
	cases = slices.DeleteFunc(slices.Clone(cases), func(test endlessCase) bool { return test.path != path || test.everywhere })
	return func(conn net.Conn, head string) { cases[rand.IntN(len(cases))].send(conn, head) }
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// flood returns a function that sends a piece again and again after the rest of the head.
func flood(rest, piece string) func(conn net.Conn, head string) {
	return func(conn net.Conn, head string) {
		for sent := sendAll(conn, []byte(head+rest)); sent; {
			sent = sendAll(conn, []byte(piece))
		}
	}
}

// sendEvents returns a function that sends events without end, the length of each by its id.
func sendEvents(length func(id int) int) func(conn net.Conn, head string) {
	return func(conn net.Conn, head string) {
		sendAll(conn, []byte(head+events))
		for id := 1; sendAll(conn, fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", length(id)))); id++ {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// awaitClose returns once the other side has closed the connection.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// startEndlessDeployment starts an entry with the limits of a small VM, with replicas and plain
// targets that are sound for now.
func startEndlessDeployment(t *testing.T, replicaSize int) *deployment {
	deployment := newEmptyDeployment(t)
	config := platformConfig(3, "key-1")
	routes := config["routes"].([]any)
	books := map[string]any{"name": "books", "host": "h", "prefix": "/books/", "kind": "idempotent", "service": "books", "timeout_ms": 6000, "target_latency_ms": 1000, "attempts": 2}
	config["routes"] = append(routes, books)
	services := config["services"].([]any)
	config["services"] = append(services, map[string]any{"name": "books", "health_path": standin.HealthPath})
	engine := services[1].(map[string]any)["engine"].(map[string]any)
	engine["slots"] = 400
	engine["models"].([]any)[0].(map[string]any)["size"] = replicaSize
	deployment.store.Put("op", "config", config)
	for i := range 4 * replicaSize {
		deployment.modelTargets = append(deployment.modelTargets, deployment.startTarget(fmt.Sprintf("i-model-%d", i), "llm", "d0"))
	}
	for i := range 2 {
		deployment.modelTargets = append(deployment.modelTargets, deployment.startTarget(fmt.Sprintf("i-books-%d", i), "books", ""))
		deployment.plainTargets = append(deployment.plainTargets, deployment.startTarget(fmt.Sprintf("i-plain-%d", i), "ledger", ""))
	}
	deployment.requireStream(deployment.startLimitedEntry(endlessDescriptors))
	deployment.waitFor("the replicas have opened", func() bool { return len(deployment.heads()) >= 2 })
	return deployment
}

// sendUntilDeadline sends a request and returns how long its end took; bytes are what came.
func sendUntilDeadline(client *http.Client, entry *entryProcess, path, id string) (status int, bytes int64, took time.Duration) {
	started := time.Now()
	request, err := newCallerRequest(entry, http.MethodGet, path, id, "key-1")
	if err != nil {
		return 0, 0, 0
	}
	request.Header.Set("X-Greengageroute-Deadline-Ms", fmt.Sprint(endlessDeadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, time.Since(started)
	}
	defer response.Body.Close()
	bytes, _ = io.Copy(io.Discard, response.Body) // a broken-off stream is an end
	return response.StatusCode, bytes, time.Since(started)
}

// TestUsersPlatformAnswersWithoutEnd guards against faulty targets whose answers use up an
// entry's memory, with which the requests of all its callers end.
func TestUsersPlatformAnswersWithoutEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	together := endlessCase{name: "all of these at once", path: "/chat/x", lasts: true, send: sendAny("/chat/x", endlessAnswers)}
	for _, test := range append(slices.Clone(endlessAnswers), together) {
		t.Run(test.name, func(t *testing.T) {
			replicaSize := 1
			if test.losesMembers {
				replicaSize = 2
			}
			deployment := startEndlessDeployment(t, replicaSize)
			entry := deployment.entries[0]
			for _, target := range deployment.modelTargets {
				target.SetTrouble(standin.Trouble{Kind: standin.SendRaw, Share: 1, Send: test.send, Everywhere: test.everywhere})
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * endlessDeadline}
			statuses, longest := map[int]int{}, time.Duration(0)
			var mu sync.Mutex
			var crowd sync.WaitGroup
			for caller := range max(test.callers, endlessCallers) {
				crowd.Go(func() {
					status, _, took := sendUntilDeadline(client, entry, test.path, fmt.Sprint("crowd-", caller))
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
					longest = max(longest, took)
				})
			}
			if test.losesMembers {
				time.Sleep(endlessDeadline / 6) // the crowd has its first events
				for _, head := range deployment.heads()[:2] {
					deployment.followers(head)[0].Hang(0)
				}
			}
			ended := make(chan struct{})
			go func() { crowd.Wait(); close(ended) }()
			ordinary, answered, slowest := 0, 0, time.Duration(0)
			for waiting := true; waiting; {
				select {
				case <-ended:
					waiting = false
				case <-time.After(sampleInterval):
				}
				status, _, took := sendUntilDeadline(client, entry, "/get/stock", fmt.Sprint("ordinary-", ordinary))
				ordinary++
				slowest = max(slowest, took)
				if status == http.StatusOK {
					answered++
				}
			}
			select {
			case <-entry.exited:
				t.Fatal("the process ended")
			default:
			}
			peak := hostileTarget{pid: entry.cmd.Process.Pid}.peakMemoryMB(t)
			t.Logf("peak memory %.0f MB of %d; callers got %v, the last after %s; %d of %d ordinary requests answered, the slowest after %s",
				peak, hostileMemoryMB, statuses, longest.Round(time.Millisecond), answered, ordinary, slowest.Round(time.Millisecond))
			if peak > hostileMemoryMB {
				t.Errorf("peak memory %.0f MB, want at most %d", peak, hostileMemoryMB)
			}
			if answered < ordinary {
				t.Errorf("%d of %d ordinary requests answered", answered, ordinary)
			}
			if log := readFile(t, entry.logPath); test.tooLong != "" && (!strings.Contains(log, "answer too long") || !strings.Contains(log, strconv.Quote(test.tooLong))) {
				t.Errorf("the log names no answer with %s that is too long", test.tooLong)
			}
			if log := readFile(t, entry.logPath); test.losesMembers && !strings.Contains(log, "stream's replica suspected") {
				t.Error("no stream was suspected")
			}
			limit := endlessDeadline
			if test.lasts {
				limit += endMargin
			}
			if longest >= limit {
				t.Errorf("the last caller's answer ended after %s, want less than %s", longest, limit)
			}
		})
	}
}
