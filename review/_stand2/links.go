package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

type (
	// links are one entry's own links to all runners. The entry reads the runners' addresses
	// from a view of the store that has those of the links.
	links struct {
		store http.Handler

		mu    sync.Mutex
		cut   bool
		byEnd map[string]*link // by the runner's address
	}

	// link forwards channels to a runner.
	link struct {
		links    *links
		listener net.Listener
		end      string
		channels map[net.Conn]struct{} // guarded by the links' mu
	}
)

func newLinks(store http.Handler) *links {
	return &links{store: store, byEnd: map[string]*link{}}
}

// ServeHTTP implements http.Handler.
func (links *links) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.FormValue("table") != "servers" {
		links.store.ServeHTTP(writer, request)
		return
	}
	recorder := httptest.NewRecorder()
	links.store.ServeHTTP(recorder, request)
	for name, values := range recorder.Header() {
		writer.Header()[name] = values
	}
	writer.Header().Del("Content-Length")
	writer.WriteHeader(recorder.Code)
	var body map[string]any
	var rows struct{ Rows []struct{ Value []byte } }
	if json.Unmarshal(recorder.Body.Bytes(), &body) != nil || json.Unmarshal(recorder.Body.Bytes(), &rows) != nil {
		_, _ = writer.Write(recorder.Body.Bytes())
		return
	}
	for i, row := range rows.Rows {
		var runner map[string]any
		if json.Unmarshal(row.Value, &runner) != nil {
			continue
		}
		if address, ok := runner["address"].(string); ok {
			runner["address"] = links.address(address)
		}
		value, _ := json.Marshal(runner) // decoded above
		body["rows"].([]any)[i].(map[string]any)["value"] = value
	}
	_ = json.NewEncoder(writer).Encode(body) // an error means that the entry has left
}

// address returns the address of the link to a runner.
func (links *links) address(end string) string {
	links.mu.Lock()
	defer links.mu.Unlock()
	if known := links.byEnd[end]; known != nil {
		return known.listener.Addr().String()
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return end
	}
	added := &link{links: links, listener: listener, end: end, channels: map[net.Conn]struct{}{}}
	links.byEnd[end] = added
	go added.accept()
	return listener.Addr().String()
}

// setCut cuts all links, which resets their channels, or mends them.
func (links *links) setCut(cut bool) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.cut = cut
	for _, link := range links.byEnd {
		for channel := range link.channels {
			reset(channel)
		}
	}
}

func reset(channel net.Conn) {
	_ = channel.(*net.TCPConn).SetLinger(0) // fails on a closed channel, as the next line
	_ = channel.Close()
}

func (link *link) accept() {
	for {
		near, err := link.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", link.end)
		link.links.mu.Lock()
		if link.links.cut || err != nil {
			link.links.mu.Unlock()
			reset(near)
			if err == nil {
				reset(far)
			}
			continue
		}
		link.channels[near], link.channels[far] = struct{}{}, struct{}{}
		link.links.mu.Unlock()
		go link.forward(near, far)
	}
}

func (link *link) forward(near, far net.Conn) {
	var both sync.WaitGroup
	both.Go(func() { copyAndClose(near, far) })
	both.Go(func() { copyAndClose(far, near) })
	both.Wait()
	link.links.mu.Lock()
	defer link.links.mu.Unlock()
	delete(link.channels, near)
	delete(link.channels, far)
	_ = near.Close() // also after a reset, as the next line
	_ = far.Close()
}

// copyAndClose forwards one direction, and its end.
func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from) // ends with either channel
	_ = to.(*net.TCPConn).CloseWrite()
}
