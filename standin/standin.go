// Package standin holds small stand-ins for the outside systems: the platform,
// a model engine and a plain service. Tests and the dev command run them. Each
// takes faults over a control call.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const maxControlBytes = 1 << 20

type (
	// faults holds the faults in force at one stand-in.
	faults[T any] struct {
		mu    sync.Mutex
		value T
	}

	// Millis is a duration in milliseconds, as control calls carry it.
	Millis int
)

// Duration returns the length of time.
func (millis Millis) Duration() time.Duration { return time.Duration(millis) * time.Millisecond }

func (faults *faults[T]) get() T {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.value
}

// update changes the faults and returns what they were.
func (faults *faults[T]) update(edit func(*T)) T {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	previous := faults.value
	edit(&faults.value)
	return previous
}

// ServeHTTP replaces the faults in force by those of the body.
func (faults *faults[T]) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var value T
	if !readJSON(writer, request, &value) {
		return
	}
	faults.update(func(current *T) { *current = value })
}

func readJSON(writer http.ResponseWriter, request *http.Request, destination any) bool {
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControlBytes)).Decode(destination)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// The caller sees a cut reply.
	_ = json.NewEncoder(writer).Encode(value)
}

// sever closes the connection without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }
