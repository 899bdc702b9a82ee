package edge

import (
	"context"
	"math"
	"net/http"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// stopRetryAfter is sent by an entry that stops: another entry can serve the request at
	// once.
	stopRetryAfter = 50 * time.Millisecond
	// usualShare is the share of a route's answers that take no longer than is expected of a
	// request.
	usualShare = 0.95
	// atMostOnceFactor is applied to the expected time of requests that can't be repeated if
	// they are cut off.
	atMostOnceFactor = 2
	// stoppingReason is the reason of refusals of an entry that stops.
	stoppingReason = "the entry is stopping"
)

// stopSchedule is the schedule of an entry's stop.
type stopSchedule struct {
	acceptUntil time.Time // afterwards only requests that surely end in time are passed on
	end         time.Time // running requests are ended
}

// Stop begins the entry's stop. Requests that would run beyond the end are refused before
// they are sent to a target, later ones unless their deadline is before the end. What still
// runs at the end is answered with an error that promises nothing, and streams that have
// begun are broken off between two events.
func (service *Service) Stop(acceptUntil, end time.Time) {
	service.stop.Store(&stopSchedule{acceptUntil: acceptUntil, end: end})
	time.AfterFunc(time.Until(end), service.endRunning)
}

// checkStop refuses a request that might still run when a stopping entry ends. The time that
// others have left is that of the entry.
func checkStop(_ context.Context, exchange *exchange) error {
	schedule := exchange.service.stop.Load()
	if schedule == nil || !exchange.deadline.After(schedule.end) {
		return nil
	}
	now := time.Now()
	if now.Before(schedule.acceptUntil) && now.Add(exchange.expectedTime()).Before(schedule.end) {
		exchange.deadline = schedule.end
		return nil
	}
	exchange.service.Counters.Add(CountRefusedInStop, 1)
	if exchange.forwarded {
		return refuse(http.StatusMisdirectedRequest, stoppingReason, "send the request to another entry")
	}
	return unavailable(stoppingReason, stopRetryAfter)
}

// expectedTime returns how long a request is expected to take at most.
func (exchange *exchange) expectedTime() time.Duration {
	expected, known := exchange.expectedGeneration()
	if !known {
		expected, known = exchange.service.Latencies.Quantile(exchange.route.Name, usualShare)
	}
	if !known {
		expected = exchange.route.LatencyObjective
	}
	if !exchange.route.Retryable() && !exchange.route.Resumable {
		expected *= atMostOnceFactor
	}
	return expected
}

// expectedGeneration returns how long a model takes for an answer on a full replica.
func (exchange *exchange) expectedGeneration() (time.Duration, bool) {
	engine := exchange.pool.Engine
	if engine == nil {
		return 0, false
	}
	model, known := engine.Model(exchange.Model)
	if !known {
		return 0, false
	}
	tokens := exchange.AnswerTokens
	if tokens == 0 {
		tokens = engine.MeanAnswerTokens
	}
	load := greengageroute.EngineLoad{Running: engine.Slots - 1}
	iterations := math.Ceil(float64(tokens) / float64(max(engine.StepsPerIteration, 1)))
	decode := time.Duration(healthySlowdown * iterations * float64(engine.IterationTime(model, engine.Slots)))
	return engine.TimeToFirstToken(model, load, exchange.PromptTokens) + decode, true
}

// endWithEntry returns a context that ends when a stopping entry ends its running requests.
func (service *Service) endWithEntry(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(service.running, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// interruptReading interrupts the reading of a body when a stopping entry ends its running
// requests. The returned function undoes it.
func (exchange *exchange) interruptReading() (undo func() bool) {
	controller := http.NewResponseController(exchange.writer)
	return context.AfterFunc(exchange.service.running, func() { _ = controller.SetReadDeadline(time.Now()) }) // fails once the connection is closed
}
