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

	// ReplicaKey identifies a replica with one list of members: the epoch changes
	// with the members.
	ReplicaKey struct {
		Name  string
		Epoch uint64
	}
)

// Key returns the replica's name and epoch.
func (replica Replica) Key() ReplicaKey { return ReplicaKey{replica.Name, replica.Epoch} }

// Head returns the member that receives the requests.
func (replica Replica) Head() Target { return replica.Members[0] }

// IsOpen reports whether the replica may receive requests: its head is open, and
// every member has formed under the same name and epoch.
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

// AssembleReplicas builds the replicas from the memberships that a pool's targets
// report. A replica with a missing or duplicate rank is left out: its members are
// returned in rest, with the targets that are in no replica.
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
