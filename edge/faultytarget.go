package edge

import (
	"errors"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// recordTooLong records that a target's answer has a part that is longer than the protocol allows,
// if that is why an attempt failed.
func (exchange *exchange) recordTooLong(target greengageroute.Target, cause error) {
	var tooLong *upstream.TooLongError
	if !errors.As(cause, &tooLong) {
		return
	}
	service := exchange.service
	service.Counters.Add(CountAnswersTooLong, 1)
	service.Log.Info("answer too long", "id", exchange.ID, "target", target.ID, "born", target.StartUnixMilli, "part", tooLong.What, "bytes", tooLong.Bytes, "limit", tooLong.Limit)
	service.tracker.RecordFault(target)
}

// isFaulty reports whether a target is chosen only if there is no other, since it sent answers that
// break the protocol to this entry.
func (stats TargetStats) isFaulty(target greengageroute.Target) bool {
	return stats.faults.InForce(target.StartUnixMilli, stats.Running, time.Now())
}

// RecordFault records that a target sent an answer that breaks the protocol.
func (tracker *Tracker) RecordFault(target greengageroute.Target) {
	now := time.Now()
	tracker.update(target.ID, func(stats *TargetStats) { stats.faults = stats.faults.WithFault(target.StartUnixMilli, now) })
}

// RecordSound records that a target has answered a request as it should, which was sent at the given
// time.
func (tracker *Tracker) RecordSound(id string, sentAt time.Time) {
	tracker.update(id, func(stats *TargetStats) { stats.faults = stats.faults.WithSound(sentAt) })
}
