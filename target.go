package greengageroute

import "time"

// States of a target in the platform's list.
const (
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
	// TargetSlow is what the planner makes of a ready target that says that it is
	// slow: its replica does better with another, if that is at hand.
	TargetSlow TargetState = "slow"
)

// States of a target's membership of a replica.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open" // of the head: it serves
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

type (
	// TargetState tells whether a target takes new work.
	TargetState string

	// MemberState is how far a target has come in a replica.
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
		StartUnixMilli int64 // Unix milliseconds of its start; another one means that it restarted
		Staged         []string
		Staging        string // the model that it was told to stage, until that is done
		Membership     Membership
		// Revision is that of the list's row, so that an older reading never
		// replaces a newer one.
		Revision uint64
		// ListedSince is when this entry saw the target listed, without a break since.
		ListedSince time.Time
		// Unlisted tells that the target has vanished from the list but is a member of
		// a replica that may still be whole.
		Unlisted bool
	}

	// Membership is a target's place in a replica. The zero value is none.
	Membership struct {
		Replica string
		Epoch   uint64
		Model   string
		Rank    int // 0 is the head
		State   MemberState
	}

	// TargetReport is what a target says of itself when asked.
	TargetReport struct {
		StartUnixMilli int64
		Busy           bool // an order is being carried out
		Running        int
		Waiting        int
		Slowdown       float64 // over 1: slower than published
		Staged         []string
		Membership     Membership
	}
)

// BelongsTo tells whether the membership is of the replica under the epoch.
func (member Membership) BelongsTo(replica string, epoch uint64) bool {
	return member.Replica == replica && member.Epoch == epoch
}

// Formed tells whether the member has loaded the model and reached its peers.
func (member Membership) Formed() bool {
	return member.State == MemberReady || member.State == MemberOpen || member.State == MemberClosing
}

// HasStaged tells whether the model's weights lie on the target's host.
func (target Target) HasStaged(model string) bool {
	for _, staged := range target.Staged {
		if staged == model {
			return true
		}
	}
	return false
}
