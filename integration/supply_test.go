package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestLostVMIsReplaced kills a VM that the platform then takes off its list, in a
// data centre whose contract allows four VMs: another VM must be taken instead.
func TestLostVMIsReplaced(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 4, vmsPerGroup: 4, groups: 1, tokenInterval: time.Millisecond})
	rentable := cluster.startEngine("ne-vm-9", "ne")
	postJSON(t, "http://"+cluster.platformAddress+"/control/idle", rentable)
	cluster.apply("policy", fmt.Sprintf("policies:\n  - {data-centre: ne, downtime-weight: 1, stranded-weight: 1, peak-vms: %d}\n", 4))
	lost := cluster.engines[3]
	lost.kill()
	postJSON(t, "http://"+cluster.platformAddress+"/supply/give-back", map[string][]string{"vms": {lost.vm.ID}})
	// Until the loss is detected, the status lists the group as serving with the
	// lost VM.
	recovery := eventually(t, startTimeout, "the group serves again without the lost VM", func() bool {
		found, err := cluster.status(cluster.entries[0])
		return err == nil && len(found.Groups) == 1 && found.Groups[0].State == "serving" &&
			!slices.Contains(found.Groups[0].VMs, lost.vm.ID)
	})
	t.Logf("serves again %s after the loss", recovery.Round(10*time.Millisecond))
	taken := 0
	for _, entry := range cluster.entries {
		taken += cluster.counter(entry, "vms-taken")
	}
	if taken != 1 {
		t.Errorf("%d VMs were taken, want 1", taken)
	}
}
