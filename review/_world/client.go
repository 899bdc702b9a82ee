package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// channel is a caller's open connection.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

// openChannel connects as callers do, who allow a second for it.
func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// send writes a request and returns the head of the answer, whose body is still to be read.
func (channel *channel) send(method, path, id, key string, deadline time.Duration, header map[string]string, body []byte) (*http.Response, error) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Greengageroute-Attempt-Id: %s\r\nX-Greengageroute-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", key)
	}
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %s\r\n", strconv.Itoa(len(body)))
	}
	text.WriteString("\r\n")
	if err := channel.SetDeadline(time.Now().Add(deadline)); err != nil {
		return nil, err
	}
	if _, err := channel.Write(text.Bytes()); err != nil {
		return nil, err
	}
	if _, err := channel.Write(body); err != nil {
		return nil, err
	}
	return http.ReadResponse(channel.reader, &http.Request{Method: method})
}

// call sends a request and reads its whole answer.
func (channel *channel) call(method, path, id, key string, deadline time.Duration, body []byte) (status int, answer []byte, err error) {
	response, err := channel.send(method, path, id, key, deadline, nil, body)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
