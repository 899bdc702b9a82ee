package greengageroute

const (
	// bodyBudgetShare is the part of a VM's memory that bodies and answers held for callers may
	// take. The heap grows by two fifths beyond it between two collections.
	bodyBudgetShare = 4
	// SmallBody is the length up to which a body draws on the reserved part of the budget.
	SmallBody = 16 << 10
	// smallReserveShare is the part of the budget that only small bodies may take. It has
	// room for a small body on each of the connections that NewConnectionBounds allows.
	smallReserveShare = 4
	// evictionRatio is how many times the bytes that moved within the last two seconds a
	// request holds at least if it is ended in favour of others. A body of 4 MB that arrives
	// steadily within 10 s stays below it.
	evictionRatio = 10
	// movedFloor is added to the bytes that moved, so that small bodies that have just
	// stopped are not ended.
	movedFloor = 4 << 10
)

type (
	// BodyBudget bounds the bytes that a process holds for its callers: bodies being read,
	// bodies kept for another attempt, and answers not yet read.
	BodyBudget struct {
		Total int64
		// SmallReserve is the part of Total for requests that hold at most SmallBody.
		SmallReserve int64
	}

	// HeldBytes are the bytes that one request holds.
	HeldBytes struct {
		Held  int64
		Moved int64 // between the caller and the process in the last seconds
		// Waits reports whether the request waits for its caller to send its body, or to
		// read an answer of which it reads nothing.
		Waits bool
	}
)

// NewBodyBudget returns the budget of a process on a VM.
func NewBodyBudget(limits VMLimits) BodyBudget {
	total := int64(limits.memoryMB()) << 20 / bodyBudgetShare
	return BodyBudget{Total: total, SmallReserve: total / smallReserveShare}
}

// Fits reports whether a request that holds some bytes may hold more, while all requests
// together hold used bytes.
func (budget BodyBudget) Fits(used, held, more int64) bool {
	if held+more <= SmallBody {
		return used+more <= budget.Total
	}
	return used+more <= budget.Total-budget.SmallReserve
}

// ChooseEvicted returns the index of the request to end so that another one fits, or -1 if
// none holds many bytes of which few have moved lately.
func (BodyBudget) ChooseEvicted(requests []HeldBytes) int {
	chosen, highest := -1, float64(evictionRatio)
	for i, request := range requests {
		ratio := float64(request.Held) / float64(request.Moved+movedFloor)
		if request.Waits && ratio > highest {
			chosen, highest = i, ratio
		}
	}
	return chosen
}
