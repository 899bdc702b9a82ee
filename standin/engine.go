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
	// the model, the prompt and the seed, so that a check can tell a whole
	// answer from a wrong one.
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
		unassigned chan struct{} // closed when the current assignment ends
	}

	// EngineSettings describe one engine.
	EngineSettings struct {
		VM            string
		Listen        string
		LoadTime      time.Duration
		TokenInterval time.Duration
		HonoursFences bool
		Crash         func() // on a prompt that the engine cannot bear
	}

	// EngineFaults are the faults that the stand-in can show.
	EngineFaults struct {
		TokenDelay  Millis `json:"token-delay"` // added between tokens
		Leaving     bool   `json:"leaving"`
		CrashPrompt string `json:"poison"` // a prompt with this text crashes the engine
		AbortAfter  int    `json:"cut-after"`
	}

	// StreamRecord is one response that the engine started.
	StreamRecord struct {
		ID         string    `json:"id"`
		Group      string    `json:"group"`
		Generation uint64    `json:"number"`
		StartedAt  time.Time `json:"at"`
	}
)

// NewEngine returns an engine in a new boot.
func NewEngine(settings EngineSettings) *Engine {
	if settings.Crash == nil {
		settings.Crash = func() { os.Exit(crashExitCode) }
	}
	boot := uuid.NewString()
	return &Engine{settings: settings, bootID: boot, unassigned: make(chan struct{}), report: greengageroute.EngineReport{VM: settings.VM, Boot: boot}}
}

// Token returns the token of an answer at an offset.
func Token(model, prompt string, seed uint64, offset int) string {
	digest := xxhash.New()
	// Writes to a digest cannot fail.
	_, _ = digest.WriteString(model + "\x00" + prompt)
	hash := digest.Sum64() ^ (seed+uint64(offset)+1)*0x9e3779b97f4a7c15
	hash ^= hash >> 29
	return words[hash%uint64(len(words))] + " "
}

// SetFaults replaces the faults in force.
func (engine *Engine) SetFaults(value EngineFaults) {
	engine.faults.update(func(current *EngineFaults) { *current = value })
}

// Handler serves the engines' protocol and the control calls.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", engine.handleReport)
	mux.HandleFunc("POST /order", engine.handleOrder)
	mux.HandleFunc("POST /generate", engine.handleGenerate)
	mux.Handle("POST /control/faults", &engine.faults)
	mux.HandleFunc("GET /control/served", engine.handleServed)
	return mux
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
		http.Error(writer, "the fencing number is old", http.StatusPreconditionFailed)
		return
	}
	engine.fence = max(engine.fence, order.Fence)
	engine.orderCount++
	if engine.report.Group == order.Group && engine.report.Generation == order.Generation {
		return
	}
	close(engine.unassigned) // as a real engine does, it drops what it runs
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
	var generation target.Generation
	if !readJSON(writer, request, &generation) {
		return
	}
	faults := engine.faults.get()
	if faults.CrashPrompt != "" && strings.Contains(generation.Prompt, faults.CrashPrompt) {
		engine.settings.Crash()
		abortConnection()
	}
	unassigned, ok := engine.beginStream(generation)
	if !ok {
		http.Error(writer, "the engine is not loaded for this group", http.StatusConflict)
		return
	}
	defer engine.endStream()
	writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	engine.writeTokens(request.Context(), unassigned, generation, func(chunk target.Chunk) error {
		if err := json.NewEncoder(writer).Encode(chunk); err != nil {
			return err
		}
		return controller.Flush()
	})
}

func (engine *Engine) beginStream(generation target.Generation) (unassigned chan struct{}, ok bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.report.Group != generation.Group || engine.report.Generation != generation.Number || !engine.report.Loaded {
		return nil, false
	}
	engine.report.Streams++
	engine.streams = append(engine.streams, StreamRecord{ID: generation.ID, Group: generation.Group, Generation: generation.Number, StartedAt: time.Now()})
	return engine.unassigned, true
}

func (engine *Engine) endStream() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.report.Streams--
}

func (engine *Engine) writeTokens(ctx context.Context, unassigned chan struct{}, generation target.Generation, send func(target.Chunk) error) {
	for offset := generation.From; offset < generation.MaxTokens; offset++ {
		faults := engine.faults.get()
		if faults.AbortAfter > 0 && offset-generation.From >= faults.AbortAfter {
			abortConnection()
		}
		select {
		case <-ctx.Done():
			return
		case <-unassigned:
			abortConnection()
		case <-time.After(engine.settings.TokenInterval + faults.TokenDelay.Duration()):
		}
		text := Token(generation.Model, generation.Prompt, generation.Seed, offset)
		if send(target.Chunk{Offset: offset, Text: text}) != nil {
			return
		}
	}
	_ = send(target.Chunk{End: true, Count: generation.MaxTokens})
}

func (engine *Engine) handleServed(writer http.ResponseWriter, _ *http.Request) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.streams)
}
