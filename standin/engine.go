package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/target"
)

const crashExitCode = 86

var words = strings.Fields("trail snow pass ridge boot strap bread oven flour crust basket route hill frost lamp gate")

type (
	// Engine stands in for a model engine on one VM. Its answers depend only on
	// the model, the prompt and the seed, so that a check can verify each token
	// of an answer.
	Engine struct {
		settings EngineSettings
		bootID   string
		faults   faults[EngineFaults]

		mu         sync.Mutex
		report     greengageroute.EngineReport
		fence      uint64
		orderCount int
		streams    []StreamRecord
		loadTimer  *time.Timer
		unassigned chan struct{} // closed when the assignment ends
	}

	// EngineSettings describes one engine. If HonoursFences is set, the engine
	// refuses orders whose fencing number is below the highest accepted one.
	EngineSettings struct {
		VM            string
		Listen        string
		LoadTime      time.Duration
		TokenInterval time.Duration
		HonoursFences bool
		Crash         func() // called for a prompt that contains CrashPrompt; exits by default
	}

	// EngineFaults are the faults that can be injected into an engine. Leaving
	// makes the engine report that its VM is leaving.
	EngineFaults struct {
		TokenDelay  Millis `json:"token-delay"` // added between tokens
		Leaving     bool   `json:"leaving"`
		CrashPrompt string `json:"poison"`    // a prompt that contains this text crashes the engine; none if empty
		AbortAfter  int    `json:"cut-after"` // tokens after which the response is aborted; never if 0
		// Endless is of the paths report, order and generate.
		Endless EndlessAnswers `json:"endless,omitempty"`
	}

	// StreamRecord is one response that the engine started.
	StreamRecord struct {
		ID         string    `json:"id"`
		Group      string    `json:"group"`
		Generation uint64    `json:"number"`
		StartedAt  time.Time `json:"at"`
	}
)

// NewEngine returns an engine with a new boot id.
func NewEngine(settings EngineSettings) *Engine {
	if settings.Crash == nil {
		settings.Crash = func() { os.Exit(crashExitCode) }
	}
	boot := uuid.NewString()
	return &Engine{settings: settings, bootID: boot, unassigned: make(chan struct{}), report: greengageroute.EngineReport{VM: settings.VM, Boot: boot}}
}

// Token returns the token at an offset of the answer to a prompt.
func Token(model, prompt string, seed uint64, offset int) string {
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(model + "\x00" + prompt)
	hash := digest.Sum64() ^ (seed+uint64(offset)+1)*0x9e3779b97f4a7c15
	hash ^= hash >> 29
	return words[hash%uint64(len(words))] + " "
}

// SetFaults replaces the injected faults.
func (engine *Engine) SetFaults(value EngineFaults) {
	engine.faults.update(func(current *EngineFaults) { *current = value })
}

// Handler returns the handler of the engine protocol and the control requests.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", engine.handleReport)
	mux.HandleFunc("POST /order", engine.handleOrder)
	mux.HandleFunc("POST /generate", engine.handleGenerate)
	mux.Handle("POST /control/faults", &engine.faults)
	mux.HandleFunc("GET /control/served", engine.handleServed)
	return withEndless(func() EndlessAnswers { return engine.faults.get().Endless }, mux)
}

func (engine *Engine) handleReport(writer http.ResponseWriter, _ *http.Request) {
	engine.mu.Lock()
	report := engine.report
	engine.mu.Unlock()
	report.Leaving = report.Leaving || engine.faults.get().Leaving
	writeJSON(writer, report)
}

func (engine *Engine) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order greengageroute.EngineOrder
	if !readJSON(writer, request, &order) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.settings.HonoursFences && order.Fence < engine.fence {
		http.Error(writer, "the fencing number of the order is outdated", http.StatusPreconditionFailed)
		return
	}
	engine.fence = max(engine.fence, order.Fence)
	engine.orderCount++
	if engine.report.Group == order.Group && engine.report.Generation == order.Generation {
		return
	}
	close(engine.unassigned) // like a real engine, abort the running requests
	engine.unassigned = make(chan struct{})
	engine.report.Group, engine.report.Generation, engine.report.Loaded = order.Group, order.Generation, false
	if order.Group != "" {
		engine.startLoading(order.Generation)
	}
}

func (engine *Engine) startLoading(generation uint64) {
	if engine.loadTimer != nil {
		engine.loadTimer.Stop()
	}
	engine.loadTimer = time.AfterFunc(engine.settings.LoadTime, func() {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		engine.report.Loaded = engine.report.Generation == generation
	})
}

func (engine *Engine) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var body target.GenerateRequest
	if !readJSON(writer, request, &body) {
		return
	}
	faults := engine.faults.get()
	if faults.CrashPrompt != "" && strings.Contains(body.Prompt, faults.CrashPrompt) {
		engine.settings.Crash()
		abortConnection()
	}
	unassigned, ok := engine.beginStream(body)
	if !ok {
		http.Error(writer, "the engine has not loaded this assignment of the group", http.StatusConflict)
		return
	}
	defer engine.endStream()
	writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	engine.writeTokens(request.Context(), unassigned, body, func(chunk target.Chunk) error {
		if err := json.NewEncoder(writer).Encode(chunk); err != nil {
			return err
		}
		return controller.Flush()
	})
}

func (engine *Engine) beginStream(request target.GenerateRequest) (unassigned chan struct{}, ok bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.report.Group != request.Group || engine.report.Generation != request.Generation || !engine.report.Loaded {
		return nil, false
	}
	engine.report.Streams++
	engine.streams = append(engine.streams, StreamRecord{ID: request.ID, Group: request.Group, Generation: request.Generation, StartedAt: time.Now()})
	return engine.unassigned, true
}

func (engine *Engine) endStream() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.report.Streams--
}

func (engine *Engine) writeTokens(ctx context.Context, unassigned chan struct{}, request target.GenerateRequest, send func(target.Chunk) error) {
	for offset := request.From; offset < request.MaxTokens; offset++ {
		faults := engine.faults.get()
		if faults.AbortAfter > 0 && offset-request.From >= faults.AbortAfter {
			abortConnection()
		}
		select {
		case <-ctx.Done():
			return
		case <-unassigned:
			abortConnection()
		case <-time.After(engine.settings.TokenInterval + faults.TokenDelay.Duration()):
		}
		text := Token(request.Model, request.Prompt, request.Seed, offset)
		if send(target.Chunk{Offset: offset, Text: text}) != nil {
			return
		}
	}
	_ = send(target.Chunk{End: true, Count: request.MaxTokens})
}

func (engine *Engine) handleServed(writer http.ResponseWriter, _ *http.Request) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.streams)
}
