package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"greengageroute.example/greengageroute/caller"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/peer"
)

// maxForwardAttempts bounds the entries to which one request is forwarded in turn.
const maxForwardAttempts = 3

// runningForwards counts the running requests that other entries forwarded.
type runningForwards struct {
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// begin counts a request until done is called. It returns an error once the entry stops.
func (forwards *runningForwards) begin() (done func(), err error) {
	forwards.mu.Lock()
	defer forwards.mu.Unlock()
	if forwards.stopped {
		return nil, &caller.Refusal{Status: http.StatusServiceUnavailable, Code: "stopping", Message: "the entry is stopping; send the request to another entry"}
	}
	forwards.running.Add(1)
	return forwards.running.Done, nil
}

// stop refuses further requests. The returned channel is closed when none runs.
func (forwards *runningForwards) stop() <-chan struct{} {
	forwards.mu.Lock()
	forwards.stopped = true
	forwards.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		forwards.running.Wait()
		close(finished)
	}()
	return finished
}

// LiveEntries implements caller.State.
func (entry *Entry) LiveEntries() int { return len(entry.members.LiveInDataCentre()) }

// ForwardChat implements caller.State: it forwards the request to entries of other
// data centres in turn until one accepts it. An entry that receives a forwarded
// request does not wait for a group.
func (entry *Entry) ForwardChat(ctx context.Context, workspace string, body []byte, lastEventID string) (caller.Forwarded, error) {
	message := entry.members.NewMessage()
	message.Forward = &peer.Forward{Workspace: workspace, Body: body, LastEventID: lastEventID}
	addresses := entry.members.RemoteAddresses(workspace)
	for _, address := range addresses[:min(maxForwardAttempts, len(addresses))] {
		header, responseBody, err := entry.node.Forward(ctx, address, message)
		if err == nil && len(header.Refusal) == 0 {
			return caller.Forwarded{ContentType: header.ContentType, Body: responseBody}, nil
		}
		if err == nil {
			entry.countForwardRefusal(header)
		}
	}
	return caller.Forwarded{}, trace.NotFound("no other data centre accepted the request; retry later")
}

func (entry *Entry) countForwardRefusal(header peer.ForwardHeader) {
	var refusal caller.Refusal
	if json.Unmarshal(header.Refusal, &refusal) == nil {
		entry.counters.Add(CountForwardRefused+refusal.Code, 1)
	}
}

// Forward implements peer.Handler.
func (entry *Entry) Forward(ctx context.Context, request peer.Forward, writeHeader func(peer.ForwardHeader) error, body io.Writer) {
	done, err := entry.forwards.begin()
	if err != nil {
		status, refusal := caller.EncodeRefusal(err)
		_ = writeHeader(peer.ForwardHeader{Status: status, Refusal: refusal}) // if this fails, the forwarding entry sees a truncated stream
		return
	}
	defer done()
	var holding intake.Holding
	holding.Begin(ctx, entry.budget, nil)
	defer holding.Release()
	if err := caller.ChargeBody(&holding, request.Body); err != nil {
		status, refusal := caller.EncodeRefusal(err)
		_ = writeHeader(peer.ForwardHeader{Status: status, Refusal: refusal}) // if this fails, the forwarding entry sees a truncated stream
		return
	}
	result, response, err := entry.callerService.AnswerForwarded(caller.WithHolding(ctx, &holding), request.Workspace, request.Body, request.LastEventID)
	if err != nil {
		status, refusal := caller.EncodeRefusal(err)
		_ = writeHeader(peer.ForwardHeader{Status: status, Refusal: refusal}) // if this fails, the forwarding entry sees a truncated stream
		return
	}
	defer response.Close()
	if writeHeader(peer.ForwardHeader{Status: 200, ContentType: result.ContentType}) == nil {
		_, _ = io.Copy(body, response) // uses the response's WriteTo
	}
}
