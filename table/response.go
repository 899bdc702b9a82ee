package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// maxResponseBytes limits a response with rows or VMs. The longest row is that of an action
	// with an answer of 4 MB, which is encoded in base64 twice.
	maxResponseBytes = 8 << 20
	// maxReplyBytes limits the response to a commit.
	maxReplyBytes = 64 << 10
	// smallResponseBytes is the length up to which any number of responses is read at once.
	smallResponseBytes = 64 << 10
	// maxListedVMs limits a list of VMs.
	maxListedVMs = 1 << 15
)

// responseReader reads one response. Past its small part it waits until no other long response
// of its client is read, so that together they hold as much as one.
type responseReader struct {
	ctx     context.Context
	source  io.Reader
	turn    chan struct{} // holds an element while a long response is read
	length  int
	hasTurn bool
}

// Read implements io.Reader.
func (reader *responseReader) Read(into []byte) (int, error) {
	if reader.length >= smallResponseBytes && !reader.hasTurn {
		select {
		case reader.turn <- struct{}{}:
			reader.hasTurn = true
		case <-reader.ctx.Done():
			return 0, reader.ctx.Err()
		}
	}
	count, err := reader.source.Read(into)
	if reader.length += count; reader.length > maxResponseBytes {
		return 0, fmt.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	return count, err
}

// close lets the next long response be read.
func (reader *responseReader) close() {
	if reader.hasTurn {
		<-reader.turn
	}
}

// decodeList decodes a JSON list, or null, of at most the given number of elements.
func decodeList[T any](decoder *json.Decoder, most int) (elements []T, err error) {
	start, err := decoder.Token()
	if err != nil || start == nil {
		return nil, err
	}
	if start != json.Delim('[') {
		return nil, errors.New("the response is not a list")
	}
	for decoder.More() {
		if len(elements) == most {
			return nil, fmt.Errorf("the response lists more than %d elements", most)
		}
		var element T
		if err := decoder.Decode(&element); err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	_, err = decoder.Token() // the end of the list
	return elements, err
}
