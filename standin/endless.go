package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"greengageroute.example/greengageroute/target"
)

// Answers without end. A stand-in sends one on a path until its caller closes.
const (
	EndlessHeadLine    = "head-line"   // a field of the head
	EndlessHead        = "head"        // fields
	EndlessInterim     = "interim"     // responses with status 103
	EndlessChunks      = "chunks"      // chunks of a body
	EndlessUnframed    = "unframed"    // a body of no length
	EndlessError       = "error"       // a body with status 500
	EndlessEmptyLines  = "empty-lines" // lines without tokens
	EndlessToken       = "token"       // one token
	EndlessTokens      = "tokens"      // short tokens, past the requested number
	EndlessLongTokens  = "long-tokens" // tokens of just under 1 MB
	EndlessRepeats     = "repeats"     // the first token again and again
	EndlessSilence     = "silence"     // nothing, after a part of a token of 1 MB
	EndlessTrailer     = "trailer"     // fields of the trailer
	EndlessRow         = "row"         // a JSON string
	EndlessRows        = "rows"        // elements of a JSON list
	longTokenBytes     = 1<<20 - 1<<10 // with the rest of its line below 1 MB
	endlessPartBytes   = 64 << 10      // written at once
	endlessHeadChunked = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// EndlessAnswers names the answer without end that is sent on each path, by the path's first
// segment.
type EndlessAnswers map[string]string

// withEndless answers requests on the current paths with answers without end.
func withEndless(current func() EndlessAnswers, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		segment, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
		kind, found := current()[segment]
		if !found {
			next.ServeHTTP(writer, request)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, maxControlBytes)) // only its end matters
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		defer conn.Close()
		sendWithoutEnd(conn, kind)
	})
}

// sendWithoutEnd sends an answer until the connection closes.
func sendWithoutEnd(conn net.Conn, kind string) {
	start, part := endlessHeadChunked, strings.Repeat("x", endlessPartBytes)
	number := 0
	next := func() string { return chunkOf(part) }
	switch kind {
	case EndlessHeadLine:
		start, next = "HTTP/1.1 200 OK\r\nX-Long: ", func() string { return part }
	case EndlessHead:
		start, next = "HTTP/1.1 200 OK\r\n", func() string { return strings.Repeat("X-Field: x\r\n", endlessPartBytes/12) }
	case EndlessInterim:
		start, next = "", func() string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 64) }
	case EndlessUnframed:
		start, next = "HTTP/1.1 200 OK\r\n\r\n", func() string { return part }
	case EndlessError:
		start = strings.Replace(endlessHeadChunked, "200 OK", "500 Internal Server Error", 1)
	case EndlessEmptyLines:
		part = strings.Repeat("\n", endlessPartBytes)
	case EndlessToken:
		start += chunkOf(`{"offset":0,"text":"`)
	case EndlessTokens, EndlessLongTokens:
		text := map[string]string{EndlessTokens: "x ", EndlessLongTokens: strings.Repeat("x", longTokenBytes)}[kind]
		next = func() string {
			number++
			return chunkOf(tokenLine(number-1, text))
		}
	case EndlessRepeats:
		part = strings.Repeat(tokenLine(0, "x "), 64)
	case EndlessSilence:
		start += chunkOf(`{"offset":0,"text":"` + strings.Repeat("x", longTokenBytes))
		next = func() string {
			_, _ = conn.Read(make([]byte, 1)) // until the caller closes
			return ""
		}
	case EndlessTrailer:
		start = strings.Replace(endlessHeadChunked, "\r\n\r\n", "\r\nTrailer: X-Field\r\n\r\n", 1) + "0\r\n"
		next = func() string { return strings.Repeat("X-Field: x\r\n", endlessPartBytes/12) }
	case EndlessRow:
		start += chunkOf(`{"key":"x","value":"`)
	case EndlessRows:
		start += chunkOf(`[{"key":"a"}`)
		part = strings.Repeat(`,{"key":"a"}`, endlessPartBytes/12)
	}
	_, err := conn.Write([]byte(start))
	for err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Minute)) // fails once the connection is closed
		more := next()
		if more == "" {
			return
		}
		_, err = conn.Write([]byte(more))
	}
}

func tokenLine(offset int, text string) string {
	var line bytes.Buffer
	_ = json.NewEncoder(&line).Encode(target.Chunk{Offset: offset, Text: text}) // a Chunk always encodes
	return line.String()
}

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
