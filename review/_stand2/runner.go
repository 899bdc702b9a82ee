package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// runner is a plain service's runner that counts what it runs.
type runner struct {
	id, service, zone string
	address           string
	born              int64
	world             *world

	mu       sync.Mutex
	sequence int
	runs     map[string]int // by attempt id
	// answer, if set, answers instead of the usual way. It reports whether it has answered.
	answer func(writer http.ResponseWriter, request *http.Request) bool
}

// startRunner starts a runner that takes 15 ms for a request, and lists it.
func (world *world) startRunner(id, service, zone string) (*runner, error) {
	runner := &runner{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), world: world, runs: map[string]int{}}
	address, err := serve(runner)
	if err != nil {
		return nil, err
	}
	runner.address = address
	runner.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			runner.beat()
		}
	}()
	return runner, nil
}

func (runner *runner) beat() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.sequence++
	runner.world.store.Put("servers", runner.id, map[string]any{
		"service": runner.service, "address": runner.address, "zone": runner.zone, "version": "1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": runner.sequence, "born": runner.born,
	})
}

// ServeHTTP implements http.Handler.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if expected := request.Header.Get("X-Greengageroute-Expected-Instance"); expected != "" && expected != runner.id {
		header.Set("X-Greengageroute-Instance-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		header.Set("X-Greengageroute-Instance-Id", runner.id)
		return
	case "/report":
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(writer, `{"stage":"unified","models":[],"busy":false,"sequence":1,"queue_depth":0,"active_requests":0,"born":%d}`, runner.born)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // a request whose body breaks off runs nowhere
	id := request.Header.Get("X-Greengageroute-Attempt-Id")
	runner.mu.Lock()
	runner.runs[id]++
	runner.mu.Unlock()
	runner.world.record.printf("%s runs %s %s", runner.id, request.Method, id)
	if runner.answer != nil && runner.answer(writer, request) {
		return
	}
	select {
	case <-time.After(15 * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	header.Set("X-Greengageroute-Attempt-Id", id)
	header.Set("X-Greengageroute-Server-Signature", runner.id)
	fmt.Fprintf(writer, "%s by %s\n", id, runner.id)
}

func (runner *runner) runsOf(id string) int {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.runs[id]
}
