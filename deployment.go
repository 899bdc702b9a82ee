package greengageroute

import "time"

type (
	// Deployment is the configuration that an entry is started with on the platform.
	Deployment struct {
		Name       string
		DataCentre string
		IP         string
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
	}

	// VMLimits are the resources of the entry's VM.
	VMLimits struct {
		CPUShare float64
		MemoryMB int
		LinkMbps float64
	}

	// Bounds are the durations and ratios that the operator requires of the system.
	Bounds struct {
		HeartbeatInterval time.Duration // between two reports of a target to the platform's list
		DrainTimeout      time.Duration // after which a leaving target receives no more work
		TerminationGrace  time.Duration // between SIGTERM and SIGKILL
		RevocationTime    time.Duration // after which a revoked key is accepted nowhere
		RetryRatio        float64       // retries per request, over all entries
		RetryWindow       time.Duration
		RetryExtra        float64 // additional retries in a window, over all entries
		StallTimeout      time.Duration
		StableWindow      time.Duration
	}
)
