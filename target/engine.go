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

// Probe requests an engine's report over a pooled connection. If there is no
// response in time, it tries a new connection, so that a broken connection isn't
// mistaken for a failed engine.
func (client *Client) Probe(ctx context.Context, address string) (greengageroute.EngineReport, error) {
	report, err := client.probe(ctx, client.probePool, address)
	if err == nil {
		return report, nil
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return report, err
	}
	return client.probe(ctx, client.unpooled, address)
}

// ProbeNewConnection requests an engine's report over a new connection only.
func (client *Client) ProbeNewConnection(ctx context.Context, address string) (greengageroute.EngineReport, error) {
	return client.probe(ctx, client.unpooled, address)
}

func (client *Client) probe(ctx context.Context, httpClient *http.Client, address string) (greengageroute.EngineReport, error) {
	var report greengageroute.EngineReport
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	response, err := client.send(ctx, httpClient, http.MethodGet, address, "/report", body{})
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	limited := &io.LimitedReader{R: response.Body, N: maxReportBytes}
	if err := json.NewDecoder(limited).Decode(&report); err != nil {
		if limited.N <= 0 {
			err = &TooLongError{What: "the report", Limit: maxReportBytes, Unit: "bytes"}
		}
		client.reportFault(address, err)
		return report, &AnswerLostError{Address: address, Cause: err}
	}
	return report, nil
}

// SendOrder sends an order to an engine. The error is a *RefusedError if the
// engine honours fencing numbers and has seen a higher one.
func (client *Client) SendOrder(ctx context.Context, order greengageroute.EngineOrder) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	response, err := client.send(ctx, client.unpooled, http.MethodPost, order.Address, "/order", body{bytes: encoded})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// send makes a call. Its error is a *RefusedError if the target refused the call
// or the deadline for sending it passed, an *UnreachableError if no connection was
// made, and an *AnswerLostError if the call failed later.
func (client *Client) send(ctx context.Context, httpClient *http.Client, method, address, path string, body body) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body.reader())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.ContentLength = int64(len(body.bytes))
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(body.reader()), nil }
	request.Header["User-Agent"] = nil // keeps probes small: their bytes are counted
	response, err := httpClient.Do(request)
	if errors.Is(err, errSendDeadline) {
		return nil, &RefusedError{Address: address, Reason: errSendDeadline.Error()}
	}
	if err != nil {
		client.reportFault(address, err)
		return nil, classifyError(address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		reason, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return nil, &RefusedError{Address: address, Status: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
	return response, nil
}

func classifyError(address string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &UnreachableError{Address: address, Cause: err}
	}
	return &AnswerLostError{Address: address, Cause: err}
}
