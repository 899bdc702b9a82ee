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

// script is an engine that sends the given chunks on its first connections and
// the whole answer, from where it is asked, on later ones.
type script struct {
	chunks  [][]Chunk
	tokens  []string
	opened  atomic.Int64
	badness string // group that reports name after the first connection
}

func (script *script) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/report" {
		group := "g"
		if script.badness != "" {
			group = script.badness
		}
		_ = json.NewEncoder(writer).Encode(greengageroute.EngineReport{Group: group, Generation: 1, Loaded: true})
		return
	}
	var generation Generation
	if json.NewDecoder(request.Body).Decode(&generation) != nil {
		return
	}
	turn := int(script.opened.Add(1)) - 1
	if turn < len(script.chunks) {
		for _, chunk := range script.chunks[turn] {
			_ = json.NewEncoder(writer).Encode(chunk)
		}
		return
	}
	for offset := generation.From; offset < len(script.tokens); offset++ {
		_ = json.NewEncoder(writer).Encode(Chunk{Offset: offset, Text: script.tokens[offset]})
	}
	_ = json.NewEncoder(writer).Encode(Chunk{End: true, Count: len(script.tokens)})
}

func inAnHour() time.Time { return time.Now().Add(time.Hour) }

func TestStreamYieldsTheWholeAnswerInOrder(t *testing.T) {
	tokens := []string{"a", "b", "c"}
	one := func(offset int) Chunk { return Chunk{Offset: offset, Text: tokens[offset]} }
	end := func(count int) Chunk { return Chunk{End: true, Count: count} }
	for _, test := range []struct {
		name    string
		chunks  [][]Chunk
		badness string
		want    string
		whole   bool
	}{
		{"as it should be", nil, "", "abc", true},
		{"repeated", [][]Chunk{{one(0), one(0), one(1), one(0), one(2), end(3)}}, "", "abc", true},
		{"out of order", [][]Chunk{{one(0), one(2), one(1), end(3)}}, "", "abc", true},
		{"a gap", [][]Chunk{{one(0), one(2), end(3)}}, "", "abc", true},
		{"cut", [][]Chunk{{one(0), one(1)}}, "", "abc", true},
		{"end mark counts too few", [][]Chunk{{one(0), one(1), end(1)}}, "", "abc", true},
		{"end mark counts too many", [][]Chunk{{one(0), end(3)}}, "", "abc", true},
		{"cut, then the engine left the group", [][]Chunk{{one(0)}}, "other", "a", false},
		{"cut each time", [][]Chunk{{one(0)}, {}, {}, {}, {}, {}}, "", "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(&script{chunks: test.chunks, tokens: tokens, badness: test.badness})
			defer server.Close()
			got, whole := readAll(t, strings.TrimPrefix(server.URL, "http://"), len(tokens))
			if got != test.want || whole != test.whole {
				t.Errorf("got %q, whole %t, want %q, %t", got, whole, test.want, test.whole)
			}
		})
	}
}

func readAll(t *testing.T, address string, most int) (text string, whole bool) {
	t.Helper()
	ctx := context.Background()
	stream, err := NewClient().Generate(ctx, address, Generation{Group: "g", Number: 1}, inAnHour, func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for range most + 1 {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return text, errors.Is(err, ErrWhole)
		}
		text += chunk.Text
	}
	return text, false
}

// TestGenerateIsNotSentTooLate asks an engine after what allowed it has ended.
func TestGenerateIsNotSentTooLate(t *testing.T) {
	engine := &script{tokens: []string{"a"}}
	server := httptest.NewServer(engine)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := NewClient().Generate(t.Context(), address, Generation{Group: "g", Number: 1}, time.Now, func() {})
	var refused *RefusedError
	if !errors.As(err, &refused) || engine.opened.Load() != 0 {
		t.Errorf("got %v, and the engine began %d answers, want a refusal and none", err, engine.opened.Load())
	}
}
