package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// silenceMargin is how much longer than its longest pass a replica may be
	// silent: prompts that others sent just now, or a packet on the way.
	silenceMargin = 150 * time.Millisecond
	// usualSlowness is how much longer than a pass that only writes the gaps of a
	// healthy replica are, since it reads in between.
	usualSlowness = 1.6
	// silenceRecheck is when a silent replica is looked at again: its members are
	// being asked meanwhile.
	silenceRecheck = 60 * time.Millisecond
	// formingRetry is when a caller comes back whose model has no replica: about
	// as long as a staged target takes to replace a lost one.
	formingRetry = 800 * time.Millisecond
	// overload is how many times its objective a request may be expected to wait.
	overload = 1.5
	// minOverloadRetry keeps callers from returning before a request has ended.
	minOverloadRetry = 200 * time.Millisecond
)

// errReplicaLost ends an attempt at a replica that has lost a member.
var errReplicaLost = errors.New("the replica has lost a member")

type (
	// source is a replica, or a single target, that a stream comes from.
	source struct {
		replica  greengageroute.Replica
		model    greengageroute.EngineModel
		engine   *greengageroute.Engine
		load     greengageroute.EngineLoad
		expected time.Duration // until the first token
	}

	// relay passes the events of one attempt on.
	relay struct {
		exchange  *exchange
		source    source
		answer    *upstream.Answer
		reader    *bufio.Reader
		silence   *time.Timer
		threshold time.Duration
		last      time.Time
		first     bool // the first event is still to come
		reading   atomic.Bool
	}
)

// stream sends a request for a stream and passes its events on. Where the route
// allows it, a stream that breaks goes on at another replica.
func (exchange *exchange) stream(ctx context.Context) error {
	passed := greengageroute.Set[string]{}
	reason, after := "no replica of the model serves", formingRetry
	for range maxTries {
		source, found := exchange.pickSource(passed)
		if !found {
			break
		}
		if wait := exchange.overloaded(source); wait > 0 {
			reason, after = "the replicas are full", wait
			break
		}
		if !exchange.mayRepeat() {
			break
		}
		passed.Add(source.replica.Head().ID)
		if exchange.started {
			exchange.service.Counters.Add(CountResumed, 1)
		}
		whole, err := exchange.relay(ctx, source)
		var notSent *upstream.NotSentError
		switch {
		case whole:
			return nil
		case errors.Is(err, errCallerGone) || exchange.caller.Context().Err() != nil:
			return errCallerGone
		case ctx.Err() != nil:
			return exchange.expired()
		case errors.As(err, &notSent):
			reason = "the replica can't be reached"
		case errors.Is(err, errNotRun):
			reason, after = "the replicas are full", minOverloadRetry
		default:
			reason = err.Error()
		}
		if exchange.ran && !exchange.route.Resumable {
			break
		}
	}
	return exchange.unanswered(http.StatusBadGateway, reason, after)
}

// errNotRun says that the target answered that it did not run the request.
var errNotRun = errors.New("the target did not run the request")

// overloaded returns when a caller may come back whose request would wait too
// long; 0 if it would not. A stream that has begun goes on whatever it takes.
func (exchange *exchange) overloaded(source source) time.Duration {
	limit := time.Duration(overload * float64(exchange.route.LatencyObjective))
	if exchange.started || source.engine == nil || limit <= 0 || source.expected <= limit {
		return 0
	}
	return max(source.expected-exchange.route.LatencyObjective, minOverloadRetry)
}

func (exchange *exchange) pickSource(passed greengageroute.Set[string]) (source, bool) {
	engine := exchange.pool.Engine
	if engine == nil {
		target, found := exchange.pickTarget(passed)
		return source{replica: greengageroute.Replica{Members: []greengageroute.Target{target}}}, found
	}
	model, known := engine.Model(exchange.Model)
	if !known {
		return source{}, false
	}
	service := exchange.service
	loads := service.Peers.Loads()
	var choices []greengageroute.ReplicaCandidate
	for _, replica := range service.Directory.View().Replicas[exchange.pool.Name][model.Name] {
		head := replica.Head()
		if passed.Has(head.ID) || head.State != greengageroute.TargetReady {
			continue
		}
		seen := service.tracker.Seen(head.ID)
		load := loads[head.ID]
		load.Running += seen.Running
		load.PrefillTokens += seen.Reading
		slowness := seen.SlownessAt(time.Now())
		silent := seen.Running > 0 && time.Since(seen.LastSign) > silenceOf(engine, model, load, slowness)
		choices = append(choices, greengageroute.ReplicaCandidate{
			Replica: replica, Load: load, Slowdown: slowness,
			Local: head.DataCentre == service.DataCentre, Unresponsive: silent, HasIdleConnection: service.Sender.Kept(head, false),
		})
	}
	place, expected := greengageroute.ChooseReplica(engine, model, exchange.PromptTokens, exchange.route.GapObjective, choices)
	if place < 0 {
		return source{}, false
	}
	chosen := choices[place]
	return source{replica: chosen.Replica, model: model, engine: engine, load: chosen.Load, expected: expected}, true
}

// silenceOf returns how long a healthy replica may go without an event.
func silenceOf(engine *greengageroute.Engine, model greengageroute.EngineModel, load greengageroute.EngineLoad, slowness float64) time.Duration {
	return time.Duration(float64(engine.LongestIteration(model, load))*max(slowness/usualSlowness, 1)) + silenceMargin
}

