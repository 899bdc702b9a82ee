package greengageroute

import (
	"strings"
	"time"
)

// Kinds of requests, by whether they may be retried.
const (
	Idempotent    RequestKind = "idempotent"
	NonIdempotent RequestKind = "non-idempotent"
	Streaming     RequestKind = "streaming"
)

type (
	// RequestKind says whether and how a request may be retried.
	RequestKind string

	// RouteTable is one version of the operator's configuration of routes.
	RouteTable struct {
		Version     uint64
		Pools       map[string]Pool
		Limits      CallerLimits
		hosts       map[string][]Route // in descending order of the prefix length
		keyOwners   map[string]KeyOwner
		requiresKey bool
		ranks       map[string][]int // of streams by pool, the most urgent first
		ranked      Set[string]      // see RanksStreams
	}

	// Route maps requests of a host and path prefix to pools.
	Route struct {
		Name             string
		Host             string
		Prefix           string
		Kind             RequestKind
		Timeout          time.Duration
		LatencyObjective time.Duration // response time up to which an answer is on time
		GapObjective     time.Duration // inter-event gap up to which a stream is on time
		Priority         int           // 0 is served first
		Attempts         int           // maximum of targets that a request is sent to
		Public           bool          // needs no key
		Resumable        bool          // a stream may be resumed at another target
		Pools            []PoolShare
		AllowedRegions   AllowedRegions
	}

	// PoolShare is a pool's part of a route's requests.
	PoolShare struct {
		Pool   string
		Weight int
	}

	// Pool is the configuration of a service's targets.
	Pool struct {
		Name           string
		HealthPath     string
		MaxConnections int // per target, from all callers together
		// ColdTime is how long a target is cold after its start, and ColdPerSecond the rate of
		// requests that a cold one takes from all entries together; 0: any.
		ColdTime      time.Duration
		ColdPerSecond float64
		Engine        *Engine
	}

	// CallerLimits bound what a caller may send.
	CallerLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// KeyOwner is the owner of a key.
	KeyOwner struct {
		Name        string
		Priority    int // overrides the route's if HasPriority is set
		HasPriority bool
		// AllowedRegions limits those of the routes.
		AllowedRegions AllowedRegions
	}
)

// NewRouteTable returns the table of the given routes, pools and keys.
func NewRouteTable(version uint64, routes []Route, pools map[string]Pool, keyOwners map[string]KeyOwner, limits CallerLimits, requiresKey bool) *RouteTable {
	table := &RouteTable{Version: version, Pools: pools, Limits: limits, hosts: map[string][]Route{}, keyOwners: keyOwners, requiresKey: requiresKey}
	for _, route := range routes {
		table.hosts[route.Host] = insertByPrefix(table.hosts[route.Host], route)
	}
	table.ranks, table.ranked = streamRanks(routes, keyOwners), rankedPools(routes)
	return table
}

func insertByPrefix(routes []Route, route Route) []Route {
	index := len(routes)
	for index > 0 && len(routes[index-1].Prefix) < len(route.Prefix) {
		index--
	}
	routes = append(routes, Route{})
	copy(routes[index+1:], routes[index:])
	routes[index] = route
	return routes
}

// Match returns the host's route with the longest prefix of the path.
func (table *RouteTable) Match(host, path string) (Route, bool) {
	for _, route := range table.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// KeyOwner returns the owner of a key.
func (table *RouteTable) KeyOwner(key string) (KeyOwner, bool) {
	owner, found := table.keyOwners[key]
	return owner, found
}

// RequiresKey reports whether requests need a key.
func (table *RouteTable) RequiresKey() bool { return table.requiresKey }

// PickPool returns the pool of a request, chosen by the weights of the route, or "" if no
// pool has a share of its requests. draw is a random number of at least 0 and below 1.
func (route Route) PickPool(draw float64) string {
	total := 0
	for _, share := range route.Pools {
		total += share.Weight
	}
	remainder := draw * float64(total)
	for _, share := range route.Pools {
		remainder -= float64(share.Weight)
		if remainder < 0 {
			return share.Pool
		}
	}
	return ""
}

// Retryable reports whether a request may be sent again from its start.
func (route Route) Retryable() bool { return route.Kind == Idempotent }
