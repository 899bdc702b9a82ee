package intake

import (
	"context"
	"net/http"

	greengageroute "greengageroute.example/greengageroute"
)

// errEventStalled ends the attempt whose target doesn't go on with a long event.
var errEventStalled = &Refusal{Status: http.StatusBadGateway, Reason: "the target has stopped within an event", Remedy: "send the request again"}

// BeginEvents starts the holding of the events that one attempt of a request receives. The
// attempt is ended by cancel, which must not block. Release has to be called at its end.
func (holding *Holding) BeginEvents(ctx context.Context, budget *Budget, writer http.ResponseWriter, cancel func(cause error)) {
	holding.Begin(ctx, budget, writer)
	holding.cancel = cancel
}

// BeginEvent records that a long event is being read, which is to keep the pace of a body.
func (holding *Holding) BeginEvent() {
	budget := holding.budget
	if budget == nil {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	holding.received.Store(0)
	holding.pace, holding.reading = greengageroute.BodyPace{}, true
}

// Received records that a part of a long event has come.
func (holding *Holding) Received(bytes int) { holding.received.Add(int64(bytes)) }

// EndEvent records that a long event was read.
func (holding *Holding) EndEvent() {
	budget := holding.budget
	if budget == nil {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	holding.reading = false
}

// Return gives back a part of what was reserved. A holding that was ended has nothing left.
func (holding *Holding) Return(bytes int64) {
	budget := holding.budget
	if budget == nil || bytes == 0 {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if !holding.linked {
		return
	}
	budget.add(holding, -bytes)
	if holding.held == 0 {
		budget.unlink(holding)
	}
}
