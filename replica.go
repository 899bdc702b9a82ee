package greengageroute

import (
	"cmp"
	"slices"
	"strings"
)

type (
	// Replica is one copy of a model across several targets of a pool.
	Replica struct {
		Name    string
		Epoch   uint64 // grows with every change of its members
		Model   string
		Pool    string
		Members []Target // by rank; the head first
	}

	// ReplicaKey names a replica with one list of members.
	ReplicaKey struct {
		Name  string
		Epoch uint64
	}
)

// Key returns the replica's name and epoch.
func (replica Replica) Key() ReplicaKey { return ReplicaKey{replica.Name, replica.Epoch} }

// Head returns the member that requests are sent to.
func (replica Replica) Head() Target { return replica.Members[0] }

// IsOpen tells whether the replica may take requests: the head serves, and every
// member has formed under the same name and epoch.
func (replica Replica) IsOpen(size int) bool {
	if len(replica.Members) != size || replica.Head().Membership.State != MemberOpen {
		return false
	}
	for _, member := range replica.Members {
		if member.State != TargetReady && member.State != TargetLeaving || !member.Membership.Formed() {
			return false
		}
	}
	return true
}

// AssembleReplicas puts the replicas together from what the targets of a pool say of
// their memberships. A replica whose ranks have a gap or stand twice is left
// out of the first list and its members are in the second, with those of
// targets that are in no replica.
func AssembleReplicas(targets []Target) (complete []Replica, rest []Target) {
	byKey := map[ReplicaKey][]Target{}
	for _, target := range targets {
		if target.Membership.Replica == "" {
			rest = append(rest, target)
			continue
		}
		key := ReplicaKey{target.Membership.Replica, target.Membership.Epoch}
		byKey[key] = append(byKey[key], target)
	}
	for key, members := range byKey {
		slices.SortFunc(members, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.Membership.Rank, b.Membership.Rank), strings.Compare(a.ID, b.ID))
		})
		if !consecutive(members) {
			rest = append(rest, members...)
			continue
		}
		complete = append(complete, Replica{
			Name: key.Name, Epoch: key.Epoch, Model: members[0].Membership.Model, Pool: members[0].Pool, Members: members,
		})
	}
	slices.SortFunc(complete, func(a, b Replica) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
	slices.SortFunc(rest, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return complete, rest
}

func consecutive(members []Target) bool {
	for rank, member := range members {
		if member.Membership.Rank != rank {
			return false
		}
	}
	return true
}
