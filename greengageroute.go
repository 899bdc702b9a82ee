// Package greengageroute holds the domain types of the serving system and the
// decisions that need nothing but their data: which configuration is valid,
// which VM belongs to which group, whether a lease still holds, which group a
// request goes to.
package greengageroute
