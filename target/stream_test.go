package target

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

// scriptedEngine is an engine that sends the given chunks on its first requests and
// the complete answer, from the requested offset on, on later ones.
type scriptedEngine struct {
	chunks        [][]Chunk
	tokens        []string
	requests      atomic.Int64
	reportedGroup string // group in the engine's reports; empty for "g"
}

func (engine *scriptedEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/report" {
		group := "g"
		if engine.reportedGroup != "" {
			group = engine.reportedGroup
		}
		_ = json.NewEncoder(writer).Encode(greengageroute.EngineReport{Group: group, Generation: 1, Loaded: true})
		return
	}
	var wanted GenerateRequest
	if json.NewDecoder(request.Body).Decode(&wanted) != nil {
		return
	}
	index := int(engine.requests.Add(1)) - 1
	if index < len(engine.chunks) {
		for _, chunk := range engine.chunks[index] {
			_ = json.NewEncoder(writer).Encode(chunk)
		}
		return
	}
	for offset := wanted.From; offset < len(engine.tokens); offset++ {
		_ = json.NewEncoder(writer).Encode(Chunk{Offset: offset, Text: engine.tokens[offset]})
	}
	_ = json.NewEncoder(writer).Encode(Chunk{End: true, Count: len(engine.tokens)})
}

func hourFromNow() time.Time { return time.Now().Add(time.Hour) }

func TestStreamYieldsTheCompleteAnswerInOrder(t *testing.T) {
	tokens := []string{"a", "b", "c"}
	token := func(offset int) Chunk { return Chunk{Offset: offset, Text: tokens[offset]} }
	end := func(count int) Chunk { return Chunk{End: true, Count: count} }
	for _, test := range []struct {
		name          string
		chunks        [][]Chunk
		reportedGroup string
		want          string
		complete      bool
	}{
		{"no fault", nil, "", "abc", true},
		{"duplicate tokens", [][]Chunk{{token(0), token(0), token(1), token(0), token(2), end(3)}}, "", "abc", true},
		{"out of order", [][]Chunk{{token(0), token(2), token(1), end(3)}}, "", "abc", true},
		{"a missing token", [][]Chunk{{token(0), token(2), end(3)}}, "", "abc", true},
		{"truncated", [][]Chunk{{token(0), token(1)}}, "", "abc", true},
		{"end mark with too low a count", [][]Chunk{{token(0), token(1), end(1)}}, "", "abc", true},
		{"end mark with too high a count", [][]Chunk{{token(0), end(3)}}, "", "abc", true},
		{"truncated, then the engine left the group", [][]Chunk{{token(0)}}, "other", "a", false},
		{"truncated on every connection", [][]Chunk{{token(0)}, {}, {}, {}, {}, {}}, "", "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(&scriptedEngine{chunks: test.chunks, tokens: tokens, reportedGroup: test.reportedGroup})
			defer server.Close()
			got, complete := readAll(t, strings.TrimPrefix(server.URL, "http://"), len(tokens))
			if got != test.want || complete != test.complete {
				t.Errorf("got %q, complete %t, want %q, %t", got, complete, test.want, test.complete)
			}
		})
	}
}

func readAll(t *testing.T, address string, maxTokens int) (text string, complete bool) {
	t.Helper()
	ctx := context.Background()
	stream, err := NewClient(nil, nil).Generate(ctx, address, GenerateRequest{Group: "g", Generation: 1}, hourFromNow, func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for range maxTokens + 1 {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return text, errors.Is(err, ErrAnswerComplete)
		}
		text += chunk.Text
	}
	return text, false
}

// TestEnginesAnswersWithoutEnd guards against an answer without end that keeps its request, or
// memory that isn't charged, for good.
func TestEnginesAnswersWithoutEnd(t *testing.T) {
	line := func(chunk Chunk) string {
		encoded, _ := json.Marshal(chunk) // a Chunk always encodes
		return string(encoded) + "\n"
	}
	long := strings.Repeat("x", 512<<10)
	for _, test := range []struct {
		name     string
		next     func(part int) string // of the answer
		budgetMB int64
		tokens   int // received
		tooLong  bool
	}{
		{"a line", func(int) string { return long }, 8, 0, true},
		{"more tokens than requested", func(part int) string { return line(Chunk{Offset: part, Text: "x"}) }, 8, 3, true},
		{"one token", func(int) string { return line(Chunk{Text: "x"}) }, 8, 1, false},
		{"empty lines", func(int) string { return "\n" }, 8, 0, false},
		{"long tokens", func(part int) string { return line(Chunk{Offset: part, Text: long}) }, 8, 3, true},
		{"tokens over the budget", func(part int) string { return line(Chunk{Offset: part, Text: long}) }, 2, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/report" {
					_ = json.NewEncoder(writer).Encode(greengageroute.EngineReport{Group: "g", Generation: 1, Loaded: true})
					return
				}
				for part := 0; ; part++ {
					if _, err := io.WriteString(writer, test.next(part)); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			budget := intake.NewBudget(greengageroute.BodyBudget{Total: test.budgetMB << 20}, new(expvar.Map).Init())
			reported := 0
			client := NewClient(budget, func(string, error) { reported++ })
			stream, err := client.Generate(t.Context(), strings.TrimPrefix(server.URL, "http://"), GenerateRequest{Group: "g", Generation: 1, MaxTokens: 3}, hourFromNow, func() {})
			tokens := 0
			for ; err == nil; tokens++ {
				_, err = stream.Next(t.Context())
			}
			stream.Close()
			var refused *intake.Refusal
			if overBudget := errors.As(err, &refused); overBudget != (test.budgetMB < 8) || reported > 0 != test.tooLong || tokens-1 != test.tokens {
				t.Errorf("got %d tokens, %d reports of answers too long and error %v, want %d tokens, reports: %t, on %d MB", tokens-1, reported, err, test.tokens, test.tooLong, test.budgetMB)
			}
			for start := time.Now(); budget.Used() != 0; time.Sleep(time.Millisecond) {
				if time.Since(start) > 5*time.Second {
					t.Fatalf("%d bytes are charged after the answer", budget.Used())
				}
			}
		})
	}
}

// TestGenerateIsNotSentAfterDeadline guards against a request that reaches the
// engine after its deadline, as happens when the process is suspended before it
// sends the request.
func TestGenerateIsNotSentAfterDeadline(t *testing.T) {
	engine := &scriptedEngine{tokens: []string{"a"}}
	server := httptest.NewServer(engine)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := NewClient(nil, nil).Generate(t.Context(), address, GenerateRequest{Group: "g", Generation: 1}, time.Now, func() {})
	var refused *RefusedError
	if !errors.As(err, &refused) || engine.requests.Load() != 0 {
		t.Errorf("got error %v and %d requests at the engine, want a RefusedError and none", err, engine.requests.Load())
	}
}
