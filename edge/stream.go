package edge

import (
	"context"
	"errors"
	"strconv"
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
	healthySlowdown = greengageroute.HealthySlowdown
	// noReplicaRetryAfter is sent when the model has no replica: about as long as a
	// staged target takes to replace a failed one.
	noReplicaRetryAfter = 800 * time.Millisecond
	// minOverloadRetryAfter keeps callers from retrying before any running request
	// has ended.
	minOverloadRetryAfter = greengageroute.MinOverloadRetryAfter
)

var (
	// errReplicaLost ends an attempt at a replica that has lost a member.
	errReplicaLost = errors.New("the replica has lost a member")
	// errNotRun is returned when the target answered that it did not run the request.
	errNotRun = errors.New("the target did not run the request")
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
		slowdown         float64
		occupancy        float64       // part of the slots of the model's replicas that are taken
		timeToFirstToken time.Duration // predicted
		unresponsive     bool          // it runs requests and has been silent for too long
		alternative      *source       // the best with a free slot, if this one has none
	}
)

// stream sends a request for a stream and forwards the events. A stream that is
// cut off resumes at another replica if the route is resumable.
func (exchange *exchange) stream(ctx context.Context) error {
	return newHedgedStream(exchange).run(ctx)
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

// pickSource chooses the replica for the next attempt. A stream that has begun is resumed
// regardless of limits, but not at a head that asked for a backoff, or that is cold and out of turn.
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
	if exchange.isRanked() {
		model = service.overload.withLengths(exchange.overloadKey(), model)
	}
	loads, limits := service.Peers.Loads(), service.Peers.Limits()
	var candidates []greengageroute.ReplicaCandidate
	var waits []time.Duration
	view := service.Directory.View()
	filter := exchange.targetFilter(view)
	for _, replica := range view.Replicas(exchange.pool.Name, model.Name) {
		head := replica.Head()
		if !filter.Permits(head.DataCentre) || head.State != greengageroute.TargetReady || len(tried) > 0 && tried.Has(replicaKey(head)) {
			continue
		}
		stats := service.tracker.Stats(head.ID)
		backoff := max(stats.backoff.Remaining(head.StartUnixMilli, time.Now()), exchange.coldWait(head, stats))
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
			Suspected: service.isSuspected(head),
			Limited:   backoff > 0 || limit > 0 && !exchange.headerSent,
			Faulty:    stats.isFaulty(head),
		})
	}
	exchange.recordLimitWaits(len(candidates), waits)
	greengageroute.SetSharePenalties(service.Entry, candidates)
	index, timeToFirstToken := greengageroute.ChooseReplica(engine, model, exchange.PromptTokens, exchange.route.GapObjective, candidates)
	if index < 0 {
		return source{}, false
	}
	found := newSource(engine, model, candidates[index], timeToFirstToken)
	found.occupancy = greengageroute.Occupancy(engine, candidates)
	if index, timeToFirstToken := greengageroute.ChooseFreeReplica(engine, model, exchange.PromptTokens, index, candidates); index >= 0 {
		alternative := newSource(engine, model, candidates[index], timeToFirstToken)
		alternative.occupancy, found.alternative = found.occupancy, &alternative
	}
	return found, true
}

func newSource(engine *greengageroute.Engine, model greengageroute.EngineModel, candidate greengageroute.ReplicaCandidate, timeToFirstToken time.Duration) source {
	return source{
		replica: candidate.Replica, model: model, engine: engine, load: candidate.Load, slowdown: candidate.Slowdown,
		timeToFirstToken: timeToFirstToken, unresponsive: candidate.Unresponsive,
	}
}

// key identifies the source among those that were tried.
func (source source) key() string {
	if source.engine == nil {
		return source.replica.Head().ID
	}
	return replicaKey(source.replica.Head())
}

// replicaKey identifies a replica by its head. A head that has restarted, or has been opened
// again, is another one.
func replicaKey(head greengageroute.Target) string {
	return head.ID + "/" + strconv.FormatInt(head.StartUnixMilli, 10) + "/" + strconv.FormatUint(head.Membership.Epoch, 10)
}

// unresponsiveAfter returns how long a healthy replica may go without an event.
func unresponsiveAfter(engine *greengageroute.Engine, model greengageroute.EngineModel, load greengageroute.EngineLoad, slowdown float64) time.Duration {
	return time.Duration(float64(engine.LongestIteration(model, load))*max(slowdown/healthySlowdown, 1)) + unresponsiveMargin
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
	exchange.nameAttempts()
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
