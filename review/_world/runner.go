package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a sound runner of a plain service, but for what answer does.
type runner struct {
	id, address string
	world       *world
	answer      http.HandlerFunc
	born        int64

	mu   sync.Mutex
	runs map[string]int // by attempt id
}

// startRunner starts a runner, which lists itself in the store with each heartbeat.
func (world *world) startRunner(id, service string, answer func(runner *runner, writer http.ResponseWriter, request *http.Request)) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &runner{id: id, address: listener.Addr().String(), world: world, born: time.Now().UnixMilli(), runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Greengageroute-Instance-Id", id)
	})
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		if expected := request.Header.Get("X-Greengageroute-Expected-Instance"); expected != "" && expected != id {
			writer.Header().Set("X-Greengageroute-Instance-Id", id)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		attempt := request.Header.Get("X-Greengageroute-Attempt-Id")
		writer.Header().Set("X-Greengageroute-Attempt-Id", attempt)
		started.mu.Lock()
		started.runs[attempt]++
		started.mu.Unlock()
		answer(started, writer, request)
	})
	go func() { _ = http.Serve(listener, mux) }() // until the process ends
	go started.beat(service)
	return started, nil
}

// beat writes the runner's row.
func (runner *runner) beat(service string) {
	for sequence := 1; ; sequence++ {
		runner.world.store.Put("servers", runner.id, map[string]any{
			"service": service, "address": runner.address, "zone": "a", "version": "v1", "slots": runnerSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": runner.born,
		})
		time.Sleep(heartbeat)
	}
}

// ran returns how often the runner ran an attempt.
func (runner *runner) ran(attempt string) int {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.runs[attempt]
}

// answerPlainly runs the request for 15 ms and sends 800 bytes.
func answerPlainly(runner *runner, writer http.ResponseWriter, _ *http.Request) {
	time.Sleep(15 * time.Millisecond)
	body := make([]byte, 800)
	for i := range body {
		body[i] = 'x'
	}
	writer.Header().Set("X-Greengageroute-Server-Signature", runner.id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body) // an error means that the caller has left
}
