package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// targetLinks are one entry's own links to all targets. The entry reads their addresses
// from a view of the store that has those of the links' proxies.
type targetLinks struct {
	t     *testing.T
	store http.Handler

	mu      sync.Mutex
	proxies map[string]*tcpProxy // by the target's address
	cut     func(proxy *tcpProxy)
}

func (links *targetLinks) proxy(address string) *tcpProxy {
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.proxies[address] == nil {
		links.proxies[address] = newTCPProxy(links.t, address)
		if links.cut != nil {
			links.cut(links.proxies[address])
		}
	}
	return links.proxies[address]
}

// apply changes all links, also later ones.
func (links *targetLinks) apply(cut func(proxy *tcpProxy)) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.cut = cut
	for _, proxy := range links.proxies {
		cut(proxy)
	}
}

// ServeHTTP implements http.Handler.
func (links *targetLinks) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.FormValue("table") != "servers" {
		links.store.ServeHTTP(writer, request)
		return
	}
	recorder := httptest.NewRecorder()
	links.store.ServeHTTP(recorder, request)
	var body map[string]any
	if recorder.Code == http.StatusOK && json.Unmarshal(recorder.Body.Bytes(), &body) == nil {
		var rows struct {
			Rows []struct{ Value []byte }
		}
		_ = json.Unmarshal(recorder.Body.Bytes(), &rows) // decoded above
		for i, row := range rows.Rows {
			var target map[string]any
			if json.Unmarshal(row.Value, &target) != nil {
				continue
			}
			if address, ok := target["address"].(string); ok {
				target["address"] = links.proxy(address).address()
			}
			value, _ := json.Marshal(target)
			body["rows"].([]any)[i].(map[string]any)["value"] = value
		}
		for name, values := range recorder.Header() {
			writer.Header()[name] = values
		}
		_ = json.NewEncoder(writer).Encode(body)
		return
	}
	for name, values := range recorder.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
}

// TestUsersPlatformEntryWithoutTargets guards against callers who are refused, and replicas
// that are taken apart, because one entry has lost its links to all targets.
func TestUsersPlatformEntryWithoutTargets(t *testing.T) {
	tests := []struct {
		name string
		cut  func(proxy *tcpProxy)
		heal func(proxy *tcpProxy)
	}{
		{
			"links hang", func(proxy *tcpProxy) { proxy.holdUpstream.Store(true); proxy.holdDownstream.Store(true) },
			func(proxy *tcpProxy) { proxy.holdUpstream.Store(false); proxy.holdDownstream.Store(false) },
		},
		{"connections are closed, and new ones too", func(proxy *tcpProxy) { proxy.setBlocked(true) }, func(proxy *tcpProxy) { proxy.setBlocked(false) }},
		{"connections live on, new ones are closed", func(proxy *tcpProxy) { proxy.blocked.Store(true) }, func(proxy *tcpProxy) { proxy.blocked.Store(false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment := newEmptyDeployment(t)
			links := &targetLinks{t: t, store: deployment.store.Handler(), proxies: map[string]*tcpProxy{}}
			view := httptest.NewServer(links)
			t.Cleanup(view.Close)
			direct := deployment.storeAddress
			deployment.storeAddress = strings.TrimPrefix(view.URL, "http://")
			// The first entry takes the planner's lease.
			cutOff := deployment.startEntryIn("b", "entry-0")
			deployment.storeAddress = direct
			deployment.entries = append(deployment.entries, cutOff)
			time.Sleep(500 * time.Millisecond)
			deployment.startTargetsAndEntries(7, 2)
			for _, entry := range deployment.entries {
				deployment.requireStream(entry)
			}
			var sent, served [3]atomic.Int64
			end := time.Now().Add(9 * time.Second)
			var callers sync.WaitGroup
			counting := atomic.Bool{}
			for caller := range 6 {
				callers.Go(func() {
					for number := 0; time.Now().Before(end); number++ {
						index := caller % 3
						path := [...]string{"/chat/x", "/post/x", "/get/x"}[number%3]
						counted := counting.Load()
						status, body := deployment.send(deployment.entries[index], "POST", path, fmt.Sprintf("c%d-%d", caller, number), "key-1")
						if status == http.StatusOK && path == "/chat/x" && body != expectedStream() {
							t.Errorf("entry-%d: incomplete stream %q", index, body)
						}
						if counted {
							sent[index].Add(1)
							if status == http.StatusOK {
								served[index].Add(1)
							}
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			links.apply(test.cut)
			time.Sleep(3 * time.Second) // the time in which the fleet adapts to the cut
			counting.Store(true)
			time.Sleep(4 * time.Second)
			counting.Store(false)
			links.apply(test.heal)
			callers.Wait()
			for index := range sent {
				if count := sent[index].Load(); served[index].Load() < count*9/10 || count < 10 {
					t.Errorf("entry-%d served %d of %d requests, want nine of ten", index, served[index].Load(), count)
				}
			}
			if violations := deployment.peers.Violations(); len(violations) > 0 {
				t.Error(violations)
			}
			deployment.requireStream(cutOff)
		})
	}
}
