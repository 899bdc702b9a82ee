package edge

import (
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	// coldChange is by how much longer a target has to be cold than was known, for the entries
	// to be told: messages and rows arrive with delays.
	coldChange = 500 * time.Millisecond
	// maxColdNotice is more than any target says of how long it is cold.
	maxColdNotice = time.Minute
)

// coldRecord is an entry's record of a cold target.
type coldRecord struct {
	notice greengageroute.ColdNotice
	turns  greengageroute.ColdTurns
	since  time.Time // when this entry learned that the target is cold
	until  time.Time // as last known, by the directory's clock
}

// coldWait returns how long a target takes no request from this entry because it is cold.
func (exchange *exchange) coldWait(target greengageroute.Target, stats TargetStats) time.Duration {
	if exchange.pool.ColdPerSecond <= 0 {
		return 0
	}
	service := exchange.service
	cold := target.ColdUntil(stats.cold.notice).Sub(service.Directory.Now())
	if cold <= 0 {
		return 0
	}
	service.noticeCold(target, cold, CountColdByRow)
	wait := service.tracker.ColdWait(target.ID, service.Peers.Seat(), exchange.pool.ColdPerSecond, cold)
	if wait > 0 {
		exchange.coldTargets = true
		service.Counters.Add(CountColdPassedOver, 1)
	}
	return wait
}

// claimTarget chooses a target, and takes a turn if it is cold: other requests of this entry
// may have chosen it meanwhile.
func (exchange *exchange) claimTarget(tried greengageroute.Set[string]) (target greengageroute.Target, found bool) {
	for {
		exchange.coldTargets = false
		target, found = exchange.pickTarget(tried)
		if !found || exchange.takeColdTurn(target) {
			return target, found
		}
	}
}

// claimSource chooses a source as claimTarget does a target.
func (exchange *exchange) claimSource(tried greengageroute.Set[string]) (chosen source, found bool) {
	for {
		exchange.coldTargets = false
		chosen, found = exchange.pickSource(tried)
		if !found || exchange.takeColdTurn(chosen.replica.Head()) {
			return chosen, found
		}
	}
}

// takeColdTurn reports whether a request may be sent to a target now. One to a cold target
// uses up this entry's turn, also if it isn't sent in the end.
func (exchange *exchange) takeColdTurn(target greengageroute.Target) bool {
	if exchange.pool.ColdPerSecond <= 0 {
		return true
	}
	service := exchange.service
	cold := target.ColdUntil(service.tracker.Stats(target.ID).cold.notice).Sub(service.Directory.Now())
	return cold <= 0 || service.tracker.TakeColdTurn(target.ID, service.Peers.Seat(), exchange.pool.ColdPerSecond, cold)
}

// noticeCold records for how long a target is cold, and logs and counts it if that is news.
func (service *Service) noticeCold(target greengageroute.Target, cold time.Duration, source string) (news bool) {
	if news = service.tracker.NoticeCold(target.ID, service.Directory.Now(), cold); news {
		service.Counters.Add(source, 1)
		service.Log.Info("target is cold", "target", target.ID, "born", target.StartUnixMilli, "known-by", source, "for-ms", cold.Milliseconds())
	}
	return news
}

// recordCold records what a target says in a response of how long it is cold, and tells the
// peers if that is news: other entries may not hear from it.
func (service *Service) recordCold(target greengageroute.Target, answer greengageroute.AnswerHead) {
	if answer.ColdRemaining <= 0 || !answer.IsFrom(target) || !service.isLimitedWhileCold(target.Pool) {
		return
	}
	service.tracker.RecordCold(target.ID, service.coldNotice(target.StartUnixMilli, answer.ColdRemaining))
	if !service.noticeCold(target, answer.ColdRemaining, CountColdByResponse) {
		return
	}
	service.Peers.ReportCold(mesh.ColdReport{
		Target: target.ID, StartUnixMilli: target.StartUnixMilli, ID: time.Now().UnixMilli(), RemainingMillis: answer.ColdRemaining.Milliseconds(),
	})
}

// AdoptCold records what other entries were told by targets of how long they are cold.
func (service *Service) AdoptCold(reports []mesh.ColdReport) {
	view := service.Directory.View()
	for _, report := range reports {
		target, listed := view.Target(report.Target)
		cold := min(time.Duration(report.RemainingMillis)*time.Millisecond, maxColdNotice)
		if !listed || target.StartUnixMilli != report.StartUnixMilli || cold <= 0 || !service.isLimitedWhileCold(target.Pool) {
			continue
		}
		service.tracker.RecordCold(target.ID, service.coldNotice(report.StartUnixMilli, cold))
		service.noticeCold(target, cold, CountColdByEntry)
	}
}

func (service *Service) coldNotice(startUnixMilli int64, cold time.Duration) greengageroute.ColdNotice {
	now := service.Directory.Now()
	return greengageroute.ColdNotice{StartUnixMilli: startUnixMilli, ReceivedAt: now, Until: now.Add(cold)}
}

// isLimitedWhileCold reports whether the config limits the requests to cold targets of a pool.
func (service *Service) isLimitedWhileCold(pool string) bool {
	routes := service.Config.Routes()
	return routes != nil && routes.Pools[pool].ColdPerSecond > 0
}

// RecordCold records what a response said of how long a target is cold, unless a later end
// is known of the same start.
func (tracker *Tracker) RecordCold(id string, notice greengageroute.ColdNotice) {
	tracker.update(id, func(stats *TargetStats) {
		known := stats.cold.notice
		if known.StartUnixMilli != notice.StartUnixMilli || notice.Until.After(known.Until) {
			stats.cold.notice = notice
		}
	})
}

// NoticeCold records that a target is cold from now on for a time. It reports whether that is
// longer than was known.
func (tracker *Tracker) NoticeCold(id string, now time.Time, cold time.Duration) (news bool) {
	until := now.Add(cold)
	tracker.update(id, func(stats *TargetStats) {
		if news = until.Sub(stats.cold.until) > coldChange; news {
			stats.cold.since, stats.cold.until = time.Now(), until
		}
	})
	return news
}

// ColdWait returns how long this entry may send no request to a target that is cold for a
// time.
func (tracker *Tracker) ColdWait(id string, seat greengageroute.Seat, perSecond float64, cold time.Duration) (wait time.Duration) {
	tracker.update(id, func(stats *TargetStats) { wait = stats.coldWait(id, seat, perSecond, cold, time.Now()) })
	return wait
}

// TakeColdTurn takes the turn of a request to a target that is cold for a time, and reports
// whether there was one.
func (tracker *Tracker) TakeColdTurn(id string, seat greengageroute.Seat, perSecond float64, cold time.Duration) (taken bool) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		if taken = stats.coldWait(id, seat, perSecond, cold, now) == 0; taken {
			stats.cold.turns = stats.cold.turns.WithRequest(now)
		}
	})
	return taken
}

func (stats *TargetStats) coldWait(id string, seat greengageroute.Seat, perSecond float64, cold time.Duration, now time.Time) time.Duration {
	var sentBefore time.Time
	if stats.sentAt.Before(stats.cold.since) {
		sentBefore = stats.sentAt
	}
	return stats.cold.turns.Wait(seat, id, perSecond, cold, sentBefore, now)
}
