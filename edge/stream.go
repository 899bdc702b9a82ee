package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// unresponsiveMargin is added to the longest iteration before a replica counts
	// as unresponsive. It covers prompts that other entries have just sent and
	// packets in flight.
	unresponsiveMargin = 150 * time.Millisecond
	// healthySlowdown is the ratio of a healthy replica's inter-event gaps to the
	// time of an iteration that only decodes. The gaps include prefill.
	healthySlowdown = 1.6
	// unresponsiveRecheck is the time until an unresponsive replica is checked
	// again. Its members are probed meanwhile.
	unresponsiveRecheck = 60 * time.Millisecond
	// noReplicaRetryAfter is sent when the model has no replica: about as long as a
	// staged target takes to replace a failed one.
	noReplicaRetryAfter = 800 * time.Millisecond
	// overloadFactor is the limit of a request's predicted time to first token, as a
	// multiple of the route's latency objective.
	overloadFactor = 1.5
	// minOverloadRetryAfter keeps callers from retrying before any running request
	// has ended.
	minOverloadRetryAfter = 200 * time.Millisecond
)

var (
	// errReplicaLost ends an attempt at a replica that has lost a member.
	errReplicaLost = errors.New("the replica has lost a member")
	// errEndedWithinEvent is returned for a stream that ends without an error after a
	// part of an event: its target has broken it off.
	errEndedWithinEvent = errors.New("the stream ended within an event")
	// errNotEvents is returned for the answer to a request to resume a stream that is no
	// stream, such as the text of an error.
	errNotEvents = errors.New("the stream was to be resumed, and the answer consists of no events")
	// errEndedByEntry is returned for a stream that another entry, which frames all its
	// answers, ended without a frame.
	errEndedByEntry = errors.New("the other entry broke the stream off")
)

type (
	// source is the replica or single target that serves a stream.
	source struct {
		replica          greengageroute.Replica
		model            greengageroute.EngineModel
		engine           *greengageroute.Engine
		load             greengageroute.EngineLoad
		timeToFirstToken time.Duration // predicted
	}

	// streamAttempt forwards the events of one attempt to the caller.
	streamAttempt struct {
		exchange          *exchange
		source            source
		answer            *upstream.Answer
		unresponsiveTimer *recheckTimer
		unresponsiveAfter time.Duration
		lastEvent         time.Time
		sentAt            time.Time
		progress          greengageroute.AnswerProgress
		inPrefill         atomic.Bool
		fromEntry         bool // another entry forwards the stream
	}
)

// stream sends a request for a stream and forwards the events. A stream that is
// cut off resumes at another replica if the route is resumable.
func (exchange *exchange) stream(ctx context.Context) error {
	tried := greengageroute.Set[string]{}
	reason, retryAfter := "no replica of the model is available", noReplicaRetryAfter
	for range maxTargetsTried {
		if len(tried) > 0 && exchange.isolated() {
			return exchange.forwardToEntries(ctx)
		}
		source, found := exchange.pickSource(tried)
		if !found && exchange.limitWait > 0 {
			return exchange.limitError()
		}
		if !found {
			break
		}
		if wait := exchange.overloadRetryAfter(source); wait > 0 {
			reason, retryAfter = "the replicas are at capacity", wait
			break
		}
		if len(tried) > 0 {
			// Another target may have crashed since.
			if err := exchange.quarantineError(); err != nil {
				return err
			}
		}
		if !exchange.allowAttempt() {
			break
		}
		tried.Add(source.replica.Head().ID)
		if exchange.headerSent {
			exchange.service.Counters.Add(CountStreamsResumed, 1)
		}
		complete, err := exchange.attemptStream(ctx, source)
		if complete {
			return nil
		}
		if ended := exchange.endedError(ctx, err); ended != nil {
			return ended
		}
		var notSent *upstream.NotSentError
		switch {
		case errors.As(err, &notSent):
			reason = "the replica is unreachable"
		case errors.Is(err, errNotRun):
			reason, retryAfter = "the replicas are at capacity", minOverloadRetryAfter
		default:
			reason = err.Error()
		}
		if exchange.mayHaveRun && !exchange.route.Resumable {
			break
		}
	}
	return exchange.noAnswerError(http.StatusBadGateway, reason, retryAfter)
}

