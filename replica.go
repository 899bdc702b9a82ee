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
// report. A replica with a missing rank is left out: its members are returned in rest, with
// the targets that are in no replica. Of two targets that claim one place, the one that has been
// listed for longer holds it, and the other one is in rest.
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
			return cmp.Or(cmp.Compare(a.Membership.Rank, b.Membership.Rank), comparePrecedence(a, b))
		})
		members, rest = withoutRivals(members, rest)
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

// comparePrecedence orders targets that claim one place in a replica: the holder comes first.
func comparePrecedence(a, b Target) int {
	return cmp.Or(a.ListedSince.Compare(b.ListedSince), strings.Compare(a.ID, b.ID))
}

// withoutRivals returns members sorted by rank without those that claim the place of the one
// before them. It appends these to the others.
func withoutRivals(members, others []Target) (holders, rest []Target) {
	for _, member := range members {
		if last := len(holders) - 1; last >= 0 && holders[last].Membership.Rank == member.Membership.Rank {
			others = append(others, member)
			continue
		}
		holders = append(holders, member)
	}
	return holders, others
}

func consecutive(members []Target) bool {
	for rank, member := range members {
		if member.Membership.Rank != rank {
			return false
		}
	}
	return true
}
