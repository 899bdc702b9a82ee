package mesh

import (
	"maps"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// silentSenderTTL is how long a peer counts against limits after its last message.
const silentSenderTTL = 10 * time.Second

// agedBy returns the limit as of later.
func (limit TargetLimit) agedBy(elapsed time.Duration) TargetLimit {
	var then time.Time
	sent := greengageroute.NewSendCount(float64(limit.CentiSent), then).At(then.Add(elapsed))
	limit.AgeMillis, limit.CentiSent = limit.AgeMillis+elapsed.Milliseconds(), int64(sent)
	return limit
}

// Limits returns what the peers know of the limits of targets.
func (node *Node) Limits() map[string]greengageroute.PeerLimit {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	var limits []TargetLimit
	switch {
	case node.isFullMesh():
		limits = node.sumLimits(nil, now, anyPeer)
	case node.rank(now) < relaysPerDataCentre:
		limits = node.addRemoteLimits(node.sumLimits(nil, now, node.inDataCentre), now)
	default:
		limits = node.limitsFromRelay(now)
	}
	if len(limits) == 0 {
		return nil
	}
	byTarget := make(map[string]greengageroute.PeerLimit, len(limits))
	for _, limit := range limits {
		byTarget[limit.Target] = greengageroute.PeerLimit{
			PerSecond: float64(limit.MilliPerSecond) / 1000, Age: time.Duration(limit.AgeMillis) * time.Millisecond, Sent: float64(limit.CentiSent) / 100,
		}
	}
	return byTarget
}

// sumLimits adds the wanted peers' own limits to the given ones. Peers that fell silent
// are presumed to go on as before: they may be cut off from this entry only.
func (node *Node) sumLimits(limits []TargetLimit, now time.Time, wanted func(*peer) bool) []TargetLimit {
	for _, other := range node.peers {
		elapsed := now.Sub(other.receivedAt)
		switch {
		case len(other.own.Limits) == 0 || !wanted(other):
		case elapsed < freshness:
			limits = appendAged(limits, other.own.Limits, elapsed)
		case elapsed < silentSenderTTL && !other.own.Leaving:
			for _, limit := range other.own.Limits {
				limit.AgeMillis += elapsed.Milliseconds()
				limits = append(limits, limit)
			}
		}
	}
	return mergeLimits(limits)
}

// addRemoteLimits adds the limits that the first relays of the other data centres sent.
func (node *Node) addRemoteLimits(limits []TargetLimit, now time.Time) []TargetLimit {
	for _, other := range node.peers {
		elapsed := now.Sub(other.receivedAt)
		if len(other.summary.Limits) > 0 && elapsed < freshness && !other.summary.AllEntries && node.isFirstRemoteRelay(other, now) {
			limits = appendAged(limits, other.summary.Limits, elapsed)
		}
	}
	return mergeLimits(limits)
}

// limitsFromRelay returns the limits in a relay's announcement, without the requests that
// this entry has reported to the relays.
func (node *Node) limitsFromRelay(now time.Time) []TargetLimit {
	announcement := node.relayAnnouncement(now)
	if announcement == nil || len(announcement.Limits) == 0 {
		return nil
	}
	limits := appendAged(nil, announcement.Limits, now.Sub(node.peers[announcement.From].receivedAt))
	reported := appendAged(nil, node.reportedLimits, now.Sub(node.limitsReportedAt))
	for i, limit := range limits {
		for _, own := range reported {
			if own.Target == limit.Target {
				limits[i].CentiSent = max(limit.CentiSent-own.CentiSent, 0)
			}
		}
	}
	return limits
}

func appendAged(limits, added []TargetLimit, elapsed time.Duration) []TargetLimit {
	for _, limit := range added {
		limits = append(limits, limit.agedBy(elapsed))
	}
	return limits
}

// mergeLimits adds up the requests by target. The limit is the one named last.
func mergeLimits(limits []TargetLimit) []TargetLimit {
	if len(limits) < 2 {
		return limits
	}
	merged := map[string]TargetLimit{}
	for _, limit := range limits {
		known, found := merged[limit.Target]
		sent := known.CentiSent + limit.CentiSent
		if found && known.AgeMillis <= limit.AgeMillis {
			limit = known
		}
		limit.CentiSent = sent
		merged[limit.Target] = limit
	}
	return slices.Collect(maps.Values(merged))
}
