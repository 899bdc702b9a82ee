package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	stableWindow = 3 * time.Second
	// slowClients is how many clients send bodies piece by piece.
	slowClients = 700
	bodyBytes   = 60_000
	pieceBytes  = 3_200
	pieceEvery  = 500 * time.Millisecond
	requesters  = 10
)

// attempt is one try of an ordinary requester on a new channel.
type attempt struct {
	requester int
	at        time.Time
	taken     bool // anything was answered
}

// slowBodies has clients that nobody controls send legal bodies piece by piece, and ordinary
// requesters that open new channels meanwhile.
func slowBodies(world *world) (broken bool, err error) {
	world.putConfig(3, 2)
	for i := range 3 {
		if err := world.startTarget(fmt.Sprint("i-desk-", i), "desk"); err != nil {
			return false, err
		}
	}
	go world.beat()
	entry, err := world.startEntry("frontend-1", "a", world.address)
	if err != nil {
		return false, err
	}
	if err := world.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)

	var mu sync.Mutex
	var attempts []attempt
	notReady := []time.Time{}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for requester := range requesters {
		running.Go(func() {
			for i := 0; ; i++ {
				at := time.Now()
				outcome, taken := tryOnce(entry.callers, fmt.Sprintf("o-%d-%d", requester, i))
				world.record.printf("requester %d: sent GET /get/x on a new channel: %s", requester, outcome)
				mu.Lock()
				attempts = append(attempts, attempt{requester, at, taken})
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
	running.Go(func() {
		for {
			if !entry.isReady() {
				world.record.printf("GET /ready: not 200")
				mu.Lock()
				notReady = append(notReady, time.Now())
				mu.Unlock()
			}
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	})
	time.Sleep(4 * time.Second)
	began := time.Now()
	if world.trouble {
		var slow sync.WaitGroup
		for client := range slowClients {
			slow.Go(func() { sendSlowly(world, entry.callers, client, stop) })
			time.Sleep(time.Millisecond)
		}
		world.record.printf("%d clients send bodies of %d bytes in pieces of %d each %v", slowClients, bodyBytes, pieceBytes, pieceEvery)
		running.Go(slow.Wait)
	}
	for time.Since(began) < 25*time.Second {
		time.Sleep(time.Second)
		world.record.printf("memory of the entry: %s", memoryOf(entry.command.Process.Pid))
	}
	close(stop)
	running.Wait()
	select {
	case <-entry.exited:
		world.record.printf("the entry ended by itself")
		return true, nil
	default:
	}
	longest, tried := longestWithout(attempts, notReady)
	world.record.printf("longest time in which the entry said that it was ready and took no new channel: %v, while %d requesters tried", longest, tried)
	fmt.Printf("longest time without a new channel taken: %v (%d requesters tried)\n", longest, tried)
	return longest >= stableWindow && tried >= 7, nil
}

// longestWithout returns the longest time between two tries that were taken, or until a health
// check failed, and how many requesters tried in it.
func longestWithout(attempts []attempt, notReady []time.Time) (longest time.Duration, tried int) {
	slices.SortFunc(attempts, func(a, b attempt) int { return a.at.Compare(b.at) })
	start := -1
	var from time.Time
	seen := map[int]bool{}
	for i, try := range attempts {
		unready := slices.ContainsFunc(notReady, func(at time.Time) bool { return start >= 0 && at.After(from) && at.Before(try.at) })
		if try.taken || unready {
			start = -1
			clear(seen)
			continue
		}
		if start < 0 {
			start, from = i, try.at
		}
		seen[try.requester] = true
		if span := try.at.Sub(from); span > longest {
			longest, tried = span, len(seen)
		}
	}
	return longest, tried
}

// tryOnce sends one request on a new channel, which may take a second to be established.
func tryOnce(address, id string) (outcome string, taken bool) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "no channel: " + err.Error(), false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second)) // an idempotent request is given up if it isn't read in a second
	text := "GET /get/x HTTP/1.1\r\nHost: h.example\r\nX-Greengageroute-Attempt-Id: " + id + "\r\nX-Greengageroute-Deadline-Ms: 1000\r\nAuthorization: Bearer " + key + "\r\n\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		return "channel closed: " + err.Error(), false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer: " + err.Error(), false
	}
	defer response.Body.Close()
	return response.Status, true
}

// sendSlowly sends a legal body in pieces, stops just short of its end, and stays open.
func sendSlowly(world *world, address string, client int, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
	if err != nil {
		world.record.printf("slow client %d: no channel: %v", client, err)
		return
	}
	defer conn.Close()
	ended := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		ended <- strings.TrimSpace(line)
	}()
	head := fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Greengageroute-Attempt-Id: s-%d\r\nX-Greengageroute-Deadline-Ms: 30000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", client, key, bodyBytes)
	_, _ = io.WriteString(conn, head) // a failure shows below
	sent := 0
	for {
		if piece := min(pieceBytes, bodyBytes-1-sent); piece > 0 {
			_, _ = conn.Write(bytes.Repeat([]byte("x"), piece))
			sent += piece
		}
		select {
		case <-stop:
			return
		case line := <-ended:
			world.record.printf("slow client %d: ended after %d bytes: %q", client, sent, line)
			return
		case <-time.After(pieceEvery):
		}
	}
}

// memoryOf returns the resident memory of a process, and its peak.
func memoryOf(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	var found []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmRSS:") || strings.HasPrefix(line, "VmHWM:") {
			found = append(found, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(found, ", ")
}
