package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/target"
)

// TestProbesOfACutOffEntryCondemnNoGroup guards against groups that go out of service
// everywhere because an entry that has lost its own links to the VMs probes them.
func TestProbesOfACutOffEntryCondemnNoGroup(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(greengageroute.EngineReport{Boot: "boot"})
	}))
	defer engine.Close()
	answering, silent := strings.TrimPrefix(engine.URL, "http://"), "127.0.0.1:1"
	tests := []struct {
		name      string
		others    []string // addresses of the other groups' members
		condemned bool
	}{
		{"the others answer", []string{answering, answering, answering, answering}, true},
		{"half of the others answer", []string{answering, answering, silent, silent}, true},
		{"nobody answers", []string{silent, silent, silent, silent}, false},
		{"one of the others answers", []string{answering, silent, silent, silent}, false},
		{"there are no others", nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var condemned []string
			entry := &Entry{targets: target.NewClient(nil, nil), counters: new(expvar.Map).Init(), health: newHealthTable(), documents: newDocuments("ne")}
			entry.probeResults = greengageroute.NewProbeResults(func(result greengageroute.ProbeResult) { condemned = append(condemned, result.Group) })
			failed := greengageroute.Group{Name: "failed", Generation: 1, Members: []greengageroute.Member{{VM: "vm-0", Address: silent, Boot: "boot"}}}
			groups := []greengageroute.Group{failed}
			for i, address := range test.others {
				groups = append(groups, greengageroute.Group{
					Name: fmt.Sprint("group-", i), Generation: 1, Members: []greengageroute.Member{{VM: fmt.Sprint("vm-", i+1), Address: address, Boot: "boot"}},
				})
			}
			entry.documents.fleet.Store(&greengageroute.Fleet{DataCentre: "ne", Revision: 1, Groups: groups})
			entry.probeGroup(context.Background(), failed)
			if got := len(condemned) > 0; got != test.condemned {
				t.Errorf("the group is reported as unhealthy: %v, want %v", got, test.condemned)
			}
		})
	}
}
