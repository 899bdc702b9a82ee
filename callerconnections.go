package greengageroute

import "time"

// Phases of a caller's connection.
const (
	// ConnectionIdle is a connection that waits for the next request.
	ConnectionIdle ConnectionPhase = iota
	// ConnectionInHeader is a connection without a complete first request, or on which a
	// part of a header has arrived.
	ConnectionInHeader
	// ConnectionBusy is a connection with a request that runs.
	ConnectionBusy
	// ConnectionStalled is a connection whose caller has stopped sending a body or reading
	// an answer.
	ConnectionStalled
	// ConnectionReceiving is a connection with a request whose body still arrives.
	ConnectionReceiving
)

const (
	// descriptorsReserved are the descriptors that the platform reserves for files.
	descriptorsReserved = 200
	// connectionsPerMB is how many connections of callers fit into the memory: one with a
	// header that never ends takes about 40 KB, and the kernel holds up to 72 KB for it.
	connectionsPerMB = 3
	// headerGrace is how long a connection may take to bring a header before it is the
	// first to be closed.
	headerGrace = 3 * time.Second
	// receivingGrace is how long a request may take to bring its body before its connection may
	// be closed. A new connection then needn't wait until those that bring theirs slowly have ended.
	receivingGrace = time.Second
)

type (
	// ConnectionPhase is what a caller's connection is doing.
	ConnectionPhase int

	// CallerConnection is a connection of a caller, and how long it has been in its phase.
	CallerConnection struct {
		Phase ConnectionPhase
		Since time.Duration
	}

	// ConnectionBounds are the numbers of connections that a process keeps open.
	ConnectionBounds struct {
		Callers int
		Entries int // from other entries
	}
)

// NewConnectionBounds returns the bounds for a VM. Half of the descriptors are for callers and
// an eighth for other entries; the rest is for targets, the store and health checks.
func NewConnectionBounds(limits VMLimits) ConnectionBounds {
	usable := max(limits.fileDescriptors()-descriptorsReserved, 0)
	return ConnectionBounds{
		Callers: max(min(usable/2, limits.memoryMB()*connectionsPerMB), 1), Entries: max(usable/8, 1),
	}
}

// ChooseClosed returns the index of the connection to close in favour of a new one, or -1 if
// all have requests that run: first those that take too long for a header, then idle ones,
// then other ones in a header, then stalled ones, then those that take long for a body, of each
// kind that which is longest in its phase.
func ChooseClosed(connections []CallerConnection) int {
	chosen, highest := -1, 0
	for i, connection := range connections {
		rank := connection.closingRank()
		if rank > highest || rank > 0 && rank == highest && connection.Since > connections[chosen].Since {
			chosen, highest = i, rank
		}
	}
	return chosen
}

// closingRank returns how soon a connection is closed; 0: never.
func (connection CallerConnection) closingRank() int {
	switch {
	case connection.Phase == ConnectionInHeader && connection.Since > headerGrace:
		return 5
	case connection.Phase == ConnectionIdle:
		return 4
	case connection.Phase == ConnectionInHeader:
		return 3
	case connection.Phase == ConnectionStalled:
		return 2
	case connection.Phase == ConnectionReceiving && connection.Since > receivingGrace:
		return 1
	default:
		return 0
	}
}
