package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

// Probe asks an engine for its report. If the kept connection does not answer
// in time a new one is tried, so that a dead connection does not pass for a
// dead engine.
func (client *Client) Probe(ctx context.Context, address string) (greengageroute.EngineReport, error) {
	report, err := client.probe(ctx, client.probing, address)
	if err == nil {
		return report, nil
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return report, err
	}
	return client.probe(ctx, client.fresh, address)
}

// ProbeFresh asks for the report on a new connection only.
func (client *Client) ProbeFresh(ctx context.Context, address string) (greengageroute.EngineReport, error) {
	return client.probe(ctx, client.fresh, address)
}

func (client *Client) probe(ctx context.Context, via *http.Client, address string) (greengageroute.EngineReport, error) {
	var report greengageroute.EngineReport
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	response, err := send(ctx, via, http.MethodGet, address, "/report", body{})
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&report); err != nil {
		return report, &LostError{Address: address, Cause: err}
	}
	return report, nil
}

// Order gives an engine an order. The error is a *RefusedError if the engine
// honours fencing numbers and has seen a higher one.
func (client *Client) Order(ctx context.Context, order greengageroute.EngineOrder) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	response, err := send(ctx, client.fresh, http.MethodPost, order.Address, "/order", body{bytes: encoded})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// send makes a call and sorts its failures by whether the target was reached.
func send(ctx context.Context, via *http.Client, method, address, path string, body body) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body.reader())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.ContentLength = int64(len(body.bytes))
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(body.reader()), nil }
	request.Header["User-Agent"] = nil // a probe's bytes count
	response, err := via.Do(request)
	if errors.Is(err, errTooLate) {
		return nil, &RefusedError{Address: address, Reason: errTooLate.Error()}
	}
	if err != nil {
		return nil, failure(address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		reason, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return nil, &RefusedError{Address: address, Status: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
	return response, nil
}

func failure(address string, err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return &UnreachableError{Address: address, Cause: err}
	}
	return &LostError{Address: address, Cause: err}
}
