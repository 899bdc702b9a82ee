// Package greengageroute holds the domain types of the serving system and the
// decisions that depend on their data alone: which configuration is valid, which
// VM belongs to which group, whether a lease is still valid, which group a request
// is routed to.
package greengageroute