// endedError returns the error of a request whose caller has left or whose deadline has
// passed during an attempt, else nil.
func (exchange *exchange) endedError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, errCallerDisconnected) || exchange.httpRequest.Context().Err() != nil:
		return errCallerDisconnected
	case ctx.Err() != nil:
		return exchange.timeoutError()
	default:
		return nil
	}
}

// errNotRun is returned when the target answered that it did not run the request.
var errNotRun = errors.New("the target did not run the request")

// overloadRetryAfter returns the Retry-After time for a request whose predicted
// time to first token is too long, or 0 if it is acceptable. A stream that has
// begun is resumed regardless of the wait.
func (exchange *exchange) overloadRetryAfter(source source) time.Duration {
	limit := time.Duration(overloadFactor * float64(exchange.route.LatencyObjective))
	if exchange.headerSent || source.engine == nil || limit <= 0 || source.timeToFirstToken <= limit {
		return 0
	}
	return max(source.timeToFirstToken-exchange.route.LatencyObjective, minOverloadRetryAfter)
}

// pickSource chooses the replica for the next attempt. A stream that has begun is resumed
// regardless of limits, but not at a head that asked for a backoff.
func (exchange *exchange) pickSource(tried greengageroute.Set[string]) (source, bool) {
	engine := exchange.pool.Engine
	if engine == nil {
		target, found := exchange.pickTarget(tried)
		return source{replica: greengageroute.Replica{Members: []greengageroute.Target{target}}}, found
	}
	model, known := engine.Model(exchange.Model)
	if !known {
		return source{}, false
	}
	service := exchange.service
	loads, limits := service.Peers.Loads(), service.Peers.Limits()
	var candidates []greengageroute.ReplicaCandidate
	var waits []time.Duration
	for _, replica := range service.Directory.View().Replicas(exchange.pool.Name, model.Name) {
		head := replica.Head()
		if tried.Has(head.ID) || head.State != greengageroute.TargetReady {
			continue
		}
		stats := service.tracker.Stats(head.ID)
		backoff := stats.backoff.Remaining(head.StartUnixMilli, time.Now())
		limit := service.limitWait(head.ID, limits)
		if wait := max(limit, backoff); wait > 0 {
			waits = append(waits, wait)
		}
		load := loads[head.ID]
		load.Running += stats.Running
		load.PrefillTokens += stats.PrefillTokens
		slowdown := stats.SlowdownAt(time.Now())
		unresponsive := stats.Running > 0 && time.Since(stats.LastActivity) > unresponsiveAfter(engine, model, load, slowdown)
		candidates = append(candidates, greengageroute.ReplicaCandidate{
			Replica: replica, Load: load, Slowdown: slowdown,
			Local: head.DataCentre == service.DataCentre, Unresponsive: unresponsive, HasIdleConnection: service.Sender.HasIdleConnection(head, false),
			Limited: backoff > 0 || limit > 0 && !exchange.headerSent,
		})
	}
	exchange.recordLimitWaits(len(candidates), waits)
	greengageroute.SetSharePenalties(service.Entry, candidates)
	index, timeToFirstToken := greengageroute.ChooseReplica(engine, model, exchange.PromptTokens, exchange.route.GapObjective, candidates)
	if index < 0 {
		return source{}, false
	}
	chosen := candidates[index]
	return source{replica: chosen.Replica, model: model, engine: engine, load: chosen.Load, timeToFirstToken: timeToFirstToken}, true
}

// unresponsiveAfter returns how long a healthy replica may go without an event.
func unresponsiveAfter(engine *greengageroute.Engine, model greengageroute.EngineModel, load greengageroute.EngineLoad, slowdown float64) time.Duration {
	return time.Duration(float64(engine.LongestIteration(model, load))*max(slowdown/healthySlowdown, 1)) + unresponsiveMargin
}

