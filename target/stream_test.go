package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
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
	stream, err := NewClient().Generate(ctx, address, GenerateRequest{Group: "g", Generation: 1}, hourFromNow, func() {})
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

// TestGenerateIsNotSentAfterDeadline guards against a request that reaches the
// engine after its deadline, as happens when the process is suspended before it
// sends the request.
func TestGenerateIsNotSentAfterDeadline(t *testing.T) {
	engine := &scriptedEngine{tokens: []string{"a"}}
	server := httptest.NewServer(engine)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := NewClient().Generate(t.Context(), address, GenerateRequest{Group: "g", Generation: 1}, time.Now, func() {})
	var refused *RefusedError
	if !errors.As(err, &refused) || engine.requests.Load() != 0 {
		t.Errorf("got error %v and %d requests at the engine, want a RefusedError and none", err, engine.requests.Load())
	}
}
