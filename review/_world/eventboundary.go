package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	digest = "digest-app"
	events = 10
	// cutEvent is the event in the middle of which a runner's stream is cut off.
	cutEvent         = 5
	eventPause       = 10 * time.Millisecond
	streamsPerLength = 5
)

// eventText returns an event whose data line has the given length without its line feed.
func eventText(id, length int) (lines []string) {
	text := fmt.Sprintf("data: piece %d ", id)
	return []string{fmt.Sprintf("id: %d\n", id), text + strings.Repeat("x", length-len(text)) + "\n", "\n"}
}

// eventBoundary has runners crash in the middle of an event, between two of its lines. The
// caller must get each piece once, in order, and none that is joined with another.
func eventBoundary(world *world) (held bool, err error) {
	stream := route("minutes-digest", "/digests/", "streaming", 5*time.Second, 2)
	stream["service"], stream["resumable"], stream["target_gap_ms"] = digest, true, 250
	world.putConfig(1, []any{stream}, []any{map[string]any{
		"name": digest, "health_path": "/health", "max_connections": 208, "protocol": "h1", "tls": false,
	}}, []any{tenantWith(tenant, theKey)})
	var cut atomic.Bool // the next stream that begins is cut off
	answer := func(runner *runner, writer http.ResponseWriter, request *http.Request) {
		length, _ := strconv.Atoi(request.Header.Get("Line-Length"))
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 without the header
		writer.Header().Set("X-Greengageroute-Server-Signature", runner.id)
		writer.Header().Set("Content-Type", "text/event-stream")
		crashes := last == 0 && cut.CompareAndSwap(true, false)
		for id := last + 1; id <= events; id++ {
			for i, line := range eventText(id, length) {
				if crashes && id == cutEvent && i == 2 {
					world.record("runner %s: the stream is reset before the last line of event %d", runner.id, id)
					resetConnection(writer)
					return
				}
				_, _ = io.WriteString(writer, line) // an error means that the caller has left
				_ = http.NewResponseController(writer).Flush()
			}
			time.Sleep(eventPause)
		}
	}
	for i := range 3 {
		if _, err := world.startRunner(fmt.Sprintf("i-digest%d", i), digest, answer); err != nil {
			return false, err
		}
	}
	entry, err := world.startEntry("frontend-a-1", "127.0.0.1")
	if err != nil {
		return false, err
	}
	held = true
	for _, length := range []int{100, 1000, 1024, 2048} {
		for i := range streamsPerLength {
			cut.Store(world.trouble)
			id := fmt.Sprintf("stream-%d-%d", length, i)
			text, complete, err := entry.stream(id, length)
			if err != nil {
				return false, err
			}
			verdict := "whole"
			if fault := checkEvents(text, length); complete && fault != "" {
				held, verdict = false, fault
			} else if !complete {
				verdict = "broken off"
			}
			world.record("stream %s with lines of %d bytes: complete %v, %d bytes, %s", id, length, complete, len(text), verdict)
		}
	}
	return held, nil
}

// resetConnection resets the connection of an answer, as a runner does that crashes.
func resetConnection(writer http.ResponseWriter) {
	time.Sleep(20 * time.Millisecond) // lets the bytes written so far arrive
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// stream requests a stream and returns what came, and whether it ended as complete.
func (entry *entry) stream(id string, length int) (text string, complete bool, err error) {
	channel, err := openChannel(entry.callers)
	if err != nil {
		return "", false, err
	}
	defer channel.Close()
	header := map[string]string{"Line-Length": strconv.Itoa(length)}
	response, err := channel.send(http.MethodPost, "/digests/2f", id, theKey, 5*time.Second, header, []byte("text"))
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", false, fmt.Errorf("stream %s was answered with %d", id, response.StatusCode)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err == nil, nil
}

// checkEvents returns what is wrong with a complete stream, as a caller reads it: events are
// separated by empty lines. It returns nothing if each piece came once and in order.
func checkEvents(text string, length int) string {
	pieces := strings.Split(strings.TrimSuffix(text, "\n\n"), "\n\n")
	for i, piece := range pieces {
		expected := strings.TrimSuffix(strings.Join(eventText(i+1, length), ""), "\n\n")
		if piece != expected {
			ids := strings.Count(piece, "id: ")
			return fmt.Sprintf("piece %d of %d isn't event %d: it has %d bytes instead of %d and %d ids", i+1, len(pieces), i+1, len(piece), len(expected), ids)
		}
	}
	if len(pieces) != events {
		return fmt.Sprintf("%d pieces came instead of %d", len(pieces), events)
	}
	return ""
}
