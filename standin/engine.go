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

const poisonExit = 86

var words = strings.Fields("trail snow pass ridge boot strap bread oven flour crust basket route hill frost lamp gate")

type (
	// Engine stands in for a model engine on one VM. Its answers depend only on
	// the model, the prompt and the seed, so that a check can tell a whole
	// answer from a wrong one.
	Engine struct {
		settings EngineSettings
		boot     string
		faults   faults[EngineFaults]

		mu      sync.Mutex
		report  greengageroute.EngineReport
		fence   uint64
		orders  int
		served  []Served
		loading *time.Timer
		left    chan struct{} // closed when the engine leaves its assignment
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
		TokenDelay Millis `json:"token-delay"` // added between tokens
		Leaving    bool   `json:"leaving"`
		Poison     string `json:"poison"` // a prompt with this text crashes the engine
		CutAfter   int    `json:"cut-after"`
	}

	// Served is one answer that the engine began.
	Served struct {
		ID     string    `json:"id"`
		Group  string    `json:"group"`
		Number uint64    `json:"number"`
		At     time.Time `json:"at"`
	}
)

// NewEngine returns an engine in a new boot.
func NewEngine(settings EngineSettings) *Engine {
	if settings.Crash == nil {
		settings.Crash = func() { os.Exit(poisonExit) }
	}
	boot := uuid.NewString()
	return &Engine{settings: settings, boot: boot, left: make(chan struct{}), report: greengageroute.EngineReport{VM: settings.VM, Boot: boot}}
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
	mux.HandleFunc("GET /report", engine.reports)
	mux.HandleFunc("POST /order", engine.order)
	mux.HandleFunc("POST /generate", engine.generate)
	mux.Handle("POST /control/faults", &engine.faults)
	mux.HandleFunc("GET /control/served", engine.history)
	return mux
}

func (engine *Engine) reports(writer http.ResponseWriter, _ *http.Request) {
	engine.mu.Lock()
	report := engine.report
	engine.mu.Unlock()
	report.Leaving = report.Leaving || engine.faults.get().Leaving
	writeJSON(writer, report)
}

func (engine *Engine) order(writer http.ResponseWriter, request *http.Request) {
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
	engine.orders++
	if engine.report.Group == order.Group && engine.report.Generation == order.Generation {
		return
	}
	close(engine.left) // as a real engine does, it drops what it runs
	engine.left = make(chan struct{})
	engine.report.Group, engine.report.Generation, engine.report.Loaded = order.Group, order.Generation, false
	if order.Group != "" {
		engine.load(order.Generation)
	}
}

func (engine *Engine) load(number uint64) {
	if engine.loading != nil {
		engine.loading.Stop()
	}
	engine.loading = time.AfterFunc(engine.settings.LoadTime, func() {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		engine.report.Loaded = engine.report.Generation == number
	})
}

func (engine *Engine) generate(writer http.ResponseWriter, request *http.Request) {
	var generation target.GenerateRequest
	if !readJSON(writer, request, &generation) {
		return
	}
	now := engine.faults.get()
	if now.Poison != "" && strings.Contains(generation.Prompt, now.Poison) {
		engine.settings.Crash()
		sever()
	}
	left, ok := engine.begin(generation)
	if !ok {
		http.Error(writer, "the engine is not loaded for this group", http.StatusConflict)
		return
	}
	defer engine.end()
	writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	engine.stream(request.Context(), left, generation, func(chunk target.Chunk) error {
		if err := json.NewEncoder(writer).Encode(chunk); err != nil {
			return err
		}
		return controller.Flush()
	})
}

func (engine *Engine) begin(generation target.GenerateRequest) (left chan struct{}, ok bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.report.Group != generation.Group || engine.report.Generation != generation.Generation || !engine.report.Loaded {
		return nil, false
	}
	engine.report.Streams++
	engine.served = append(engine.served, Served{ID: generation.ID, Group: generation.Group, Number: generation.Generation, At: time.Now()})
	return engine.left, true
}

func (engine *Engine) end() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.report.Streams--
}

func (engine *Engine) stream(ctx context.Context, left chan struct{}, generation target.GenerateRequest, put func(target.Chunk) error) {
	for offset := generation.From; offset < generation.MaxTokens; offset++ {
		now := engine.faults.get()
		if now.CutAfter > 0 && offset-generation.From >= now.CutAfter {
			sever()
		}
		select {
		case <-ctx.Done():
			return
		case <-left:
			sever()
		case <-time.After(engine.settings.TokenInterval + now.TokenDelay.Duration()):
		}
		text := Token(generation.Model, generation.Prompt, generation.Seed, offset)
		if put(target.Chunk{Offset: offset, Text: text}) != nil {
			return
		}
	}
	_ = put(target.Chunk{End: true, Count: generation.MaxTokens})
}

func (engine *Engine) history(writer http.ResponseWriter, _ *http.Request) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.served)
}
