package main

import "time"

// The bounds and limits that the sheets of the small deployments state.
const (
	revokeTime      = 5 * time.Second
	stallTime       = 6 * time.Second
	memoryMB        = 206
	fileDescriptors = 2940
	idleLimit       = 15 * time.Second // idle_timeout_ms of the config
	maxBodyBytes    = 4_194_304        // max_body_bytes of the config
	runnerSlots     = 6
	heartbeat       = 1200 * time.Millisecond
)

const (
	host    = "shop.example"
	ledger  = "rental-ledger"
	pool    = "counter-llm"
	theKey  = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	other   = "doru112"
	another = "q9wf0nn2mslc7pal2uru"
)

// putConfig writes the operator's config as the pages show it.
func (world *world) putConfig(version int, routes, services []any, tenants any) {
	world.store.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds(),
		},
	})
	world.record("the operator's config %d is in the store", version)
}

// route returns a route of the ledger.
func route(name, prefix, kind string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 100,
		"priority": 1, "service": ledger, "attempts": attempts, "public": false,
	}
}

func ledgerService() map[string]any {
	return map[string]any{"name": ledger, "health_path": "/health", "max_connections": 208, "protocol": "h1", "tls": false}
}

func tenantWith(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys}
}
