package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestEntrysAnswerWithoutEnd guards against a command that keeps what an entry sends without end.
func TestEntrysAnswerWithoutEnd(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(status)
			for part := make([]byte, 1<<20); ; {
				if _, err := writer.Write(part); err != nil {
					return
				}
			}
		}))
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		response, err := errorStatusDoer{http.DefaultClient}.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 2*maxAnswerBytes))
			_ = response.Body.Close()
		}
		if err == nil {
			t.Errorf("status %d: more than %d bytes were read, want an error", status, maxAnswerBytes)
		}
		server.Close()
	}
}
