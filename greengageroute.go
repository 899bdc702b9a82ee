// Package greengageroute holds the domain types of the serving system and the
// decisions that depend on their data alone: which configuration is valid, which
// VM belongs to which group, whether a lease is still valid, which group a request
// is routed to.
//
// There are two kinds of entries. An entry of package entry is configured by files
// (Config), plans which VMs form each group (Fleet) and routes chat completions to
// groups (Router). An entry of package serve runs on the users' platform: it follows
// the operator's routes (RouteTable), forms replicas from the targets of a pool
// (Formation) and chooses a replica or target for each request.
package greengageroute
