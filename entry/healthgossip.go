package entry

import (
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
)

const (
	// oldestGood is the greatest age that good news is passed on at.
	maxGossipAge = time.Minute
)

// goodNews passes on which groups were found whole. It moves in replies only.
type healthGossip struct {
	probeResults *greengageroute.ProbeResults
	fleet        func() greengageroute.Fleet
}

// tell returns the good news known here.
func (gossip *healthGossip) collect(now time.Time) peer.Pong {
	fleet := gossip.fleet()
	results := gossip.probeResults.All()
	pong := peer.Pong{Fleet: fleet.Revision}
	for index, group := range fleet.Groups {
		result, known := results[group.Name]
		age := now.Sub(result.At) + time.Millisecond // rounded up
		if known && result.Healthy && result.Generation == group.Generation && age < maxGossipAge {
			pong.Good = append(pong.Good, peer.GoodSet{
				Place: uint16(index), AgeMs: uint16(age.Milliseconds()), Streams: uint16(result.Streams),
			})
		}
	}
	return pong
}

// hear takes good news in. It counts from before it was asked for, less its age
// where it came from.
func (gossip *healthGossip) receive(pong peer.Pong, sentAt time.Time) {
	fleet := gossip.fleet()
	if pong.Fleet != fleet.Revision {
		return
	}
	for _, healthy := range pong.Good {
		if int(healthy.Place) >= len(fleet.Groups) {
			continue
		}
		group := fleet.Groups[healthy.Place]
		gossip.probeResults.Record(greengageroute.ProbeResult{
			Group: group.Name, Generation: group.Generation, At: sentAt.Add(-healthy.Age()), Healthy: true, Streams: int(healthy.Streams),
		})
	}
}
