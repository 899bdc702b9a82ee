package edge

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/platform"
)

var (
	// errCallerDisconnected is returned when the caller no longer waits for an answer.
	errCallerDisconnected = errors.New("the caller disconnected")
	// errResponseAborted is returned when an answer was cut off after its header was
	// sent to the caller.
	errResponseAborted = errors.New("the response was aborted")
)

type (
	// Refusal is an error answer that the entry itself gives instead of a target.
	Refusal struct {
		Status     int
		Reason     string
		Remedy     string
		RetryAfter time.Duration // value of the Retry-After header; 0: none
	}
)

// Error implements error.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%d: %s; %s", refusal.Status, refusal.Reason, refusal.Remedy)
}

func refuse(status int, reason, remedy string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Remedy: remedy}
}

// unavailable refuses a request that has not run and never will.
func unavailable(reason string, after time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Remedy: "retry after the given time", RetryAfter: after}
}

// noAnswerError returns the error of a request that no target answered. It is 503,
// which promises that the request has not run, only if no target can have run it.
func (exchange *exchange) noAnswerError(status int, reason string, after time.Duration) error {
	if exchange.headerSent {
		return errResponseAborted
	}
	if !exchange.mayHaveRun {
		return unavailable(reason, after)
	}
	return refuse(status, reason, "the request may have run; check its outcome before sending it again")
}

// fail ends an exchange that has no complete answer.
func (exchange *exchange) fail(err error) {
	service := exchange.service
	facts := append(exchange.logValues(), "cause", err.Error())
	var refusal *Refusal
	switch {
	case errors.Is(err, errCallerDisconnected) || exchange.httpRequest.Context().Err() != nil && service.running.Err() == nil && !exchange.bodyRefused:
		// A stop that interrupts the reading of a body ends the context too, as a refused body does.
		service.Counters.Add(CountCallersDisconnected, 1)
		service.Log.V(1).Info("caller disconnected", facts...)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case errors.As(err, &refusal):
		service.Counters.Add(CountRefused+strconv.Itoa(refusal.Status), 1)
		service.Log.V(1).Info("request refused", append(facts, "status", refusal.Status, "retry-after", refusal.RetryAfter.String())...)
		if exchange.forwarded && !exchange.mayHaveRun {
			platform.MarkNotRun(exchange.writer.Header())
		}
		if exchange.httpRequest.ContentLength != 0 && exchange.Body == nil {
			intake.BoundLeftover(exchange.writer)
		}
		exchange.nameAttempts()
		refusal.write(exchange.writer, exchange.ID)
	default:
		service.Counters.Add(CountResponsesAborted, 1)
		service.Log.V(1).Info("response aborted", facts...)
		if !exchange.httpRequest.ProtoAtLeast(1, 1) {
			resetConnection(exchange.writer)
		}
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	}
}

// resetConnection resets a caller's connection. Callers with HTTP/1.0 get answers without
// chunks, which a close completes.
func resetConnection(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	if tcp, isTCP := conn.(interface{ SetLinger(sec int) error }); isTCP {
		// Without it the connection is closed without a reset, as it would be otherwise.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
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
	// If the write fails, the caller sees a body that is too short.
	_, _ = writer.Write([]byte(text))
}