// relay makes one attempt. It returns whether the stream was passed on to its end.
func (exchange *exchange) relay(ctx context.Context, source source) (whole bool, err error) {
	service, head := exchange.service, source.replica.Head()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	relay := &relay{exchange: exchange, source: source, first: true, last: time.Now(), threshold: time.Hour}
	done := service.tracker.Begin(head.ID, exchange.PromptTokens)
	defer done()
	defer relay.read()
	service.Peers.LoadChanged()
	relay.reading.Store(true)
	if source.engine != nil {
		load := source.load
		load.PrefillTokens += exchange.PromptTokens
		relay.threshold = silenceOf(source.engine, source.model, load, service.tracker.Seen(head.ID).SlownessAt(time.Now()))
	}
	if source.engine != nil {
		// The first event comes about a pass after the prompt was read.
		readBy := source.expected - source.engine.IterationTime(source.model, source.load.Running+1)
		reading := time.AfterFunc(readBy, relay.read)
		defer reading.Stop()
	}
	relay.silence = time.AfterFunc(relay.threshold, func() { relay.silent(cancel) })
	defer relay.silence.Stop()
	service.Log.V(1).Info("attempt", "id", exchange.ID, "replica", source.replica.Name, "epoch", source.replica.Epoch, "head", head.ID,
		"running", source.load.Running, "reading", source.load.PrefillTokens, "expected-ms", source.expected.Milliseconds(), "after-event", exchange.LastEventID)
	relay.answer, err = service.Sender.Do(ctx, exchange.Request, exchange.attempt(head))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return false, err
	}
	exchange.noteSent(head)
	exchange.ran = exchange.ran || err != nil || !relay.answer.NotRun
	if err != nil {
		exchange.suspectDeath(ctx, head, err)
		return false, lostCause(ctx, err)
	}
	defer func() { relay.answer.Close(whole) }()
	if relay.answer.NotRun {
		return false, errNotRun
	}
	if relay.answer.Status != http.StatusOK {
		return exchange.passFailure(relay.answer)
	}
	whole, err = relay.run()
	if err != nil && !errors.Is(err, errCallerGone) {
		exchange.suspectDeath(ctx, head, &upstream.LostError{Target: head.ID, Cause: err})
	}
	return whole, lostCause(ctx, err)
}

// passFailure delivers a failure of the target's own, unless another target may
// still answer.
func (exchange *exchange) passFailure(answer *upstream.Answer) (bool, error) {
	if exchange.started || answer.Status >= http.StatusInternalServerError && exchange.route.Resumable && exchange.sent < exchange.route.Attempts {
		return false, errors.New("the target failed")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return false, err
	}
	return true, exchange.deliver(answer, body)
}

func lostCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errReplicaLost) {
		return cause
	}
	return err
}

// silent is called when nothing has come for longer than a pass takes.
func (relay *relay) silent(cancel context.CancelCauseFunc) {
	service, replica := relay.exchange.service, relay.source.replica
	if relay.source.engine == nil {
		return
	}
	view := service.Directory.View()
	for _, member := range replica.Members {
		if listed, found := view.Targets[member.ID]; !found || listed.StartUnixMilli != member.StartUnixMilli {
			service.Log.Info("replica lost", "id", relay.exchange.ID, "replica", replica.Name, "epoch", replica.Epoch, "member", member.ID)
			cancel(errReplicaLost)
			return
		}
	}
	if !service.Peers.Active(replica.Head().ID, relay.threshold) {
		service.Suspects.Silent(replica)
	}
	relay.silence.Reset(silenceRecheck)
}

// run passes whole events on until the stream ends.
func (relay *relay) run() (whole bool, err error) {
	relay.reader = bufio.NewReaderSize(relay.answer.Body, 1<<10)
	var event []byte
	for {
		line, err := relay.reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return relay.finish(event)
		case err != nil:
			return false, err
		}
		if len(line) > 2 || len(line) == 2 && line[0] != '\r' {
			continue
		}
		if err := relay.pass(event); err != nil {
			return false, err
		}
		event = event[:0]
	}
}

// finish ends a stream whose target ended it properly.
func (relay *relay) finish(rest []byte) (bool, error) {
	if len(rest) > 0 {
		if err := relay.pass(rest); err != nil {
			return false, err
		}
	}
	relay.exchange.start(relay.answer)
	return true, nil
}

// pass delivers one event.
func (relay *relay) pass(event []byte) error {
	now := time.Now()
	relay.silence.Reset(relay.threshold)
	relay.note(now)
	exchange := relay.exchange
	exchange.timing.event(now.Sub(exchange.arrived))
	exchange.start(relay.answer)
	if _, err := exchange.writer.Write(event); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(exchange.writer).Flush(); err != nil {
		return errCallerGone
	}
	if id, found := eventID(event); found {
		exchange.LastEventID = id
	}
	return nil
}

// note tells the tracker how the replica keeps its published pace.
func (relay *relay) note(now time.Time) {
	tracker, head := relay.exchange.service.tracker, relay.source.replica.Head().ID
	tracker.Sign(head, now)
	if relay.source.engine == nil {
		return
	}
	relay.read()
	if !relay.first {
		usual := relay.source.engine.IterationTime(relay.source.model, relay.source.load.Running+1)
		tracker.Paced(head, float64(now.Sub(relay.last))/float64(max(usual, time.Millisecond)), now)
	}
	relay.first, relay.last = false, now
}

// read tells the tracker once that the prompt is no longer to be read.
func (relay *relay) read() {
	if relay.reading.CompareAndSwap(true, false) {
		relay.exchange.service.tracker.Read(relay.source.replica.Head().ID, relay.exchange.PromptTokens)
	}
}

// start sends the head of the stream's first answer.
func (exchange *exchange) start(answer *upstream.Answer) {
	if exchange.started {
		return
	}
	exchange.started = true
	header := exchange.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	exchange.writer.WriteHeader(answer.Status)
}

// eventID returns the id of an event.
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
