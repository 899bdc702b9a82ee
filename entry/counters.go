package entry

// Counters of an entry besides the caller's; docs/OPERATIONS.md lists them.
const (
	CountConfigAdopted  = "config-adopted"
	CountFleetAdopted   = "fleet-adopted"
	CountPlatformFailed = "platform-failed"
	CountFetchFailed    = "peer-fetch-failed"
	CountNews           = "peer-news"
	CountNewsFailed     = "peer-news-failed"
	CountPeerDropped    = "peer-messages-dropped"
	CountGroupsLost     = "groups-lost"
	CountProbes         = "probes"
	CountOrders         = "orders"
	CountOrdersFailed   = "orders-failed"
	CountTaken          = "vms-taken"
	CountGivenBack      = "vms-given-back"
	CountSupplyRefused  = "supply-refused"
	CountCallersGone    = "callers-gone"
	CountForwardRefused = "forward-refused-" // followed by the code
	CountRefused        = "refused-"         // followed by the class
)
