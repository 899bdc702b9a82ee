package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/platform/standin"
)

const (
	// hostileMemoryMB is the memory of the smallest VM, which the tests set as the limit.
	hostileMemoryMB = 136
	// hostileDescriptors is the limit of open files that the tests set.
	hostileDescriptors = 500
	// reservedDescriptors are the descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// ownInterfaceMemoryMB is the memory that an entry on the product's own interface uses
	// by its default settings.
	ownInterfaceMemoryMB = 256
	// maxLegalBody is max_body_bytes of the operator's config.
	maxLegalBody = 4 << 20
	// holdTime is how long callers keep their connections open after the last one has sent
	// what it sends.
	holdTime = 2 * time.Second
	// sendTimeout bounds the time in which a caller sends what it sends.
	sendTimeout = 20 * time.Second

	sampleInterval = 50 * time.Millisecond

	// bodyStart begins a body that the operators' service reads to its end.
	bodyStart = `{"text":"`
)

type (
	// hostileCase is a crowd of callers of one pattern.
	hostileCase struct {
		name    string
		callers int
		// send sends one caller's requests on its connection. It returns when all is sent or
		// the connection is closed.
		send func(conn net.Conn, head string)
	}

	// hostileTarget is the process that the callers send to.
	hostileTarget struct {
		address        string
		pid            int
		exited         <-chan struct{}
		head           string // of a request whose body follows, without the end of the header
		memoryMB       int
		maxDescriptors int
		serves         func() bool // one ordinary request is answered
	}
)

// hostileBodies are the patterns of bodies, the same for both interfaces.
var hostileBodies = []hostileCase{
	{"whole bodies that stop short", 80, func(conn net.Conn, head string) {
		body := bytes.Repeat([]byte("x"), maxLegalBody-len(bodyStart)-1)
		sendAll(conn, []byte(head+"Content-Length: "+strconv.Itoa(maxLegalBody)+"\r\n\r\n"+bodyStart), body)
	}},
	{"bodies in pieces that stop short", 80, func(conn net.Conn, head string) {
		sendAll(conn, []byte(head+"Content-Length: "+strconv.Itoa(maxLegalBody)+"\r\n\r\n"+bodyStart))
		piece := bytes.Repeat([]byte("x"), 64<<10)
		for sent := 0; sent < maxLegalBody-len(piece) && sendAll(conn, piece); sent += len(piece) {
			time.Sleep(5 * time.Millisecond)
		}
		sendAll(conn, piece[:len(piece)-len(bodyStart)-1])
	}},
	{"large chunks that stop short", 80, func(conn net.Conn, head string) {
		sendChunks(conn, head, 256<<10, maxLegalBody-1)
	}},
	{"tiny chunks that stop short", 60, func(conn net.Conn, head string) {
		sendChunks(conn, head, 16, maxLegalBody-1)
	}},
	{"far too long, announced", 80, func(conn net.Conn, head string) {
		sendAll(conn, []byte(head+"Content-Length: 1073741824\r\n\r\n"+bodyStart))
		piece := bytes.Repeat([]byte("x"), 1<<20)
		for sent := 0; sent < 16<<20 && sendAll(conn, piece); sent += len(piece) {
			continue
		}
	}},
	{"far too long, just sent", 80, func(conn net.Conn, head string) {
		sendChunks(conn, head, 256<<10, 16<<20)
	}},
	{"headers that never end", 400, func(conn net.Conn, head string) {
		sendAll(conn, []byte(head+"X-Long: "+strings.Repeat("x", 15<<10)))
	}},
}

// sendAll writes the parts and reports whether the connection took them.
func sendAll(conn net.Conn, parts ...[]byte) bool {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return false
		}
	}
	return true
}

// sendChunks sends a chunked body without its end.
func sendChunks(conn net.Conn, head string, size, total int) {
	sendAll(conn, fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(bodyStart), bodyStart))
	chunk := []byte(fmt.Sprintf("%x\r\n", size) + strings.Repeat("x", size) + "\r\n")
	chunksPerWrite := max(64<<10/size, 1)
	batch := bytes.Repeat(chunk, chunksPerWrite)
	for sent := 0; sent+size*chunksPerWrite <= total && sendAll(conn, batch); sent += size * chunksPerWrite {
		continue
	}
}

