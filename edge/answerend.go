package edge

import (
	"context"
	"errors"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// confirmTimeout is how long a target has to confirm the end of an answer if the request can
// be sent again. Otherwise it has until the deadline.
const confirmTimeout = 300 * time.Millisecond

// errEndUnconfirmed is returned for an answer that only its connection's end delimits and
// whose target did not confirm that it is complete.
var errEndUnconfirmed = errors.New("the answer has neither a length nor chunks, and its target may have crashed")

// confirmEnd returns an error for an answer that was read to its end and may be cut off.
// With a length or chunks it is complete. Without them it is taken for complete if the
// process that sent it still runs: an engine's state report shows the start of the process
// and whether it still serves its replica, other targets are asked on a connection that they
// accepted before the request.
func (exchange *exchange) confirmEnd(ctx context.Context, target greengageroute.Target, answer *upstream.Answer) error {
	if !answer.EndsWithConnection {
		return nil
	}
	service, requestCtx := exchange.service, ctx
	service.Counters.Add(CountUnframedAnswers, 1)
	confirmed := false
	switch {
	case exchange.pool.Engine != nil:
		confirmed = service.Prober.StillServes(target)
	case exchange.pool.HealthPath != "" && service.Backoff(target).Remaining(target.StartUnixMilli, time.Now()) == 0:
		if exchange.route.Retryable() || exchange.route.Resumable {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, confirmTimeout)
			defer cancel()
		}
		head, err := service.Sender.CheckKeptConnection(ctx, target, exchange.pool.HealthPath, answer.SentAt)
		confirmed = err == nil
		exchange.recordFault(target, err)
		exchange.recordAvailability(target, head) // not all health checks name the limit
	}
	service.Log.V(1).Info("answer ended with its connection", "id", exchange.ID, "target", target.ID, "born", target.StartUnixMilli, "status", answer.Status,
		"after-event", exchange.LastEventID, "confirmed", confirmed)
	if confirmed {
		return nil
	}
	service.Counters.Add(CountEndsUnconfirmed, 1)
	exchange.checkLinks(requestCtx, 0)
	return errEndUnconfirmed
}
