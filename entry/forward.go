package entry

import (
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
	"greengageroute.example/greengageroute/caller"
	"greengageroute.example/greengageroute/peer"
)

const maxForwards = 3

// LiveEntries implements caller.State.
func (entry *Entry) LiveEntries() int { return len(entry.members.LiveInDataCentre()) }

// ForwardChat implements caller.State: it asks entries of other data centres in
// turn until one takes the request. An entry asked does not wait for a group.
func (entry *Entry) ForwardChat(ctx context.Context, workspace string, body []byte, lastEventID string) (caller.Forwarded, error) {
	message := entry.members.NewMessage()
	message.Forward = &peer.Forward{Workspace: workspace, Body: body, LastEventID: lastEventID}
	addresses := entry.members.RemoteAddresses(workspace)
	for _, address := range addresses[:min(maxForwards, len(addresses))] {
		head, answer, err := entry.node.Forward(ctx, address, message)
		if err == nil && len(head.Refusal) == 0 {
			return caller.Forwarded{ContentType: head.ContentType, Body: answer}, nil
		}
		if err == nil {
			entry.noteRefusal(head)
		}
	}
	return caller.Forwarded{}, trace.NotFound("no other data centre takes the request; send it again later")
}

func (entry *Entry) noteRefusal(head peer.ForwardHeader) {
	var refusal caller.Refusal
	if json.Unmarshal(head.Refusal, &refusal) == nil {
		entry.counters.Add(CountForwardRefused+refusal.Code, 1)
	}
}

// Forward implements peer.Handler.
func (entry *Entry) Forward(ctx context.Context, request peer.Forward, head func(peer.ForwardHeader) error, body io.Writer) {
	result, answer, err := entry.callers.AnswerForwarded(ctx, request.Workspace, request.Body, request.LastEventID)
	if err != nil {
		status, refusal := caller.EncodeRefusal(err)
		_ = head(peer.ForwardHeader{Status: status, Refusal: refusal}) // the asker sees a cut stream
		return
	}
	defer answer.Close()
	if head(peer.ForwardHeader{Status: 200, ContentType: result.ContentType}) == nil {
		_, _ = io.Copy(body, answer) // uses the answer's WriteTo
	}
}
