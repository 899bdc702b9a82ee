package greengageroute

import "time"

type (
	// Deployment is what an entry on the users' platform is started with.
	Deployment struct {
		Name       string
		DataCentre string
		IP         string
		// CallerAddress and ReadyAddress are where callers and the balancer's
		// health check connect.
		CallerAddress string
		ReadyAddress  string
		// PeerPort is the UDP port for the other entries; it is the same on all VMs.
		PeerPort     int
		StoreAddress string
		Limits       VMLimits
		Bounds       Bounds
		FirstStart   bool // the whole system starts for the first time
	}

	// VMLimits are what the entry's VM has.
	VMLimits struct {
		CPUShare float64
		MemoryMB int
		LinkMbps float64
	}

	// Bounds are the times and shares that the operator holds the system to.
	Bounds struct {
		HeartbeatInterval time.Duration // between two reports of a target to the list
		DrainTimeout      time.Duration // after which a leaving target gets no more work
		TerminationGrace  time.Duration // between SIGTERM and SIGKILL
		RevocationTime    time.Duration // after which a key taken away works nowhere
		RetryRatio        float64       // repeats for each request, over all entries
		RetryWindow       time.Duration
		RetryExtra        float64 // repeats in a window on top, over all entries
		StallTimeout      time.Duration
		StableWindow      time.Duration
	}
)