// attemptStream makes one attempt. It returns whether the complete stream was
// forwarded.
func (exchange *exchange) attemptStream(ctx context.Context, source source) (complete bool, err error) {
	service, head := exchange.service, source.replica.Head()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := &streamAttempt{exchange: exchange, source: source, lastEvent: time.Now(), sentAt: time.Now(), unresponsiveAfter: time.Hour}
	done := service.tracker.Begin(head.ID, exchange.PromptTokens)
	defer done()
	defer attempt.finishPrefill()
	service.Peers.LoadChanged()
	attempt.inPrefill.Store(true)
	if source.engine != nil {
		load := source.load
		load.PrefillTokens += exchange.PromptTokens
		attempt.unresponsiveAfter = unresponsiveAfter(source.engine, source.model, load, service.tracker.Stats(head.ID).SlowdownAt(time.Now()))
	}
	if source.engine != nil {
		// The first event comes about one iteration after prefill.
		prefillEnd := source.timeToFirstToken - source.engine.IterationTime(source.model, source.load.Running+1)
		prefillTimer := time.AfterFunc(prefillEnd, attempt.finishPrefill)
		defer prefillTimer.Stop()
	}
	attempt.unresponsiveTimer = &recheckTimer{}
	attempt.unresponsiveTimer.start(attempt.unresponsiveAfter, func() { attempt.checkUnresponsive(cancel) })
	defer attempt.unresponsiveTimer.stop()
	service.Log.V(1).Info("attempt started", "id", exchange.ID, "replica", source.replica.Name, "epoch", source.replica.Epoch, "head", head.ID,
		"running", source.load.Running, "reading", source.load.PrefillTokens, "expected-ms", source.timeToFirstToken.Milliseconds(), "after-event", exchange.LastEventID)
	attempt.answer, err = service.Sender.Do(ctx, exchange.Request, exchange.newAttempt(head))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() == nil {
			service.probeHead(head)
		}
		exchange.checkLinks(ctx)
		return false, err
	}
	exchange.recordSent(head)
	exchange.mayHaveRun = exchange.mayHaveRun || err != nil || !attempt.answer.NotRun
	if err != nil {
		exchange.checkLinks(ctx)
		exchange.checkCrash(ctx, head, attempt.sentAt, attempt.progress, err)
		return false, replicaLossOr(ctx, err)
	}
	defer func() { attempt.answer.Close(complete) }()
	exchange.recordNotices(head, attempt.answer.AnswerHead, attempt.sentAt)
	if attempt.answer.NotRun {
		return false, errNotRun
	}
	if attempt.answer.Status != http.StatusOK {
		return exchange.forwardFailure(ctx, head, attempt.answer)
	}
	complete, err = attempt.forwardEvents(ctx)
	if err != nil && !errors.Is(err, errCallerDisconnected) {
		exchange.checkCrash(ctx, head, attempt.sentAt, attempt.progress, &upstream.AnswerLostError{Target: head.ID, Cause: err})
	}
	return complete, replicaLossOr(ctx, err)
}

// forwardFailure delivers the target's error answer, unless the request may be
// retried at another target.
func (exchange *exchange) forwardFailure(ctx context.Context, target greengageroute.Target, answer *upstream.Answer) (bool, error) {
	if exchange.headerSent || answer.Status >= http.StatusInternalServerError && exchange.route.Resumable && exchange.attemptsSent < exchange.route.Attempts {
		return false, errors.New("the target returned an error")
	}
	body, err := readAnswer(answer)
	if err == nil {
		err = exchange.confirmEnd(ctx, target, answer)
	}
	if err != nil {
		return false, err
	}
	return true, exchange.deliver(answer, body)
}

// replicaLossOr returns errReplicaLost if it ended the attempt, else err.
func replicaLossOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errReplicaLost) {
		return cause
	}
	return err
}

// checkUnresponsive runs when no event has come for unresponsiveAfter. It ends the
// attempt if a member of the replica has left the directory or has restarted.
// Otherwise it runs again later, and requests a health check if no entry has
// received anything from the head in that time.
func (attempt *streamAttempt) checkUnresponsive(cancel context.CancelCauseFunc) {
	service, replica := attempt.exchange.service, attempt.source.replica
	if attempt.source.engine == nil {
		return
	}
	if attempt.exchange.isolated() {
		cancel(errReplicaLost)
		return
	}
	view := service.Directory.View()
	for _, member := range replica.Members {
		if listed, found := view.Target(member.ID); !found || listed.StartUnixMilli != member.StartUnixMilli {
			service.Log.Info("replica lost a member", "id", attempt.exchange.ID, "replica", replica.Name, "epoch", replica.Epoch, "member", member.ID)
			cancel(errReplicaLost)
			return
		}
	}
	if !service.Peers.Active(replica.Head().ID, attempt.unresponsiveAfter) {
		service.Prober.ProbeReplica(replica)
	}
	attempt.unresponsiveTimer.reset(unresponsiveRecheck)
}

