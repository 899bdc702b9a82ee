package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// syncBuffer collects the output of a running devSystem.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (buffer *syncBuffer) Write(text []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.Write(text)
}

func (buffer *syncBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.String()
}

var curlLine = regexp.MustCompile(`curl -N (\S+) -H "Authorization: (.+?)" -d '(.+)'`)

func TestDevPrintsACurlLineThatWorks(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a complete system")
	}
	ctx, stop := context.WithCancel(t.Context())
	output := &syncBuffer{}
	system := &devSystem{out: output, log: logr.Discard(), directory: t.TempDir(), entryAddresses: []string{freeAddress(t), freeAddress(t)}}
	ended := make(chan error, 1)
	go func() { ended <- system.run(ctx) }()
	var match []string
	for deadline := time.Now().Add(devStartTimeout); match == nil && time.Now().Before(deadline); time.Sleep(waitInterval) {
		match = curlLine.FindStringSubmatch(output.String())
	}
	if match == nil {
		t.Fatalf("dev printed no curl command for a streamed chat:\n%s", output)
	}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, match[1], strings.NewReader(match[3]))
	request.Header.Set("Authorization", match[2])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	if want := `"completion_tokens":12`; !strings.Contains(string(body), want) || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Errorf("the printed curl command returned %s, want a complete stream with %s", body, want)
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("dev returned an error after its context was cancelled: %v", err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