// peakMemoryMB returns the peak of the process's resident memory.
func (target hostileTarget) peakMemoryMB(t *testing.T) float64 {
	for line := range strings.Lines(readFile(t, fmt.Sprintf("/proc/%d/status", target.pid))) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return float64(kilobytes) / 1024
		}
	}
	t.Fatal("the peak of the memory is not known")
	return 0
}

func (target hostileTarget) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.pid))
	if err != nil {
		return 0 // the process has ended, which the test checks
	}
	return len(entries)
}

// attack lets the callers of a case send at once, and checks that the process lives, stays
// within its memory and its descriptors, and answers an ordinary request.
func (target hostileTarget) attack(t *testing.T, test hostileCase) {
	var callers, sending sync.WaitGroup
	done, allSent := make(chan struct{}), make(chan struct{})
	sending.Add(test.callers)
	for range test.callers {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp4", target.address, sendTimeout)
			if err == nil {
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(sendTimeout)) // a failure shows in what is sent
				test.send(conn, target.head)
			}
			sending.Done()
			<-done
		})
	}
	go func() {
		sending.Wait()
		close(allSent)
	}()
	peakDescriptors := 0
	for hold := time.Duration(0); hold < holdTime; hold += sampleInterval {
		select {
		case <-allSent:
		default:
			hold = 0
		}
		peakDescriptors = max(peakDescriptors, target.openDescriptors())
		time.Sleep(sampleInterval)
	}
	eventually(t, startTimeout, "an ordinary request is answered beside the callers", target.serves)
	close(done)
	callers.Wait()
	select {
	case <-target.exited:
		t.Fatal("the process ended")
	default:
	}
	peakMemory := target.peakMemoryMB(t)
	t.Logf("peak memory %.0f MB of %d, open descriptors %d of %d", peakMemory, target.memoryMB, peakDescriptors, target.maxDescriptors)
	if peakMemory > float64(target.memoryMB) {
		t.Errorf("peak memory %.0f MB, want at most %d", peakMemory, target.memoryMB)
	}
	if peakDescriptors > target.maxDescriptors {
		t.Errorf("%d open descriptors, want at most %d", peakDescriptors, target.maxDescriptors)
	}
	eventually(t, startTimeout, "an ordinary request is answered", target.serves)
}

// startLimitedEntry starts an entry with the limits of a small VM.
func (deployment *deployment) startLimitedEntry(descriptors int) *entryProcess {
	entry := deployment.startEntry("entry-0")
	_ = entry.cmd.Process.Kill()
	<-entry.exited
	settings := strings.Replace(readFile(deployment.t, entry.settingsPath), "limits.memory_mb=206", fmt.Sprintf("limits.memory_mb=%d\nlimits.file_descriptors=%d", hostileMemoryMB, descriptors), 1)
	writeFile(deployment.t, entry.settingsPath, settings)
	deployment.startProcess(entry)
	deployment.entries = append(deployment.entries, entry)
	deployment.waitReady()
	return entry
}

