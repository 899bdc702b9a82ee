package edge

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"greengageroute.example/greengageroute/platform"
)

var (
	// errCallerGone says that nobody waits for the answer.
	errCallerDisconnected = errors.New("the caller has gone")
	// errBroken says that an answer broke off after its head went out.
	errResponseAborted = errors.New("the answer broke off")
)

type (
	// Refusal is an answer of this entry's own.
	Refusal struct {
		Status     int
		Reason     string
		Remedy     string
		RetryAfter time.Duration // when to come back; 0: not said
	}
)

// Error implements error.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%d: %s; %s", refusal.Status, refusal.Reason, refusal.Remedy)
}

func refuse(status int, reason, remedy string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Remedy: remedy}
}

// notNow refuses a request that has not run and never will.
func unavailable(reason string, after time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Remedy: "come back after the given time", RetryAfter: after}
}

// unanswered says how a request ends whose target did not answer: with a promise
// that it has not run only if nothing can have run it.
func (exchange *exchange) noAnswerError(status int, reason string, after time.Duration) error {
	if exchange.headerSent {
		return errResponseAborted
	}
	if !exchange.mayHaveRun {
		return unavailable(reason, after)
	}
	return refuse(status, reason, "it may have run; ask before sending it again")
}

// end finishes an exchange that has no whole answer.
func (exchange *exchange) fail(err error) {
	service := exchange.service
	facts := append(exchange.logValues(), "cause", err.Error())
	var refusal *Refusal
	switch {
	case exchange.httpRequest.Context().Err() != nil || errors.Is(err, errCallerDisconnected):
		service.Counters.Add(CountCallersDisconnected, 1)
		service.Log.V(1).Info("caller gone", facts...)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case errors.As(err, &refusal):
		service.Counters.Add(CountRefused+strconv.Itoa(refusal.Status), 1)
		service.Log.V(1).Info("request refused", append(facts, "status", refusal.Status, "retry-after", refusal.RetryAfter.String())...)
		refusal.write(exchange.writer, exchange.ID)
	default:
		service.Counters.Add(CountResponsesAborted, 1)
		service.Log.V(1).Info("answer broken off", facts...)
		panic(http.ErrAbortHandler) // a cut answer must not look complete
	}
}

func (refusal *Refusal) write(writer http.ResponseWriter, id string) {
	header := writer.Header()
	if id != "" {
		header.Set(platform.HeaderAttemptID, id)
	}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", platform.RetryAfter(refusal.RetryAfter))
	}
	text := refusal.Reason + "; " + refusal.Remedy + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(refusal.Status)
	// The caller sees a short body if it has gone.
	_, _ = writer.Write([]byte(text))
}
