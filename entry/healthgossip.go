package entry

import (
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
)

const (
	// maxGossipAge is the age from which a healthy probe result is no longer
	// forwarded. The age fits the 16 bits of milliseconds in a message.
	maxGossipAge = time.Minute
)

// healthGossip exchanges healthy probe results with other entries. The results are
// sent only in replies to pings.
type healthGossip struct {
	probeResults *greengageroute.ProbeResults
	fleet        func() greengageroute.Fleet
}

// collect returns the healthy probe results that this entry knows.
func (gossip *healthGossip) collect(now time.Time) peer.Pong {
	fleet := gossip.fleet()
	results := gossip.probeResults.All()
	pong := peer.Pong{FleetRevision: fleet.Revision}
	for index, group := range fleet.Groups {
		result, known := results[group.Name]
		age := now.Sub(result.At) + time.Millisecond // rounded up
		if known && result.Healthy && result.Generation == group.Generation && age < maxGossipAge {
			pong.Healthy = append(pong.Healthy, peer.HealthyGroup{
				Index: uint16(index), AgeMs: uint16(age.Milliseconds()), Streams: uint16(result.Streams),
			})
		}
	}
	return pong
}

// receive records healthy probe results from a reply. Each is dated when the ping
// was sent, less its age at the sender, so that no delay makes it look newer.
// Results for another revision of the fleet are ignored, since they name groups by
// their index in it.
func (gossip *healthGossip) receive(pong peer.Pong, sentAt time.Time) {
	fleet := gossip.fleet()
	if pong.FleetRevision != fleet.Revision {
		return
	}
	for _, healthy := range pong.Healthy {
		if int(healthy.Index) >= len(fleet.Groups) {
			continue
		}
		group := fleet.Groups[healthy.Index]
		gossip.probeResults.Record(greengageroute.ProbeResult{
			Group: group.Name, Generation: group.Generation, At: sentAt.Add(-healthy.Age()), Healthy: true, Streams: int(healthy.Streams),
		})
	}
}
