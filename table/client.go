package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/http1"
)

const (
	maxHeaderBytes = 64 << 10
	readTimeout    = 2 * time.Second
	commitTimeout  = 2 * time.Second
)

type (
	// Client is an HTTP client of the platform's table, VM list and supplier. It is
	// safe for concurrent use.
	Client struct {
		baseURL string
		http    *http.Client
		turn    chan struct{} // of long responses
	}

	// CommitRequest is the body of POST /commit.
	CommitRequest struct {
		Writes []Write `json:"writes"`
	}

	// TakeRequest is the body of POST /supply/take.
	TakeRequest struct {
		DataCentre string `json:"data-centre"`
		Domain     string `json:"fabric-domain"`
		VMs        int    `json:"vms"` // total to hold in the fabric domain
	}

	// GiveBackRequest is the body of POST /supply/give-back.
	GiveBackRequest struct {
		VMs []string `json:"vms"`
	}

	// CommitReply names the row that conflicted; it is empty if all rows were
	// written.
	CommitReply struct {
		Conflict string `json:"conflict,omitempty"`
	}
)

// NewClient returns a client of the platform at an address of the form IP:port.
func NewClient(address string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 16, MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Client{baseURL: "http://" + address, http: http1.NewClient(transport), turn: make(chan struct{}, 1)}
}

// Read implements Table.
func (client *Client) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := client.get(ctx, "/rows?key="+url.QueryEscape(key), func(decoder *json.Decoder) error { return decoder.Decode(&row) })
	return row, trace.Wrap(err, "reading row %q", key)
}

// Scan implements Table.
func (client *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := client.get(ctx, "/scan?"+query.Encode(), func(decoder *json.Decoder) (err error) {
		rows, err = decodeList[Row](decoder, limit)
		return err
	})
	return rows, trace.Wrap(err, "scanning rows %q", prefix)
}

// VMs implements VMList.
func (client *Client) VMs(ctx context.Context, dataCentre string) ([]greengageroute.VM, error) {
	var vms []greengageroute.VM
	err := client.get(ctx, "/vms?data-centre="+url.QueryEscape(dataCentre), func(decoder *json.Decoder) (err error) {
		vms, err = decodeList[greengageroute.VM](decoder, maxListedVMs)
		return err
	})
	return vms, trace.Wrap(err, "listing the VMs of %q", dataCentre)
}

func (client *Client) get(ctx context.Context, path string, decode func(*json.Decoder) error) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.baseURL+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &UnavailableError{Cause: errors.New(response.Status)}
	}
	reader := &responseReader{ctx: ctx, source: response.Body, turn: client.turn}
	defer reader.close()
	if err := decode(json.NewDecoder(reader)); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// Commit implements Table.
func (client *Client) Commit(ctx context.Context, writes ...Write) error {
	return client.post(ctx, "/commit", CommitRequest{Writes: writes})
}

// Take implements Supplier.
func (client *Client) Take(ctx context.Context, dataCentre, domain string, vms int) error {
	return client.post(ctx, "/supply/take", TakeRequest{DataCentre: dataCentre, Domain: domain, VMs: vms})
}

// GiveBack implements Supplier.
func (client *Client) GiveBack(ctx context.Context, vms ...string) error {
	return client.post(ctx, "/supply/give-back", GiveBackRequest{VMs: vms})
}

func (client *Client) post(ctx context.Context, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return ClassifyCommitError(err)
	}
	defer response.Body.Close()
	return commitResult(response)
}

// ClassifyCommitError wraps the transport error of a commit: in an
// *UnavailableError if no connection was made, so that nothing was sent, and in
// an *UncertainError otherwise.
func ClassifyCommitError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &UnavailableError{Cause: err}
	}
	return &UncertainError{Cause: err}
}

func commitResult(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		var reply CommitReply
		if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
			return &UncertainError{Cause: err}
		}
		if reply.Conflict != "" {
			return &ConflictError{Key: reply.Conflict}
		}
		return nil
	case http.StatusServiceUnavailable:
		return &UnavailableError{Cause: errors.New(response.Status)}
	default:
		return &UncertainError{Cause: errors.New(response.Status)}
	}
}
