package greengageroute

import (
	"errors"
	"math"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of the limits of a VM.
const (
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
)

type (
	// Deployment is the configuration that an entry is started with on the platform.
	Deployment struct {
		Name       string
		DataCentre string
		// Regions are those of the data centres that the settings name.
		Regions DataCentreRegions
		IP      string
		// CallerAddress is where callers connect, ReadyAddress where the load
		// balancer's health check connects.
		CallerAddress string
		ReadyAddress  string
		// PeerPort is the UDP port for messages from other entries; it is the same on
		// all VMs.
		PeerPort     int
		StoreAddress string
		Limits       VMLimits
		Bounds       Bounds
		FirstStart   bool // the whole system starts for the first time
		// Digest identifies the text of the settings, so that operators can tell which
		// entries follow which settings.
		Digest string
	}

	// VMLimits are the resources of the entry's VM.
	VMLimits struct {
		CPUShare float64
		MemoryMB int
		LinkMbps float64
		// FileDescriptors is how many files the process may have open; 0 for the default.
		FileDescriptors int
	}

	// Bounds are the durations and ratios that the operator requires of the system.
	Bounds struct {
		HeartbeatInterval time.Duration // between two reports of a target to the platform's list
		DrainTimeout      time.Duration // after which a leaving target receives no more work
		TerminationGrace  time.Duration // between SIGTERM and SIGKILL
		RevocationTime    time.Duration // after which a revoked key is accepted nowhere
		EvacuationTime    time.Duration // after which an evacuated data centre receives no more requests
		RetryRatio        float64       // retries per request, over all entries
		RetryWindow       time.Duration
		RetryExtra        float64 // additional retries in a window, over all entries
		StallTimeout      time.Duration
		StableWindow      time.Duration
		// A cold target may get ColdOvershoot times its rate and ColdSlack requests in any
		// second. Both are the margin for what entries don't know of each other; 0 if unset.
		ColdOvershoot float64
		ColdSlack     float64
	}
)

// memoryMB returns the memory, or the default where none is set.
func (limits VMLimits) memoryMB() int {
	if limits.MemoryMB <= 0 {
		return defaultMemoryMB
	}
	return limits.MemoryMB
}

// fileDescriptors returns the number of files, or the default where none is set.
func (limits VMLimits) fileDescriptors() int {
	if limits.FileDescriptors <= 0 {
		return defaultDescriptors
	}
	return limits.FileDescriptors
}

// Validate returns an error that names every setting with which an entry can't run.
func (deployment Deployment) Validate() error {
	var errs []error
	positive := func(name string, value float64) {
		if !(value > 0) || math.IsInf(value, 0) {
			errs = append(errs, trace.BadParameter("the %s is %v; it must be above zero", name, value))
		}
	}
	positive("CPU share", deployment.Limits.CPUShare)
	positive("memory limit in MB", float64(deployment.Limits.MemoryMB))
	positive("heartbeat interval", deployment.Bounds.HeartbeatInterval.Seconds())
	positive("termination grace period", deployment.Bounds.TerminationGrace.Seconds())
	positive("revocation time", deployment.Bounds.RevocationTime.Seconds())
	positive("evacuation time", deployment.Bounds.EvacuationTime.Seconds())
	positive("retry window", deployment.Bounds.RetryWindow.Seconds())
	if !(deployment.Bounds.RetryRatio >= 0) || !(deployment.Bounds.RetryExtra >= 0) {
		errs = append(errs, trace.BadParameter("the retry budget is %v of the requests and %v; neither may be negative", deployment.Bounds.RetryRatio, deployment.Bounds.RetryExtra))
	}
	if !(deployment.Bounds.ColdOvershoot >= 0) || !(deployment.Bounds.ColdSlack >= 0) {
		errs = append(errs, trace.BadParameter("the bound of cold targets is %v times their rate and %v; neither may be negative", deployment.Bounds.ColdOvershoot, deployment.Bounds.ColdSlack))
	}
	return errors.Join(errs...)
}
