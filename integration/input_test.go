package integration

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// TestBadInput sends malformed input to every listener of an entry: each input gets
// an error that says what is wrong or is dropped, and the entry goes on serving.
func TestBadInput(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: 2, vmsPerGroup: 2, groups: 1, services: 1, tokenInterval: time.Millisecond})
	entry := cluster.entries[0]
	for _, test := range []struct {
		name     string
		method   string
		path     string
		header   map[string]string
		body     string
		want     int
		wantText string
	}{
		{"no key", "POST", "/v1/chat/completions", nil, "{}", 401, "Authorization: Bearer KEY"},
		{"wrong key", "POST", "/v1/chat/completions", map[string]string{"Authorization": "Bearer wrong"}, "{}", 401, "not known"},
		{"basic authorization", "POST", "/v1/chat/completions", map[string]string{"Authorization": "Basic xyz"}, "{}", 401, "correct it"},
		{"body is not JSON", "POST", "/v1/chat/completions", bearer(counterKey), "{", 400, "correct it"},
		{"no model", "POST", "/v1/chat/completions", bearer(counterKey), "{}", 400, "messages"},
		{"unknown model", "POST", "/v1/chat/completions", bearer(counterKey), `{"model":"x","messages":[{}]}`, 404, "declare it"},
		{"too many tokens", "POST", "/v1/chat/completions", bearer(counterKey), `{"model":"trail-70b","max_tokens":99999999,"messages":[{}]}`, 400, "out of range"},
		{"forged event id", "POST", "/v1/chat/completions", withHeader(bearer(counterKey), "Last-Event-ID", strings.Repeat("A", 80)), chatRequest{content: "x", tokens: 1}.body(), 400, "not made by this system"},
		{"service not allowed", "POST", "/services/ledger/deposits", bearer(lettersKey), "x", 403, "may not use"},
		{"unknown service", "POST", "/services/other/x", bearer(counterKey), "x", 404, "declare it"},
		{"action without a key", "POST", "/services/ledger/deposits", bearer(counterKey), "x", 400, "Idempotency-Key"},
		{"action with an invalid key", "POST", "/services/ledger/deposits", withHeader(bearer(counterKey), "Idempotency-Key", "a key"), "x", 400, "Idempotency-Key"},
		{"unknown action", "GET", "/actions/none", bearer(counterKey), "", 404, "no action"},
		{"workspace key for administration", "GET", "/admin/status", bearer(counterKey), "", 401, "token"},
		{"counters without a token", "GET", "/debug/vars", nil, "", 401, "Authorization: Bearer KEY"},
		{"apply is not JSON", "PUT", "/admin/files/x", bearer(operatorToken), "{", 400, "correct the request"},
		{"drain of an unknown kind", "POST", "/admin/drains", bearer(operatorToken), `{"kind":"rack","name":"x"}`, 400, "kind"},
		{"header is too long", "GET", "/health", map[string]string{"X-Long": strings.Repeat("x", 64<<10)}, "", 431, ""},
	} {
		request, _ := http.NewRequest(test.method, "http://"+entry.listen+test.path, strings.NewReader(test.body))
		for name, value := range test.header {
			request.Header.Set(name, value)
		}
		response := fetchOutcome(request)
		if response.err != nil || response.status != test.want || !strings.Contains(response.body, test.wantText) {
			t.Errorf("%s: got status %d, body %q (%v), want status %d and %q", test.name, response.status, response.body, response.err, test.want, test.wantText)
		}
	}
	cluster.sendMalformedStreams(entry)
	if reply := chat(context.Background(), entry.listen, chatRequest{content: "after all", seed: 1, tokens: 5}, nil); !reply.complete {
		t.Errorf("the entry does not serve after malformed input: %+v", reply)
	}
}

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

func withHeader(header map[string]string, name, value string) map[string]string {
	header[name] = value
	return header
}

// sendMalformedStreams sends random datagrams to the socket for other entries and a
// truncated body, and holds connections open that never complete a header.
func (cluster *cluster) sendMalformedStreams(entry *clusterEntry) {
	t := cluster.t
	socket, err := net.Dial("udp", entry.peerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	random := rand.New(rand.NewPCG(1, 9))
	for range 500 {
		garbage := make([]byte, 1+random.IntN(1300))
		for i := range garbage {
			garbage[i] = byte(random.Uint32())
		}
		_, _ = socket.Write(garbage)
	}
	for range 20 {
		idle, err := net.Dial("tcp", entry.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		fmt.Fprintf(idle, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
	}
	truncated, err := net.Dial("tcp", entry.listen)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(truncated, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n{", counterKey)
	_ = truncated.(*net.TCPConn).CloseWrite()
	statusLine, err := bufio.NewReader(truncated).ReadString('\n')
	_ = truncated.Close()
	if err != nil || !strings.Contains(statusLine, "400") {
		t.Errorf("a truncated body got %q (%v), want status 400", statusLine, err)
	}
}

// TestTeamAppliesOnlyItsFiles checks that a team's token can apply only files that
// match the team's pattern.
func TestTeamAppliesOnlyItsFiles(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 1, engines: 0, vmsPerGroup: 1, groups: 0})
	token := "bakery-token"
	cluster.apply("teams", fmt.Sprintf("teams:\n  - {name: bakery, token-hash: %s, files: [\"bakery-*\"], scopes: [read, apply]}\n", greengageroute.HashKey(token)))
	for _, test := range []struct {
		args []string
		want int
	}{
		{[]string{"apply", cluster.writeConfig("bakery-classes", classConfig("letters-2", 5))}, 0},
		{[]string{"apply", cluster.writeConfig("other", classConfig("other", 5))}, 6},
		{[]string{"drain", "group", "g-0"}, 6},
		{[]string{"status"}, 0},
		{[]string{"status", "--output", "table"}, 2},
		{[]string{"status", "--unknown"}, 2},
	} {
		output, err := cluster.tryCommandAs(token, append(test.args, "--entry", cluster.entries[0].listen)...)
		if exitCode(err) != test.want {
			t.Errorf("%s: exit code %d, want %d\n%s", test.args, exitCode(err), test.want, output)
		}
	}
	if output, err := cluster.tryCommandAs("wrong", "status", "--entry", cluster.entries[0].listen); exitCode(err) != 6 {
		t.Errorf("an unknown token got exit code %d, want 6\n%s", exitCode(err), output)
	}
}

// TestEntryOfAnotherAuthorityCannotJoin starts an entry whose keys are signed by
// another certificate authority; others must not list the entry as alive.
func TestEntryOfAnotherAuthorityCannotJoin(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 0, vmsPerGroup: 1, groups: 0})
	untrusted := cluster.entries[1]
	untrusted.kill()
	keyDirectory := t.TempDir()
	cluster.runCommand("keys", "--directory", keyDirectory, untrusted.name)
	settings := strings.ReplaceAll(readFile(t, untrusted.args[len(untrusted.args)-1]), cluster.dir+"/", keyDirectory+"/")
	writeFile(t, untrusted.args[len(untrusted.args)-1], settings)
	untrusted.start(t)
	time.Sleep(3 * time.Second)
	found, err := cluster.status(cluster.entries[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range found.Entries {
		if entry.Name == untrusted.name && entry.State == "alive" {
			t.Error("an entry with keys of another authority is listed as alive")
		}
	}
}
