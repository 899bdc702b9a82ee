package entry

import (
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
	"greengageroute.example/greengageroute/caller"
	"greengageroute.example/greengageroute/peer"
)

const maxForwardAttempts = 3

// LiveEntries implements caller.State.
func (entry *Entry) LiveEntries() int { return len(entry.members.Near()) }

// ForwardChat implements caller.State: it asks entries of other data centres in
// turn until one takes the request. An entry asked does not wait for a group.
func (entry *Entry) ForwardChat(ctx context.Context, workspace string, body []byte, lastEventID string) (caller.Forwarded, error) {
	message := entry.members.Envelope()
	message.Forward = &peer.Forward{Workspace: workspace, Body: body, LastEventID: lastEventID}
	addresses := entry.members.Far(workspace)
	for _, address := range addresses[:min(maxForwardAttempts, len(addresses))] {
		header, responseBody, err := entry.node.Forward(ctx, address, message)
		if err == nil && len(header.Refusal) == 0 {
			return caller.Forwarded{ContentType: header.ContentType, Body: responseBody}, nil
		}
		if err == nil {
			entry.countForwardRefusal(header)
		}
	}
	return caller.Forwarded{}, trace.NotFound("no other data centre takes the request; send it again later")
}

func (entry *Entry) countForwardRefusal(header peer.ForwardHead) {
	var refusal caller.Refusal
	if json.Unmarshal(header.Refusal, &refusal) == nil {
		entry.counters.Add(CountForwardRefused+refusal.Code, 1)
	}
}

// Forward implements peer.Handler.
func (entry *Entry) Forward(ctx context.Context, request peer.Forward, writeHeader func(peer.ForwardHead) error, body io.Writer) {
	result, response, err := entry.callerService.AnswerForwarded(ctx, request.Workspace, request.Body, request.LastEventID)
	if err != nil {
		status, refusal := caller.EncodeRefusal(err)
		_ = writeHeader(peer.ForwardHead{Status: status, Refusal: refusal}) // the asker sees a cut stream
		return
	}
	defer response.Close()
	if writeHeader(peer.ForwardHead{Status: 200, ContentType: result.ContentType}) == nil {
		_, _ = io.Copy(body, response) // uses the answer's WriteTo
	}
}
