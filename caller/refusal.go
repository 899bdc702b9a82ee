package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

const (
	codeNotRun  = "not-run"
	codeUnknown = "unknown"
)

type (
	// Refusal is an error as callers and operators receive it.
	Refusal struct {
		Status      int           `json:"-"`
		Code        string        `json:"code"`
		Message     string        `json:"message"`
		Outcome     string        `json:"outcome,omitempty"` // of an action: not-run or unknown
		OutcomePath string        `json:"ask,omitempty"`     // path that returns an unknown outcome
		RetryAfter  time.Duration `json:"-"`
	}

	// exchange lets the service set what goa's generated encoders do not: the
	// status of a service's answer and the Retry-After header.
	exchange struct {
		http.ResponseWriter
		request    *http.Request
		holding    *intake.Holding // bytes held for the caller
		bodyRead   bool
		status     int
		retryAfter time.Duration
	}

	exchangeKey struct{}
)

// bodyCodes are the codes of refused bodies by status.
var bodyCodes = map[int]string{
	http.StatusRequestTimeout: "too-slow", http.StatusRequestEntityTooLarge: "too-long", http.StatusServiceUnavailable: "over-budget",
}

func (refusal *Refusal) Error() string { return refusal.Message }

// StatusCode implements goa's Statuser.
func (refusal *Refusal) StatusCode() int { return refusal.Status }

// Unwrap returns the wrapped writer, which http.ResponseController needs to flush.
func (exchange *exchange) Unwrap() http.ResponseWriter { return exchange.ResponseWriter }

// WriteHeader replaces the design's status 200 with the status that the service
// set, and adds Retry-After.
func (exchange *exchange) WriteHeader(status int) {
	if exchange.request.ContentLength != 0 && !exchange.bodyRead {
		intake.BoundLeftover(exchange.ResponseWriter)
	}
	if exchange.status != 0 && status == http.StatusOK {
		status = exchange.status
	}
	if exchange.retryAfter > 0 {
		seconds := int(math.Ceil(exchange.retryAfter.Seconds()))
		exchange.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	exchange.ResponseWriter.WriteHeader(status)
}

// announced returns the announced length of the body, or -1.
func (exchange *exchange) announced() int64 {
	if exchange.ResponseWriter == nil {
		return -1
	}
	return exchange.request.ContentLength
}

// WithExchange is middleware that passes the request to the service, lets the service set the
// answer's status, and charges what is held for the caller to the budget until the request
// ends.
func WithExchange(budget *intake.Budget, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		exchange := &exchange{ResponseWriter: writer, request: request, holding: &intake.Holding{}}
		exchange.holding.Begin(request.Context(), budget, writer)
		defer exchange.holding.Release()
		ctx := context.WithValue(request.Context(), exchangeKey{}, exchange)
		if err := exchange.holding.ReserveHeader(request.Header); err != nil {
			exchange.holding.Abandon()
			writeBodyRefusal(ctx, exchange, bodyError(err))
			return
		}
		next.ServeHTTP(exchange, request.WithContext(ctx))
	})
}

// WithHolding returns the context of a request that another entry has read and forwarded, for
// which what is held is charged to a holding.
func WithHolding(ctx context.Context, holding *intake.Holding) context.Context {
	return context.WithValue(ctx, exchangeKey{}, &exchange{request: &http.Request{Method: http.MethodGet}, holding: holding})
}

// WithBufferedBody is middleware within WithExchange that reads the bodies of requests below a
// path, for handlers that decode them without a bound.
func WithBufferedBody(prefix string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 || !strings.HasPrefix(request.URL.Path, prefix) {
			next.ServeHTTP(writer, request)
			return
		}
		raw, err := readBody(request.Context(), request.Body)
		if err != nil {
			writeBodyRefusal(request.Context(), writer, err)
			return
		}
		buffered := request.WithContext(request.Context())
		buffered.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(writer, buffered)
	})
}

// writeBodyRefusal answers a request that wasn't read to its end.
func writeBodyRefusal(ctx context.Context, writer http.ResponseWriter, err error) {
	exchangeFrom(ctx).retryAfter = refusalFor(err).RetryAfter
	status, refusal := EncodeRefusal(err)
	writer.Header().Set("Content-Type", contentJSON)
	writer.WriteHeader(status)
	_, _ = writer.Write(refusal) // if it fails, the caller has disconnected
}

func exchangeFrom(ctx context.Context) *exchange {
	found, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return &exchange{request: &http.Request{Method: http.MethodGet}, holding: &intake.Holding{}}
	}
	return found
}

// FormatError implements goa's error formatter: it maps errors to statuses and
// bodies.
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	refusal := refusalFor(err)
	exchangeFrom(ctx).retryAfter = refusal.RetryAfter
	return refusal
}

func refusalFor(err error) *Refusal {
	var refusal *Refusal
	var overload *greengageroute.OverloadError
	var malformed *goa.ServiceError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &overload):
		return &Refusal{
			Status: http.StatusTooManyRequests, Code: "overloaded", Message: overload.Error(),
			Outcome: greengageroute.OutcomeNotRun, RetryAfter: overload.RetryAfter,
		}
	case errors.As(err, &malformed):
		return &Refusal{Status: http.StatusBadRequest, Code: "malformed", Message: malformed.Message + "; correct the request"}
	case trace.IsAccessDenied(err):
		return &Refusal{Status: http.StatusUnauthorized, Code: "denied", Message: trace.UserMessage(err)}
	case trace.IsNotFound(err):
		return &Refusal{Status: http.StatusNotFound, Code: "not-found", Message: trace.UserMessage(err)}
	case trace.IsBadParameter(err):
		return &Refusal{Status: http.StatusBadRequest, Code: "malformed", Message: trace.UserMessage(err)}
	case errors.Is(err, context.Canceled):
		return &Refusal{Status: 499, Code: "cancelled", Message: "the caller disconnected"}
	default:
		return &Refusal{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error()}
	}
}

func notRun(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: codeNotRun, Outcome: greengageroute.OutcomeNotRun, RetryAfter: retryAfter,
		Message: reason + "; the action was not run, send it again with the same key",
	}
}

// unsentRetry is the refusal of a request that was not sent for the given reason,
// under a key that may have been sent before.
func unsentRetry(key, reason string, cause *Refusal) *Refusal {
	refusal := unknownOutcome(key)
	if cause.Code != codeNotRun {
		refusal.Status, refusal.Code = cause.Status, cause.Code
	}
	refusal.RetryAfter = cause.RetryAfter
	refusal.Message = fmt.Sprintf("this request was not sent (%s), but an earlier one under its key may have run; send it again with the same key, or query the outcome with GET %s",
		reason, refusal.OutcomePath)
	return refusal
}

func unknownOutcome(key string) *Refusal {
	outcomePath := "/actions/" + key
	return &Refusal{
		Status: http.StatusGatewayTimeout, Code: codeUnknown, Outcome: greengageroute.OutcomeUnknown, OutcomePath: outcomePath, RetryAfter: time.Second,
		Message: fmt.Sprintf("the action may have been run; query its outcome with GET %s before you do anything else", outcomePath),
	}
}
