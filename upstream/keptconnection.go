package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// defaultCheckTimeout is the timeout that a target is told if the context has none.
const defaultCheckTimeout = time.Second

var (
	// errNoKeptConnection is returned if no connection from before the given time is open.
	errNoKeptConnection = errors.New("no connection from before the request is open")
	// errNotNamed is returned for an answer that doesn't name the target.
	errNotNamed = errors.New("the answer doesn't name the target")
)

// CheckKeptConnection returns the head of a target's answer to a health check on a connection
// that was opened before the given time. A process that ends closes all its connections,
// so the one that answers is the one that was running then. The error is an *AnswerLostError if
// what the target sent isn't the answer. The context bounds how long a silent target is waited for.
func (client *Client) CheckKeptConnection(ctx context.Context, target greengageroute.Target, healthPath string, openedBefore time.Time) (greengageroute.AnswerHead, error) {
	err := errNoKeptConnection
	key := poolKey(target)
	for conn := client.popOpenedBefore(key, openedBefore); conn != nil; conn = client.popOpenedBefore(key, openedBefore) {
		if !conn.usable() {
			conn.Close()
			continue
		}
		request := greengageroute.Request{Method: http.MethodGet, URI: healthPath, Host: target.Address, Header: http.Header{}}
		var answer *Answer
		answer, err = client.exchange(ctx, conn, key, request, greengageroute.Attempt{Target: target, Remaining: remaining(ctx)})
		if err != nil && ctx.Err() != nil {
			break // the others are as silent
		}
		if err != nil {
			continue
		}
		_, readErr := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBytes))
		answer.Close(readErr == nil)
		// Any status will do, but a copy of an earlier answer names no instance.
		if answer.Instance != target.ID {
			return answer.AnswerHead, errNotNamed
		}
		return answer.AnswerHead, nil
	}
	return greengageroute.AnswerHead{}, err
}

// remaining returns the time until a context's deadline, or defaultCheckTimeout without one.
func remaining(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return defaultCheckTimeout
	}
	return time.Until(deadline)
}

func (client *Client) popOpenedBefore(key string, openedBefore time.Time) *conn {
	client.mu.Lock()
	defer client.mu.Unlock()
	conns := client.idle[key]
	for i, conn := range slices.Backward(conns) {
		if conn.openedAt.Before(openedBefore) {
			client.idle[key] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

func (client *Client) recordUnframed(pool string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.unframedAt[pool] = time.Now()
}

// keepSpare opens an idle connection to a target unless there is one, if answers of its
// pool lately had neither a length nor chunks. Without it nothing could be told of the
// answer's end, and a failure here has no other effect.
func (client *Client) keepSpare(ctx context.Context, key string, target greengageroute.Target) {
	client.mu.Lock()
	at, unframed := client.unframedAt[target.Pool]
	// Each check is a system call.
	needed := unframed && time.Since(at) <= unframedTTL && !slices.ContainsFunc(client.idle[key], (*conn).usable)
	client.mu.Unlock()
	if !needed {
		return
	}
	spare, err := client.dial(ctx, target.Address)
	if err != nil {
		return
	}
	spare.idleSince = time.Now()
	client.put(key, spare)
}
