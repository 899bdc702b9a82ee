package edge

import (
	"errors"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/upstream"
)

// recordFault records that a target's answer breaks the protocol, if that is why an attempt failed.
func (exchange *exchange) recordFault(target greengageroute.Target, cause error) {
	exchange.service.recordFault(target, exchange.ID, cause)
}

// RecordFault records that a target's response to an order or a probe breaks the protocol, if that
// is why it failed.
func (service *Service) RecordFault(target greengageroute.Target, cause error) {
	service.recordFault(target, "", cause)
}

func (service *Service) recordFault(target greengageroute.Target, id string, cause error) {
	var tooLong *upstream.TooLongError
	var malformed *http1.MalformedError
	switch {
	case errors.As(cause, &tooLong):
		service.Counters.Add(CountAnswersTooLong, 1)
		service.Log.Info("answer too long", "id", id, "target", target.ID, "born", target.StartUnixMilli, "part", tooLong.What, "bytes", tooLong.Bytes, "limit", tooLong.Limit)
	case errors.As(cause, &malformed):
		service.Counters.Add(CountAnswersMalformed, 1)
		service.Log.Info("answer malformed", "id", id, "target", target.ID, "born", target.StartUnixMilli, "reason", malformed.Reason, "line", malformed.Line)
	default:
		return
	}
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