// forwardEvents forwards complete events until the stream ends.
func (attempt *streamAttempt) forwardEvents(ctx context.Context) (complete bool, err error) {
	if attempt.exchange.headerSent && !attempt.isEventStream() {
		return false, errNotEvents
	}
	reader := newEventReader(attempt.answer.Body)
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) {
			return attempt.finish(ctx, event)
		}
		if err != nil {
			return false, err
		}
		if err := attempt.forwardEvent(event); err != nil {
			return false, err
		}
	}
}

// finish handles the regular end of a stream. The rest is what came after the last
// complete event.
func (attempt *streamAttempt) finish(ctx context.Context, rest []byte) (bool, error) {
	if len(rest) > 0 && attempt.isEventStream() {
		return false, errEndedWithinEvent
	}
	if len(rest) > 0 {
		if err := attempt.forwardEvent(rest); err != nil {
			return false, err
		}
	}
	if attempt.fromEntry && attempt.answer.EndsWithConnection {
		return false, errEndedByEntry
	}
	if err := attempt.exchange.confirmEnd(ctx, attempt.source.replica.Head(), attempt.answer); err != nil {
		return false, err
	}
	attempt.exchange.sendHeader(attempt.answer)
	if !attempt.progress.IsSound() {
		attempt.exchange.recordSound()
	}
	return true, nil
}

// isEventStream reports whether the target's answer consists of events, as it does
// unless its header says otherwise.
func (attempt *streamAttempt) isEventStream() bool {
	contentType := attempt.answer.Header.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// forwardEvent sends one event to the caller.
func (attempt *streamAttempt) forwardEvent(event []byte) error {
	now := time.Now()
	attempt.unresponsiveTimer.reset(attempt.unresponsiveAfter)
	attempt.recordProgress(now)
	exchange := attempt.exchange
	exchange.timing.recordEvent(now.Sub(exchange.arrived))
	exchange.sendHeader(attempt.answer)
	if _, err := exchange.writer.Write(event); err != nil {
		return errCallerDisconnected
	}
	if err := http.NewResponseController(exchange.writer).Flush(); err != nil {
		return errCallerDisconnected
	}
	if id, found := eventID(event); found {
		exchange.LastEventID = id
	}
	return nil
}

// recordProgress records the event and the replica's speed relative to the
// published one.
func (attempt *streamAttempt) recordProgress(now time.Time) {
	tracker, head := attempt.exchange.service.tracker, attempt.source.replica.Head().ID
	tracker.RecordEvent(head, now)
	isFirst, wasSound := attempt.progress.Pieces() == 0, attempt.progress.IsSound()
	attempt.progress = attempt.progress.WithPiece(now)
	if !wasSound && attempt.progress.IsSound() {
		attempt.exchange.recordSound()
	}
	if attempt.source.engine == nil {
		return
	}
	attempt.finishPrefill()
	if !isFirst {
		expected := attempt.source.engine.IterationTime(attempt.source.model, attempt.source.load.Running+1)
		tracker.RecordEventGap(head, float64(now.Sub(attempt.lastEvent))/float64(max(expected, time.Millisecond)), now)
	}
	attempt.lastEvent = now
}

// finishPrefill removes the prompt from the tracker's prefill tokens, once.
func (attempt *streamAttempt) finishPrefill() {
	if attempt.inPrefill.CompareAndSwap(true, false) {
		attempt.exchange.service.tracker.FinishPrefill(attempt.source.replica.Head().ID, attempt.exchange.PromptTokens)
	}
}

// sendHeader sends the status and header of the first attempt's answer. Later
// calls do nothing.
func (exchange *exchange) sendHeader(answer *upstream.Answer) {
	if exchange.headerSent {
		return
	}
	exchange.headerSent = true
	header := exchange.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	exchange.writer.WriteHeader(answer.Status)
}

// eventID returns the numeric id of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		end := 0
		for end < len(event) && event[end] != '\n' {
			end++
		}
		line := event[:end]
		if len(line) > 3 && string(line[:3]) == "id:" {
			id := line[3:]
			for len(id) > 0 && id[0] == ' ' {
				id = id[1:]
			}
			for len(id) > 0 && id[len(id)-1] == '\r' {
				id = id[:len(id)-1]
			}
			if _, err := strconv.ParseUint(string(id), 10, 64); err == nil {
				return string(id), true
			}
		}
		event = event[min(end+1, len(event)):]
	}
	return "", false
}
