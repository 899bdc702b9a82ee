package greengageroute

import "time"

// Outcomes of the admission control under overload, as counters and logs name them.
const (
	OverloadSent OverloadOutcome = "sent"
	// OverloadRefusedQueue stands for a queue beyond the request's objective,
	// OverloadRefusedRank for one that only a more urgent request may join, and
	// OverloadRefusedWorkspace for one that a workspace within its usual rate may join.
	OverloadRefusedQueue     OverloadOutcome = "refused-queue"
	OverloadRefusedRank      OverloadOutcome = "refused-rank"
	OverloadRefusedWorkspace OverloadOutcome = "refused-workspace"
	// OverloadRefusedDeadline stands for a deadline that can't be met.
	OverloadRefusedDeadline OverloadOutcome = "refused-deadline"
)

type (
	// OverloadOutcome is what becomes of a request, and why.
	OverloadOutcome string

	// OverloadDecision tells whether a request is sent.
	OverloadDecision struct {
		Outcome    OverloadOutcome
		Predicted  time.Duration // time from the request's arrival to the first token
		RetryAfter time.Duration // 0 if it is sent
		IsFull     bool          // the replica has no free slot
	}
)

// IsSent reports whether the request is sent.
func (decision OverloadDecision) IsSent() bool { return decision.Outcome == OverloadSent }
