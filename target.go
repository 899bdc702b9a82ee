package greengageroute

import "time"

// States of a target in the platform's list.
const (
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
	// TargetSlow is set by the planner on a ready target that reports itself slow:
	// another target should take its place in its replica, if one is available.
	TargetSlow TargetState = "slow"
)

// States of a target's membership of a replica.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open" // only the head: it receives requests
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

type (
	// TargetState says whether a target accepts new work.
	TargetState string

	// MemberState is the state of a target's membership of a replica.
	MemberState string

	// Target is one process that serves requests, as the platform's list shows it.
	Target struct {
		ID             string
		Pool           string // the service that it belongs to
		Address        string // IP:port
		DataCentre     string
		Domain         string // fabric domain; empty for plain services
		State          TargetState
		Slots          int
		StartUnixMilli int64 // start time; it changes when the target restarts
		Staged         []string
		Staging        string // model that the target is staging by order; empty once done
		Membership     Membership
		// Loaded is the model of the replica in which the target was before the one that it joins.
		// It joins one of the same model at once, whatever its host has staged.
		Loaded string
		// Revision is the revision of the list's row, so that an older reading never
		// replaces a newer one.
		Revision StoreRevision
		// Statement counts what the target has written to the list since its start; 0 if
		// unknown.
		Statement uint64
		// ListedSince is since when this entry has seen the target listed without
		// interruption.
		ListedSince time.Time
		// ColdRemaining is for how long the target was still cold when it wrote the row.
		ColdRemaining time.Duration
		// StatedAt is when this entry received the row, and ListedColdUntil when the target is warm
		// by it or for another reason. Both are readings of the directory's clock.
		StatedAt        time.Time
		ListedColdUntil time.Time
		// Unlisted means that the target is no longer listed but is a member of a
		// replica that may still be complete.
		Unlisted bool
	}

	// TargetInstance is a target from one start of its process to the next.
	TargetInstance struct {
		ID             string `cbor:"1,keyasint"`
		StartUnixMilli int64  `cbor:"2,keyasint"`
	}

	// Membership is a target's place in a replica. The zero value means none.
	Membership struct {
		Replica string
		Epoch   uint64
		Model   string
		Rank    int // 0 is the head
		State   MemberState
	}

	// TargetReport is what a target reports about itself when probed.
	TargetReport struct {
		StartUnixMilli int64
		Busy           bool // the target is carrying out an order
		Running        int
		Waiting        int
		Slowdown       float64 // measured time over the published one; above 1 is slower
		Staged         []string
		Membership     Membership
		// AcceptedOrders counts the orders that began something since the start; nil if unknown.
		AcceptedOrders *uint64
	}
)

// Instance returns the target as it is until its process ends.
func (target Target) Instance() TargetInstance {
	return TargetInstance{target.ID, target.StartUnixMilli}
}

// BelongsTo reports whether the membership is of the replica under the epoch.
func (member Membership) BelongsTo(replica string, epoch uint64) bool {
	return member.Replica == replica && member.Epoch == epoch
}

func (member Membership) key() ReplicaKey { return ReplicaKey{member.Replica, member.Epoch} }

// Formed reports whether the member has loaded the model and connected to the
// other members.
func (member Membership) Formed() bool {
	return member.State == MemberReady || member.State == MemberOpen || member.State == MemberClosing
}

// joinsWithLoad reports whether the target is joining a replica and loads the weights
// for it.
func (target Target) joinsWithLoad() bool {
	model := target.Membership.Model
	return target.Membership.State == MemberJoining && !target.HasStaged(model) && target.Loaded != model
}

// StatedAfter reports whether the target wrote its row after another one, also if the
// store was restored from a copy in between: then a lower version may be newer.
func (target Target) StatedAfter(other Target) bool {
	switch {
	case target.Revision.Era == other.Revision.Era:
		return other.Revision.Before(target.Revision)
	case target.StartUnixMilli != other.StartUnixMilli:
		return target.StartUnixMilli > other.StartUnixMilli
	default:
		return target.Statement > other.Statement || target.Statement == 0 && other.Revision.Before(target.Revision)
	}
}

// StatedBefore reports whether the target wrote its row before another one, by its own count. The
// store goes by the order in which rows arrive, and a write that its target has given up may
// arrive after the next one.
func (target Target) StatedBefore(other Target) bool {
	if target.StartUnixMilli != other.StartUnixMilli {
		return target.StartUnixMilli < other.StartUnixMilli
	}
	return target.Statement > 0 && target.Statement < other.Statement
}

// HasStaged reports whether the model's weights are staged on the target's host.
func (target Target) HasStaged(model string) bool {
	for _, staged := range target.Staged {
		if staged == model {
			return true
		}
	}
	return false
}
