package serve

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// TestSettingsInForceAreShown guards against operators who can't tell which entries
// follow the old settings and which the new ones, and against a planner that goes on by the old
// ones.
func TestSettingsInForceAreShown(t *testing.T) {
	deployment := greengageroute.Deployment{
		Name: "entry", DataCentre: "a", IP: "127.0.0.1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", StoreAddress: "127.0.0.1:1",
		Limits: greengageroute.VMLimits{CPUShare: 1, MemoryMB: 200}, Digest: "first",
		Bounds: greengageroute.Bounds{RevocationTime: 5 * time.Second, RetryWindow: 10 * time.Second},
	}
	entry, err := New(t.Context(), deployment, "", io.Discard)
	for attempt := 0; err != nil && attempt < 20; attempt++ {
		// The UDP port that the system chose may be taken as a TCP port.
		entry, err = New(t.Context(), deployment, "", io.Discard)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		digest  string
		stall   time.Duration // in force afterwards
		err     error
		metrics []string
	}{
		{"valid", "second", 9 * time.Second, nil, []string{"settings-digest second\n", "settings-reloaded 1\n"}},
		{"invalid", "third", 9 * time.Second, errors.New("faulty"), []string{"settings-digest second\n", "settings-reloaded 1\n", "settings-refused 1\n"}},
		{"valid again", "fourth", 6 * time.Second, nil, []string{"settings-digest fourth\n", "settings-reloaded 2\n"}},
	} {
		changed := deployment
		changed.Digest, changed.Bounds.StallTimeout = test.digest, test.stall
		if test.err != nil {
			changed.Bounds.StallTimeout = time.Second
		}
		entry.Reload(changed, test.err)
		var text strings.Builder
		entry.writeMetrics(&text)
		if entry.planner.StallTimeout != test.stall {
			t.Errorf("%s: the planner goes by a stall time of %s, want %s", test.name, entry.planner.StallTimeout, test.stall)
		}
		for _, line := range test.metrics {
			if !strings.Contains(text.String(), line) {
				t.Errorf("%s: the metrics lack %q:\n%s", test.name, line, text.String())
			}
		}
	}
}
