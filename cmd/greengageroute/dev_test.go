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

// output collects what dev prints while it runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (output *output) Write(text []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.text.Write(text)
}

func (output *output) String() string {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.text.String()
}

var curlLine = regexp.MustCompile(`curl -N (\S+) -H "Authorization: (.+?)" -d '(.+)'`)

func TestDevPrintsACurlLineThatWorks(t *testing.T) {
	if testing.Short() {
		t.Skip("serves the whole path")
	}
	ctx, stop := context.WithCancel(t.Context())
	printed := &output{}
	made := &dev{out: printed, log: logr.Discard(), directory: t.TempDir(), entries: []string{freeAddress(t), freeAddress(t)}}
	ended := make(chan error, 1)
	go func() { ended <- made.run(ctx) }()
	var line []string
	for deadline := time.Now().Add(devServing); line == nil && time.Now().Before(deadline); time.Sleep(waitPoll) {
		line = curlLine.FindStringSubmatch(printed.String())
	}
	if line == nil {
		t.Fatalf("no curl line in:\n%s", printed)
	}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, line[1], strings.NewReader(line[3]))
	request.Header.Set("Authorization", line[2])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	if want := `"completion_tokens":12`; !strings.Contains(string(body), want) || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Errorf("got %s, want a whole stream with %s", body, want)
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("dev ended with %v", err)
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