// startHostileEntry starts an entry of the users' platform with the limits of a small VM.
func startHostileEntry(t *testing.T) (*deployment, hostileTarget) {
	deployment := newEmptyDeployment(t)
	config := platformConfig(3, "key-1")
	config["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxLegalBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	deployment.store.Put("op", "config", config)
	for i := range 2 {
		deployment.plainTargets = append(deployment.plainTargets, deployment.startTarget(fmt.Sprintf("i-plain-%d", i), "ledger", ""))
	}
	entry := deployment.startLimitedEntry(hostileDescriptors)
	return deployment, hostileTarget{
		address: entry.callerAddress, pid: entry.cmd.Process.Pid, exited: entry.exited,
		head:     "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n" + platform.HeaderAttemptID + ": hostile\r\n",
		memoryMB: hostileMemoryMB, maxDescriptors: hostileDescriptors - reservedDescriptors,
		serves: func() bool {
			status, _ := deployment.send(entry, http.MethodGet, "/get/stock", deployment.nextAttemptID(), "key-1")
			return status == http.StatusOK
		},
	}
}

// TestUsersPlatformHostileBodies guards against callers under nobody's control that end an
// entry by exhausting its memory or its descriptors.
func TestUsersPlatformHostileBodies(t *testing.T) {
	for _, test := range hostileBodies {
		t.Run(test.name, func(t *testing.T) {
			_, target := startHostileEntry(t)
			target.attack(t, test)
		})
	}
}

// TestUsersPlatformAnswersNeverRead guards against an entry that buffers answers without
// bound for callers that don't read them.
func TestUsersPlatformAnswersNeverRead(t *testing.T) {
	_, target := startHostileEntry(t)
	head := strings.Replace(target.head, "POST /post/x", "GET /get/x", 1) + standin.HeaderAnswerBytes + ": 4194304\r\n\r\n"
	target.attack(t, hostileCase{"answers never read", 80, func(conn net.Conn, _ string) { sendAll(conn, []byte(head)) }})
}

// TestLargestBodyIsServedBySmallestVM guards against a bound of memory that refuses a request
// inside the limits on an entry that is not under pressure.
func TestLargestBodyIsServedBySmallestVM(t *testing.T) {
	deployment, target := startHostileEntry(t)
	for _, chunked := range []bool{false, true} {
		body := io.Reader(bytes.NewReader(bytes.Repeat([]byte("x"), maxLegalBody)))
		if chunked {
			body = io.MultiReader(body) // of unknown length
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+target.address+"/post/x", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h"
		request.Header.Set(platform.HeaderAttemptID, deployment.nextAttemptID())
		request.Header.Set("Authorization", "Bearer key-1")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("chunked %t: status %d, want 200", chunked, response.StatusCode)
		}
	}
	if peak := target.peakMemoryMB(t); peak > hostileMemoryMB {
		t.Errorf("peak memory %.0f MB, want at most %d", peak, hostileMemoryMB)
	}
}

// TestHostileBodies guards against callers that end an entry through the product's own
// interface, whose bodies the callers' and the operators' service read.
func TestHostileBodies(t *testing.T) {
	heads := []struct {
		name, head string
		patterns   []string
	}{
		{"chat", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + counterKey + "\r\n", []string{"whole bodies that stop short", "tiny chunks that stop short", "headers that never end"}},
		{"apply", "PUT /admin/files/x HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer wrong\r\n", []string{"whole bodies that stop short", "far too long, announced", "far too long, just sent"}},
	}
	for _, head := range heads {
		for _, test := range hostileBodies {
			if !slices.Contains(head.patterns, test.name) {
				continue
			}
			t.Run(head.name+", "+test.name, func(t *testing.T) {
				cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: 0, vmsPerGroup: 1, groups: 0, services: 1})
				entry := cluster.entries[0]
				target := hostileTarget{
					address: entry.listen, pid: entry.cmd.Process.Pid, exited: entry.exited, head: head.head,
					memoryMB: ownInterfaceMemoryMB, maxDescriptors: descriptorLimit(t, entry.cmd.Process.Pid) - reservedDescriptors,
					serves: func() bool {
						request, _ := http.NewRequest(http.MethodGet, "http://"+entry.listen+"/services/ledger/stock/x", nil)
						request.Header.Set("Authorization", "Bearer "+counterKey)
						return fetchOutcome(request).status == http.StatusOK
					},
				}
				target.attack(t, test)
			})
		}
	}
}

// descriptorLimit returns how many files a process may have open.
func descriptorLimit(t *testing.T, pid int) int {
	for line := range strings.Lines(readFile(t, filepath.Join("/proc", strconv.Itoa(pid), "limits"))) {
		if text, found := strings.CutPrefix(line, "Max open files"); found {
			limit, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				t.Fatal(err)
			}
			return limit
		}
	}
	t.Fatal("the limit of open files is not known")
	return 0
}
