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
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

type (
	// streamAttempt receives the events of one attempt in a goroutine of its own, and hands
	// them to the stream.
	streamAttempt struct {
		stream            *hedgedStream
		source            source
		sender            Sender
		request           greengageroute.Request
		attempt           greengageroute.Attempt
		answer            *upstream.Answer // set before the first message
		events            intake.Holding   // bytes of long events
		cancel            context.CancelCauseFunc
		done              func() // tells the tracker that the attempt has ended
		prefillTimer      *time.Timer
		unresponsiveAfter time.Duration
		lastEvent         time.Time
		sentAt            time.Time
		progress          greengageroute.AnswerProgress
		inPrefill         atomic.Bool
		attemptsAtEntry   int    // that another entry has made, as far as it said so
		fromEntry         bool   // another entry forwards the stream
		resumes           bool   // the stream had begun before
		charged           bool   // to the retry budget
		recorded          bool   // whether it reached its target
		cancelled         bool   // by this entry; nothing that it receives counts
		suspicion         string // evidence that its replica may have lost a member; empty without
	}
)

// newStreamAttempt returns an attempt at a replica or a single target.
func newStreamAttempt(stream *hedgedStream, source source) *streamAttempt {
	exchange, service, head := stream.exchange, stream.exchange.service, source.replica.Head()
	now := time.Now()
	attempt := &streamAttempt{
		stream: stream, source: source, sender: service.Sender, request: exchange.Request, attempt: exchange.newAttempt(head),
		lastEvent: now, sentAt: now, resumes: exchange.headerSent, unresponsiveAfter: time.Hour,
	}
	if source.engine != nil {
		attempt.attempt.Urgency = exchange.routes.Urgency(exchange.pool.Name, exchange.priority, exchange.hasBegun())
	}
	attempt.done = service.tracker.Begin(head.ID, exchange.PromptTokens)
	attempt.inPrefill.Store(true)
	if source.engine != nil {
		load := source.load
		load.PrefillTokens += exchange.PromptTokens
		attempt.unresponsiveAfter = unresponsiveAfter(source.engine, source.model, load, service.tracker.Stats(head.ID).SlowdownAt(now))
		// The first event comes about one iteration after prefill.
		prefillEnd := source.timeToFirstToken - source.engine.IterationTime(source.model, source.load.Running+1)
		attempt.prefillTimer = time.AfterFunc(prefillEnd, attempt.finishPrefill)
	}
	service.Peers.LoadChanged()
	service.Log.V(1).Info("attempt started", "id", exchange.ID, "replica", source.replica.Name, "epoch", source.replica.Epoch, "head", head.ID,
		"running", source.load.Running, "reading", source.load.PrefillTokens, "expected-ms", source.timeToFirstToken.Milliseconds(), "after-event", exchange.LastEventID)
	return attempt
}

// newForwardedStreamAttempt returns an attempt through another entry.
func newForwardedStreamAttempt(stream *hedgedStream, address string) *streamAttempt {
	exchange, now := stream.exchange, time.Now()
	helper := greengageroute.Target{ID: address, Address: address}
	attempt := exchange.newForwardedAttempt(helper)
	return &streamAttempt{
		stream: stream, source: source{replica: greengageroute.Replica{Members: []greengageroute.Target{helper}}}, sender: exchange.service.PeerSender,
		request: exchange.Request, attempt: attempt, done: func() {}, lastEvent: now, sentAt: now,
		resumes: exchange.headerSent, unresponsiveAfter: time.Hour, fromEntry: true,
	}
}

func (attempt *streamAttempt) head() greengageroute.Target { return attempt.source.replica.Head() }

// start sends the request and receives the answer until it ends or the context does.
func (attempt *streamAttempt) start(ctx context.Context) {
	ctx, attempt.cancel = context.WithCancelCause(ctx)
	exchange := attempt.stream.exchange
	attempt.events.BeginEvents(exchange.httpRequest.Context(), exchange.service.Budget, exchange.writer, attempt.cancel)
	go func() {
		rest, err := attempt.receive(ctx)
		attempt.stream.messages <- streamMessage{attempt: attempt, ended: true, rest: rest, err: err}
	}()
}

// abandon cancels the attempt, so that its target stops the work.
func (attempt *streamAttempt) abandon(cause error) {
	attempt.cancelled = true
	attempt.cancel(cause)
}

// close ends the attempt's exchange with its target.
func (attempt *streamAttempt) close(complete bool) {
	if attempt.answer != nil {
		attempt.answer.Close(complete)
	}
	attempt.events.Release()
	attempt.cancel(nil)
	if attempt.prefillTimer != nil {
		attempt.prefillTimer.Stop()
	}
	attempt.finishPrefill()
	attempt.done()
}

