package control

import (
	"context"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// awaitResponse probes a target that doesn't respond, in the background, until it does or its
// mark has ended.
func (prober *Prober) awaitResponse(target greengageroute.Target) {
	instance := target.Instance()
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if _, underway := prober.awaited[instance]; underway || len(prober.awaited) >= maxAwaited {
		return
	}
	prober.awaited[instance] = false
	go func() {
		prober.probeUntilResponse(target)
		prober.mu.Lock()
		defer prober.mu.Unlock()
		delete(prober.awaited, instance)
	}()
}

// probeUntilResponse probes a target until it responds, and tells the other entries then, or
// until its mark has ended. While the target is listed and silent, the mark is renewed.
func (prober *Prober) probeUntilResponse(target greengageroute.Target) {
	instance, started := target.Instance(), prober.clock.Now()
	for {
		since, marked := prober.directory.UnreachableSince(instance)
		if !marked {
			return
		}
		now := prober.clock.Now()
		time.Sleep(min(prober.responseDelay(now.Sub(started)), max(since.Add(renewAfter).Sub(now), responseInterval)))
		prober.counters.Add(CountProbes, 1)
		report, err := prober.reporter.Report(context.Background(), target, probeTimeout)
		if err != nil || report.StartUnixMilli != 0 && report.StartUnixMilli != target.StartUnixMilli {
			prober.renewMark(instance)
			continue
		}
		if len(prober.directory.MarkResponding(instance)) > 0 {
			prober.counters.Add(CountTargetsResponding, 1)
			prober.log.Info("target responds again", "target", target.ID, "after", prober.clock.Now().Sub(started).String())
			prober.notifier.ReportResponding(instance)
		}
		return
	}
}

// responseDelay returns the time until the next probe of a target that has been probed for some
// time.
func (prober *Prober) responseDelay(elapsed time.Duration) time.Duration {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	delay := responseInterval
	if elapsed > fastResponseTime {
		delay = slowResponseInterval
	}
	return max(delay, time.Duration(len(prober.awaited))*responseSpacing)
}

// renewMark renews the mark of a target before it expires, and tells the other entries unless
// one of them says that the target responds: then only this entry's link has failed.
func (prober *Prober) renewMark(instance mesh.TargetInstance) {
	since, marked := prober.directory.UnreachableSince(instance)
	if !marked || prober.clock.Now().Sub(since) < renewAfter || !prober.LinksWork(prober.directory.View().Absent[instance.ID].Pool) {
		return
	}
	renewed := prober.directory.RenewUnreachable(instance)
	prober.mu.Lock()
	respondsToOther := prober.awaited[instance]
	prober.mu.Unlock()
	if !respondsToOther {
		prober.notifier.ReportUnreachable(renewed...)
	}
}

// RecordResponding records that targets respond to another entry. One that this entry probes
// itself stays marked until it responds here.
func (prober *Prober) RecordResponding(responding []mesh.TargetInstance) {
	var told []mesh.TargetInstance
	prober.mu.Lock()
	for _, instance := range responding {
		if _, underway := prober.awaited[instance]; underway {
			prober.awaited[instance] = true
		} else {
			told = append(told, instance)
		}
	}
	prober.mu.Unlock()
	prober.directory.MarkResponding(told...)
}
