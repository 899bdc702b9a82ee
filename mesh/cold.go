package mesh

import (
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// ReportCold notifies the peers at once of targets that said in a response that they are
// cold.
func (node *Node) ReportCold(cold ...ColdReport) { report(node, &node.cold, cold) }

// currentColdReports returns what currentUpdates does, the next reports as of now.
func currentColdReports(reports []timestamped[ColdReport], now time.Time, turn uint64) (current []timestamped[ColdReport], next []ColdReport) {
	aged := make([]timestamped[ColdReport], 0, len(reports))
	for _, report := range reports {
		report.value.RemainingMillis -= now.Sub(report.at).Milliseconds()
		aged = append(aged, report)
	}
	current, _ = currentUpdates(reports, now, turn, maxUpdates)
	_, next = currentUpdates(aged, now, turn, maxUpdates)
	return current, next
}

// Seat returns this entry's place among all entries that it knows, by name: those that the
// store lists and those that it has heard from. Peers are never forgotten. In a large fleet
// others may have joined later, which a relay's announcement counts.
func (node *Node) Seat() greengageroute.Seat {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	if entries := len(node.peers) + 1; node.seat.Entries != entries {
		node.seat = greengageroute.Seat{Entries: entries}
		for name := range node.peers {
			if name < node.self.From {
				node.seat.Index++
			}
		}
	}
	seat := node.seat
	if announcement := node.relayAnnouncement(now); announcement != nil && announcement.LiveEntries > seat.Entries {
		seat.Index = seat.Index * announcement.LiveEntries / seat.Entries
		seat.Entries = announcement.LiveEntries
	}
	return seat
}
