package edge

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

// sendingDependencies sends requests to targets.
type sendingDependencies struct {
	calmDependencies
	client *upstream.Client
}

func (sendingDependencies) LiveEntries() int { return 1 }

func (dependencies sendingDependencies) Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	return dependencies.client.Do(ctx, request, attempt)
}

// BenchmarkSmallRequest measures an ordinary small request from the caller's connection to the
// target and back.
func BenchmarkSmallRequest(b *testing.B) {
	answer := bytes.Repeat([]byte("a"), 200)
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // a cut body shows at the caller
		writer.Header().Set(platform.HeaderAttemptID, request.Header.Get(platform.HeaderAttemptID))
		_, _ = writer.Write(answer)
	}))
	defer target.Close()
	directory := control.NewDirectory(greengageroute.RuntimeClock{})
	directory.SetRoutes(testRoutes)
	directory.Replace([]greengageroute.Target{{ID: "ledger-a", Pool: "ledger", State: greengageroute.TargetReady, Slots: 6, Address: strings.TrimPrefix(target.URL, "http://")}}, time.Time{})
	service := newTestService("", directory, sendingDependencies{client: upstream.NewClient(func() {})})
	server := serveCallers(b, service)
	defer server.Close()
	body := bytes.Repeat([]byte("b"), 300)
	client := &http.Client{}
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.Addr+"/post/x", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "h"
		request.Header.Set(platform.HeaderAttemptID, "id-1")
		request.Header.Set("Authorization", "Bearer key")
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // a cut answer shows in the next request
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
}

// serveCallers serves a service as the entry does.
func serveCallers(b *testing.B, service *Service) *http.Server {
	counters := new(expvar.Map).Init()
	listener, err := intake.Listen("tcp4", "127.0.0.1:0", 1000, counters)
	if err != nil {
		b.Fatal(err)
	}
	service.Budget = intake.NewBudget(greengageroute.NewBodyBudget(greengageroute.VMLimits{MemoryMB: 136}), counters)
	server := listener.Configure(&http.Server{Handler: service, Addr: listener.Addr().String(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second})
	go func() { _ = server.Serve(listener) }() // returns an error when the server is closed
	return server
}