// receive hands the head of the answer and its events to the stream. It returns what comes
// after the last event, or the body of an error answer.
func (attempt *streamAttempt) receive(ctx context.Context) (rest []byte, err error) {
	answer, err := attempt.sender.Do(ctx, attempt.request, attempt.attempt)
	if err != nil {
		return nil, err
	}
	attempt.answer = answer
	attempt.stream.messages <- streamMessage{attempt: attempt}
	switch {
	case attempt.isRefusedByEntry():
		return nil, helperRefusal(answer)
	case answer.NotRun && !attempt.fromEntry:
		return nil, errNotRun
	case answer.Status != http.StatusOK:
		return attempt.stream.exchange.readAnswer(answer)
	case attempt.resumes && !attempt.isEventStream():
		return nil, errNotEvents
	}
	reader := newEventReader(answer.Body, &attempt.events)
	for {
		event, err := reader.next()
		switch {
		case errors.Is(err, io.EOF):
			return event.text, nil
		case err != nil && ctx.Err() != nil:
			return nil, context.Cause(ctx)
		case err != nil:
			return nil, err
		}
		message := streamMessage{attempt: attempt, event: event}
		if attempt.fromEntry {
			if made, found := platform.DecodeAttemptsComment(event.text, attempt.attempt.NoticeToken); found {
				event.release(&attempt.events)
				message = streamMessage{attempt: attempt, attemptsAtEntry: max(made, 1)}
			}
		}
		select {
		case attempt.stream.messages <- message:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// isRefusedByEntry reports whether another entry refused the request without having it run.
func (attempt *streamAttempt) isRefusedByEntry() bool {
	return attempt.fromEntry && isRefusedByEntry(attempt.answer)
}

// isEventStream reports whether the target's answer consists of events, as it does
// unless its header says otherwise.
func (attempt *streamAttempt) isEventStream() bool {
	contentType := attempt.answer.Header.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// assess returns why the replica of a silent attempt may have lost a member, and whether it
// can't go on: a member is listed with a later start, or the head's newer row shows it broken or
// in a later replica. That a member isn't listed or doesn't respond proves nothing.
func (attempt *streamAttempt) assess() (evidence string, lost bool) {
	if attempt.source.engine == nil {
		return "", false
	}
	replica, service := attempt.source.replica, attempt.stream.exchange.service
	view := service.Directory.View()
	for rank, member := range replica.Members {
		listed, found := view.Target(member.ID)
		if !found {
			evidence = "member " + member.ID + " is unreachable or not listed"
			continue
		}
		if listed.StartUnixMilli > member.StartUnixMilli {
			return "member " + member.ID + " has restarted", true
		}
		if listed.StartUnixMilli != member.StartUnixMilli {
			evidence = "an older row of member " + member.ID + " is listed"
			continue
		}
		shown := listed.Membership
		if rank == 0 && shown.Epoch > replica.Epoch {
			return "the head joined epoch " + strconv.FormatUint(shown.Epoch, 10), true
		}
		if rank == 0 && shown.State == greengageroute.MemberBroken && shown.BelongsTo(replica.Name, replica.Epoch) {
			return "the head says that it is broken", true
		}
		if !shown.BelongsTo(replica.Name, replica.Epoch) {
			evidence = "member " + member.ID + " is listed in another replica"
		}
	}
	if attempt.stream.exchange.isolated() {
		evidence = "no target responds to this entry"
	}
	return evidence, false
}

// requestProbe has the members of a silent replica probed if no entry has received anything
// from its head lately, and tells the others that it is suspected.
func (attempt *streamAttempt) requestProbe() {
	service := attempt.stream.exchange.service
	if attempt.source.engine == nil || service.Peers.Active(attempt.head().ID, attempt.unresponsiveAfter) || !service.mayProbe(attempt.head()) {
		return
	}
	service.suspect(attempt.source.replica, time.Since(attempt.lastEvent))
	service.Prober.ProbeReplica(attempt.source.replica)
}

// recordProgress records an event and the replica's speed relative to the published one.
func (attempt *streamAttempt) recordProgress(now time.Time) {
	exchange := attempt.stream.exchange
	tracker, head := exchange.service.tracker, attempt.head().ID
	tracker.RecordEvent(head, attempt.progress.IsSound(), now)
	tracker.RecordActivity(attempt.head().Pool, now)
	hasNoGap, wasSound := attempt.progress.Pieces() == 0, attempt.progress.IsSound()
	attempt.progress = attempt.progress.WithPiece(now)
	if !wasSound && attempt.progress.IsSound() {
		exchange.recordSound()
	}
	gap := now.Sub(attempt.lastEvent)
	attempt.lastEvent = now
	hasNoGap = hasNoGap || attempt.suspicion != "" // a silence says nothing about the speed
	if attempt.source.engine == nil {
		return
	}
	attempt.finishPrefill()
	if exchange.isRanked() && attempt.progress.Pieces() == 1 && !attempt.resumes && !exchange.resumed && attempt.suspicion == "" && attempt.source.load.Running < attempt.source.engine.Slots {
		exchange.service.overload.recordFirstToken(exchange.overloadKey(), now.Sub(attempt.sentAt), attempt.source.timeToFirstToken)
	}
	if !hasNoGap {
		expected := attempt.source.engine.IterationTime(attempt.source.model, attempt.source.load.Running+1)
		tracker.RecordEventGap(head, float64(gap)/float64(max(expected, time.Millisecond)), now)
	}
}

// finishPrefill removes the prompt from the tracker's prefill tokens, once.
func (attempt *streamAttempt) finishPrefill() {
	if attempt.inPrefill.CompareAndSwap(true, false) {
		exchange := attempt.stream.exchange
		exchange.service.tracker.FinishPrefill(attempt.head().ID, exchange.PromptTokens)
	}
}
