package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryLimitMB = 206
	// fieldClients is how many clients send a large body with a long head.
	fieldClients = 600
	headBytes    = 15_000
	largeBody    = 60_000
)

// manyFields has clients that nobody controls send large bodies of legal size which stop just
// short of their end. Their heads are of legal size too, and consist of many short fields.
func manyFields(world *world) (broken bool, err error) {
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
	outcome, _ := tryOnce(entry.callers, "before")
	world.record.printf("before: an ordinary request: %s; memory %s", outcome, memoryOf(entry.command.Process.Pid))
	fields, count := manyShortFields(), fieldClients
	if os.Getenv("PLAIN_HEADS") == "1" {
		fields = ""
	}
	if !world.trouble {
		count = 0
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var ended atomic.Int64
	for client := range count {
		clients.Go(func() {
			if line := sendWithFields(entry.callers, client, fields, stop); line != "" {
				ended.Add(1)
				world.record.printf("client %d: ended: %q", client, line)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	world.record.printf("%d clients sent heads of %d bytes and bodies of %d bytes, of which one is missing", count, len(fields)+200, largeBody)
	peak := 0
	for range 10 {
		time.Sleep(500 * time.Millisecond)
		select {
		case <-entry.exited:
			world.record.printf("the entry ended by itself")
			broken = true
		default:
		}
		peak = max(peak, peakMB(entry.command.Process.Pid))
		world.record.printf("memory of the entry: %s", memoryOf(entry.command.Process.Pid))
	}
	close(stop)
	clients.Wait()
	outcome, _ = tryOnce(entry.callers, "after")
	world.record.printf("after: an ordinary request: %s; %d clients were ended by the entry", outcome, ended.Load())
	world.record.printf("peak memory of the entry: %d MB of %d", peak, memoryLimitMB)
	fmt.Printf("peak memory of the entry: %d MB of %d\n", peak, memoryLimitMB)
	return broken || peak > memoryLimitMB, nil
}

// manyShortFields returns headBytes bytes of header fields with different short names.
func manyShortFields() string {
	text := strings.Builder{}
	for i := 0; text.Len() < headBytes; i++ {
		text.WriteString("x" + strconv.FormatInt(int64(i), 36) + ": 1\r\n")
	}
	return text.String()
}

// sendWithFields sends a request whose body lacks its last byte, and returns what the entry
// answered before the case stopped.
func sendWithFields(address string, client int, fields string, stop <-chan struct{}) (line string) {
	conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	ended := make(chan string, 1)
	go func() {
		answer := make([]byte, 64)
		count, err := conn.Read(answer)
		ended <- fmt.Sprint(string(answer[:count]), " ", err)
	}()
	head := fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Greengageroute-Attempt-Id: s-%d\r\nX-Greengageroute-Deadline-Ms: 30000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n", client, key, largeBody, fields)
	_, _ = io.WriteString(conn, head) // a failure shows in what is read
	_, _ = conn.Write(bytes.Repeat([]byte("x"), largeBody-1))
	select {
	case <-stop:
		return ""
	case line = <-ended:
		return line
	}
}

// peakMB returns the peak of a process's resident memory in MB.
func peakMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has ended, which the case sees
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kilobytes >> 10
		}
	}
	return 0
}
