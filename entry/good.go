package entry

import (
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
)

const (
	// oldestGood is the greatest age that good news is passed on at.
	oldestGood = time.Minute
)

// goodNews passes on which groups were found whole. It moves in replies only.
type goodNews struct {
	verdicts *greengageroute.ProbeResults
	fleet    func() greengageroute.Fleet
}

// tell returns the good news known here.
func (good *goodNews) tell(now time.Time) peer.Pong {
	fleet := good.fleet()
	verdicts := good.verdicts.All()
	pong := peer.Pong{FleetRevision: fleet.Revision}
	for place, group := range fleet.Groups {
		verdict, known := verdicts[group.Name]
		age := now.Sub(verdict.At) + time.Millisecond // rounded up
		if known && verdict.Healthy && verdict.Generation == group.Generation && age < oldestGood {
			pong.Healthy = append(pong.Healthy, peer.HealthyGroup{
				Index: uint16(place), AgeMs: uint16(age.Milliseconds()), Streams: uint16(verdict.Streams),
			})
		}
	}
	return pong
}

// hear takes good news in. It counts from before it was asked for, less its age
// where it came from.
func (good *goodNews) hear(pong peer.Pong, asked time.Time) {
	fleet := good.fleet()
	if pong.FleetRevision != fleet.Revision {
		return
	}
	for _, set := range pong.Healthy {
		if int(set.Index) >= len(fleet.Groups) {
			continue
		}
		group := fleet.Groups[set.Index]
		good.verdicts.Record(greengageroute.ProbeResult{
			Group: group.Name, Generation: group.Generation, At: asked.Add(-set.Age()), Healthy: true, Streams: int(set.Streams),
		})
	}
}
