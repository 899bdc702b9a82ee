package control

import (
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// TestLeavingTargetsStayLeaving guards against a target that counts as ready again although
// its process still leaves, and against a later process that counts as leaving.
func TestLeavingTargetsStayLeaving(t *testing.T) {
	ready := greengageroute.Target{ID: "i-1", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 7}
	later := ready
	later.StartUnixMilli, later.Revision = 8, greengageroute.StoreRevision{Version: 9}
	tests := []struct {
		name  string
		after func(directory *Directory)
		want  greengageroute.TargetState
	}{
		{"at once", func(*Directory) {}, greengageroute.TargetLeaving},
		{"it writes its row again", func(directory *Directory) {
			directory.Apply([]greengageroute.Target{ready}, nil, time.Time{})
		}, greengageroute.TargetLeaving},
		{"listed for an hour", func(directory *Directory) {
			for range 60 {
				time.Sleep(time.Minute)
				directory.Expire()
			}
		}, greengageroute.TargetLeaving},
		{"cut off from the store for two minutes", func(directory *Directory) {
			directory.Replace(nil, time.Time{})
			time.Sleep(2 * time.Minute)
			directory.Expire()
			directory.Replace([]greengageroute.Target{ready}, time.Time{})
		}, greengageroute.TargetLeaving},
		{"its next process", func(directory *Directory) {
			directory.Apply([]greengageroute.Target{later}, nil, time.Time{})
		}, greengageroute.TargetReady},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory(greengageroute.RuntimeClock{})
				directory.Replace([]greengageroute.Target{ready}, time.Time{})
				if added := directory.MarkLeaving(ready.Instance()); len(added) != 1 {
					t.Errorf("newly marked: %v", added)
				}
				if added := directory.MarkLeaving(ready.Instance()); len(added) != 0 {
					t.Errorf("marked again: %v", added)
				}
				test.after(directory)
				if target, _ := directory.View().Target("i-1"); target.State != test.want {
					t.Errorf("the target is %s, want %s", target.State, test.want)
				}
			})
		})
	}
}

func TestLeavingTargetsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory(greengageroute.RuntimeClock{})
		directory.MarkLeaving(greengageroute.TargetInstance{ID: "i-1", StartUnixMilli: 7})
		time.Sleep(2 * leavingTTL)
		directory.Expire()
		if len(directory.leaving) > 0 {
			t.Errorf("%d targets that are gone count as leaving", len(directory.leaving))
		}
	})
}
