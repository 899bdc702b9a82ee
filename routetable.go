package greengageroute

import (
	"strings"
	"time"
)

// Kinds of requests, by what may be repeated.
const (
	Idempotent    RequestKind = "idempotent"
	NonIdempotent RequestKind = "non-idempotent"
	Streaming     RequestKind = "streaming"
)

type (
	// RequestKind says whether a request may run more than once.
	RequestKind string

	// RouteTable is one version of what the operator configured.
	RouteTable struct {
		Version     uint64
		Pools       map[string]Pool
		Limits      CallerLimits
		hosts       map[string][]Route // by descending length of prefix
		keyOwners   map[string]KeyOwner
		requiresKey bool
	}

	// Route says which requests go where.
	Route struct {
		Name             string
		Host             string
		Prefix           string
		Kind             RequestKind
		Timeout          time.Duration
		LatencyObjective time.Duration // within which an answer is on time
		GapObjective     time.Duration // longest pause between events of an answer on time
		Priority         int           // 0 is first
		Attempts         int           // targets that one request may be sent to
		Public           bool          // needs no key
		Resumable        bool          // a stream may go on at another target
		Pools            []PoolShare
	}

	// PoolShare is a pool's part of a route's requests.
	PoolShare struct {
		Pool   string
		Weight int
	}

	// Pool is a service's targets as the operator configured them.
	Pool struct {
		Name           string
		HealthPath     string
		MaxConnections int // of a target, from all callers together
		Engine         *Engine
	}

	// CallerLimits bound what a caller may send.
	CallerLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// KeyOwner is who a key belongs to.
	KeyOwner struct {
		Name        string
		Priority    int // goes before the route's
		HasPriority bool
	}
)

// NewRouteTable returns the table of the given routes, pools and keys.
func NewRouteTable(version uint64, routes []Route, pools map[string]Pool, keyOwners map[string]KeyOwner, limits CallerLimits, requiresKey bool) *RouteTable {
	table := &RouteTable{Version: version, Pools: pools, Limits: limits, hosts: map[string][]Route{}, keyOwners: keyOwners, requiresKey: requiresKey}
	for _, route := range routes {
		table.hosts[route.Host] = insertByPrefix(table.hosts[route.Host], route)
	}
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

// KeyOwner returns who holds a key.
func (table *RouteTable) KeyOwner(key string) (KeyOwner, bool) {
	owner, found := table.keyOwners[key]
	return owner, found
}

// RequiresKey tells whether requests need a key.
func (table *RouteTable) RequiresKey() bool { return table.requiresKey }

// PickPool returns the pool of a request, by the weights of the route. The draw
// is at least 0 and below 1.
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
	if len(route.Pools) == 0 {
		return ""
	}
	return route.Pools[len(route.Pools)-1].Pool
}

// Retryable tells whether the request may run a second time from its start.
func (route Route) Retryable() bool { return route.Kind == Idempotent }
