package entry

// Counters of an entry, besides those of package caller; docs/OPERATIONS.md lists
// them.
const (
	CountConfigAdopted       = "config-adopted"
	CountFleetAdopted        = "fleet-adopted"
	CountPlatformFailed      = "platform-failed"
	CountFetchFailed         = "peer-fetch-failed"
	CountPushes              = "peer-news"
	CountPushesFailed        = "peer-news-failed"
	CountPeerDropped         = "peer-messages-dropped"
	CountGroupsUnhealthy     = "groups-lost"
	CountProbes              = "probes"
	CountProbesInDoubt       = "probes-in-doubt"
	CountOrders              = "orders"
	CountOrdersFailed        = "orders-failed"
	CountVMsTaken            = "vms-taken"
	CountVMsGivenBack        = "vms-given-back"
	CountSupplyRefused       = "supply-refused"
	CountTooLong             = "answers-too-long"
	CountMalformed           = "answers-malformed"
	CountCallersDisconnected = "callers-gone"
	CountForwardRefused      = "forward-refused-" // followed by the error code
	CountRefused             = "refused-"         // followed by the request class
)
