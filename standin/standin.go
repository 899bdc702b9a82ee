// Package standin implements small stand-ins for the external systems: the
// platform, a model engine and a plain service. Tests and the dev command run them.
// POST /control/faults injects faults into a stand-in.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const maxControlBytes = 1 << 20

type (
	// faults holds the faults that are injected into one stand-in.
	faults[T any] struct {
		mu    sync.Mutex
		value T
	}

	// Millis is a duration in milliseconds, the unit of control requests.
	Millis int
)

// Duration converts millis to a time.Duration.
func (millis Millis) Duration() time.Duration { return time.Duration(millis) * time.Millisecond }

func (faults *faults[T]) get() T {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.value
}

// update edits the faults and returns their previous value.
func (faults *faults[T]) update(edit func(*T)) T {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	previous := faults.value
	edit(&faults.value)
	return previous
}

// ServeHTTP replaces the injected faults by the faults in the request's body.
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
	// The caller sees a truncated response if the write fails.
	_ = json.NewEncoder(writer).Encode(value)
}

// abortConnection closes the connection without completing the response.
func abortConnection() { panic(http.ErrAbortHandler) }
