package control

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	// probeTimeout is the timeout of a probe; live targets respond within
	// milliseconds, also while they are busy.
	probeTimeout = 110 * time.Millisecond
	// probeHedgeDelay is the delay before a second probe on another connection, as
	// one packet may be lost.
	probeHedgeDelay = 30 * time.Millisecond
	// probeAttempts is how often a target is probed if this entry itself was late.
	probeAttempts = 2
	// maxProbesUnderWay bounds the probes of members that an entry has under way, whatever it suspects;
	// others wait. Checks of links, and probes of unreachable targets, have bounds of their own.
	maxProbesUnderWay = 24
	// probeInterval is the minimum interval between probes of a replica; it spares
	// replicas whose members all respond.
	probeInterval = 700 * time.Millisecond
	// probeJitter spreads the probes of entries that noticed the same unresponsive
	// replica.
	probeJitter = 30 * time.Millisecond
	// slowdownLimit is the slowdown from which a member is reported as slow:
	// replacing it costs the replica half a second.
	slowdownLimit = 1.5
	// linkProbes is how many targets of a pool in this data centre, and how many in the others,
	// are probed to check the links, and linkCheckTTL how long the result counts.
	linkProbes   = 3
	linkCheckTTL = 150 * time.Millisecond
	// minTargetsIsolated is how many targets there must be before those that all fail say
	// something about this entry's links, and aren't taken for failed.
	minTargetsIsolated = 5
	// isolationCheckInterval is how often an isolated entry tries its links again.
	isolationCheckInterval = 150 * time.Millisecond
	// responseInterval is how often a target that this entry found unreachable is probed at
	// first, until it responds or its mark ends, and slowResponseInterval after
	// fastResponseTime.
	responseInterval     = 250 * time.Millisecond
	slowResponseInterval = 900 * time.Millisecond
	fastResponseTime     = 5 * time.Second
	// responseSpacing is the mean time between two such probes, of whichever targets, and
	// maxAwaited how many targets are probed so. The marks of others expire. The data centre with
	// most targets of a deployment has some 80, and an entry may be cut off from several.
	responseSpacing = 8 * time.Millisecond
	maxAwaited      = 256
	// fewAwaited is how many targets are probed by each entry that found them unreachable; of
	// more than that, about probersPerTarget entries of each data centre probe one in an
	// interval. The largest replicas have 16 members.
	fewAwaited       = 16
	probersPerTarget = 1
	// probeSpread spreads the probes of targets that may all respond again, as one of them does.
	probeSpread = 100 * time.Millisecond
	// renewAfter is the age at which the mark of a target is renewed that is still
	// unreachable: before it expires at the other entries.
	renewAfter = unreachableTTL - 750*time.Millisecond
	// sharedRenewAfter is the same for a target that the entries probe in turns: the next turn
	// may come too late. renewLinkTTL is how long a check of the links counts for that: the
	// others hold the mark too.
	sharedRenewAfter = unreachableTTL / 2
	renewLinkTTL     = unreachableTTL
	// confirmInterval is how often a target that may have failed is probed.
	confirmInterval = time.Second
)

// Counters of the prober; docs/OPERATIONS.md lists them.
const (
	CountProbes = "probes"
	// CountLinkProbes counts those of them that check this entry's links, CountAwaitProbes those
	// of targets that were found unreachable. The others are of members of silent replicas.
	CountLinkProbes         = "probes-of-links"
	CountAwaitProbes        = "probes-of-unreachable"
	CountTargetsUnreachable = "targets-found-dead"
	// CountTargetsRestarted counts those of them that another process answered for, and
	// CountTargetsResponding those that responded again.
	CountTargetsRestarted  = "targets-found-restarted"
	CountTargetsResponding = "targets-responding-again"
	CountTargetsSlow       = "targets-found-slow"
	CountFalseAlarms       = "silent-replicas-found-whole"
	// CountIsolations counts how often this entry lost its links to most targets, and
	// CountFailuresInDoubt the targets that were not taken for failed because of that.
	CountIsolations      = "isolations"
	CountFailuresInDoubt = "target-failures-in-doubt"
	// CountProbesLate counts probes, and checks of links, without a response whose timeout this entry
	// noticed late; they say nothing about the targets. CountProbesDeferred counts probes that had to
	// wait for those under way.
	CountProbesLate     = "probes-late"
	CountProbesDeferred = "probes-deferred"
	// CountPoolsLost counts how often it lost its links to the targets of a pool.
	CountPoolsLost = "pools-lost"
)

type (
	// Reporter requests state reports from targets.
	Reporter interface {
		Report(ctx context.Context, target greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error)
	}

	// Notifier sends findings to the other entries.
	Notifier interface {
		ReportUnreachable(unreachable ...mesh.TargetInstance)
		ReportResponding(responding ...mesh.TargetInstance)
		ReportSlow(slow ...mesh.TargetInstance)
		// EntriesSharingLinks returns about how many live entries are in this data centre, this
		// one included.
		EntriesSharingLinks() int
	}

	// probeResult is what a probe tells of a target.
	probeResult struct {
		report   greengageroute.TargetReport
		alive    bool // the listed process answered
		answered bool // something answered
		inDoubt  bool // nothing answered, and this entry noticed that late or has lost its links
	}

	// failedProbe is a target that didn't respond, or for which another process answered.
	failedProbe struct {
		target   greengageroute.Target
		answered bool
	}

	// poolLinks are this entry's links to the targets of a pool.
	poolLinks struct {
		state   greengageroute.LinkState
		check   chan struct{} // holds a token while targets are probed
		targets int           // at the last check
		began   time.Time     // the last check
		ended   time.Time
		inDoubt bool // the last check found nothing, and was late
	}

	// Prober probes the members of unresponsive replicas and reports those that are
	// unreachable or slow to the other entries.
	Prober struct {
		dataCentre string
		reporter   Reporter
		directory  *Directory
		notifier   Notifier
		clock      greengageroute.Clock
		counters   *expvar.Map
		log        logr.Logger
		underWay   chan struct{} // holds a token for each probe under way

		mu          sync.Mutex
		links       map[string]*poolLinks // by pool
		targets     int                   // of all pools, at the last check of links
		probedAt    map[replicaID]time.Time
		confirmedAt map[mesh.TargetInstance]time.Time
		awaited     map[mesh.TargetInstance]*awaitedTarget
	}
)

// NewProber returns the prober of an entry in the given data centre.
func NewProber(dataCentre string, reporter Reporter, directory *Directory, notifier Notifier, clock greengageroute.Clock, counters *expvar.Map, log logr.Logger) *Prober {
	return &Prober{
		dataCentre: dataCentre, reporter: reporter, directory: directory, notifier: notifier, clock: clock, counters: counters, log: log, underWay: make(chan struct{}, maxProbesUnderWay),
		links: map[string]*poolLinks{}, probedAt: map[replicaID]time.Time{}, confirmedAt: map[mesh.TargetInstance]time.Time{}, awaited: map[mesh.TargetInstance]*awaitedTarget{},
	}
}

// ProbeReplica probes the members of an unresponsive replica in the background,
// unless they were probed within probeInterval.
func (prober *Prober) ProbeReplica(replica greengageroute.Replica) {
	now, id := prober.clock.Now(), replicaID{replica.Pool, replica.Key()}
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if since, known := prober.probedAt[id]; known && now.Sub(since) < probeInterval {
		return
	}
	for key, since := range prober.probedAt {
		if now.Sub(since) > time.Minute {
			delete(prober.probedAt, key)
		}
	}
	prober.probedAt[id] = now
	go prober.probeMembers(replica)
}

// membersCurrent reports whether the directory still has all members with the same
// start time.
func (prober *Prober) membersCurrent(replica greengageroute.Replica) bool {
	view := prober.directory.View()
	for _, member := range replica.Members {
		if known, found := view.Target(member.ID); !found || known.StartUnixMilli != member.StartUnixMilli {
			return false
		}
	}
	return true
}

func (prober *Prober) probeMembers(replica greengageroute.Replica) {
	// All entries notice an unresponsive replica at about the same time; one of them
	// notifies the others.
	time.Sleep(rand.N(probeJitter))
	if !prober.membersCurrent(replica) {
		return
	}
	failed := make(chan failedProbe, len(replica.Members))
	var inDoubt atomic.Int64
	var probes sync.WaitGroup
	for _, member := range replica.Members {
		probes.Go(func() {
			result := prober.probeTarget(member)
			switch {
			case result.inDoubt:
				inDoubt.Add(1)
			case !result.alive:
				failed <- failedProbe{member, result.answered}
			case result.report.Slowdown >= slowdownLimit:
				prober.reportSlow(member, result.report.Slowdown)
			}
		})
	}
	probes.Wait()
	close(failed)
	prober.counters.Add(CountFailuresInDoubt, inDoubt.Load())
	if len(failed) == 0 {
		if inDoubt.Load() == 0 {
			prober.counters.Add(CountFalseAlarms, 1)
			prober.log.Info("unresponsive replica is healthy; all members answered a probe", "replica", replica.Name, "epoch", replica.Epoch)
		}
		return
	}
	if !prober.LinksWorkSince(replica.Pool, 0) {
		prober.counters.Add(CountFailuresInDoubt, int64(len(failed)))
		return
	}
	for probe := range failed {
		if prober.markUnreachable(probe) {
			prober.notifier.ReportUnreachable(probe.target.Instance())
		}
	}
}

// markUnreachable marks a target that a probe found unreachable or restarted. It reports
// whether the target wasn't marked before.
func (prober *Prober) markUnreachable(probe failedProbe) bool {
	target := probe.target
	if len(prober.directory.MarkUnreachable(target.Instance())) == 0 {
		return false
	}
	prober.counters.Add(CountTargetsUnreachable, 1)
	if probe.answered {
		prober.counters.Add(CountTargetsRestarted, 1)
	} else {
		prober.awaitResponse(target, true)
	}
	prober.log.Info("target unreachable or restarted", "target", target.ID, "born", target.StartUnixMilli, "restarted", probe.answered,
		"replica", target.Membership.Replica, "epoch", target.Membership.Epoch)
	return true
}

// reportSlow marks a member as slow, so that the planner looks for a replacement.
func (prober *Prober) reportSlow(member greengageroute.Target, slowdown float64) {
	instance := member.Instance()
	for _, added := range prober.directory.MarkSlow(instance) {
		prober.counters.Add(CountTargetsSlow, 1)
		prober.log.Info("target is slow", "target", added.ID, "pace", slowdown, "replica", member.Membership.Replica, "epoch", member.Membership.Epoch)
		prober.notifier.ReportSlow(added)
	}
}

// probeTarget probes a member. A refusal by another target at the same address doesn't count as alive.
func (prober *Prober) probeTarget(member greengageroute.Target) (result probeResult) {
	for range probeAttempts {
		if result = prober.hedgedProbe(member); !result.inDoubt {
			break
		}
	}
	return result
}

// hedgedProbe probes a member on two connections, the second shortly after the first. If the timers of
// this entry fired late, it may have read the responses late too.
func (prober *Prober) hedgedProbe(member greengageroute.Target) probeResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type reply struct {
		report greengageroute.TargetReport
		err    error
	}
	replies := make(chan reply, 2)
	probe := func() {
		defer prober.endProbe()
		report, err := prober.reporter.Report(ctx, member, probeTimeout)
		replies <- reply{report, err}
	}
	prober.beginProbe()
	if prober.linksLost(member.Pool) {
		prober.endProbe()
		return probeResult{inDoubt: true}
	}
	prober.counters.Add(CountProbes, 1)
	started := prober.clock.Now()
	go probe()
	hedge := time.NewTimer(probeHedgeDelay)
	defer hedge.Stop()
	for pending := 2; pending > 0; {
		select {
		case <-hedge.C:
			if !prober.tryBeginProbe() {
				pending--
				continue
			}
			prober.counters.Add(CountProbes, 1)
			go probe()
		case got := <-replies:
			pending--
			var refused *greengageroute.OrderRefusedError
			switch {
			case got.err == nil:
				return probeResult{report: got.report, alive: got.report.StartUnixMilli == member.StartUnixMilli || got.report.StartUnixMilli == 0, answered: true}
			case errors.As(got.err, &refused):
				return probeResult{report: got.report, answered: true}
			}
		}
	}
	late := prober.clock.Now().Sub(started) >= 2*(probeHedgeDelay+probeTimeout)
	if late {
		prober.counters.Add(CountProbesLate, 1)
	}
	return probeResult{inDoubt: late}
}

// linksLost reports whether this entry knows that its links to a pool are lost, also by its links to others.
func (prober *Prober) linksLost(pool string) bool {
	prober.mu.Lock()
	links, known := prober.links[pool]
	lost := known && links.targets >= minTargetsIsolated && links.state.Isolated()
	prober.mu.Unlock()
	return lost || prober.Isolated()
}

// beginProbe waits until another probe may be under way, which endProbe ends.
func (prober *Prober) beginProbe() {
	if prober.tryBeginProbe() {
		return
	}
	prober.counters.Add(CountProbesDeferred, 1)
	prober.underWay <- struct{}{}
}

// tryBeginProbe reports whether another probe may be under way now, and begins it then.
func (prober *Prober) tryBeginProbe() bool {
	select {
	case prober.underWay <- struct{}{}:
		return true
	default:
		return false
	}
}

func (prober *Prober) endProbe() { <-prober.underWay }

// Confirm probes members that are no longer listed and marks those that don't respond. It also
// probes marked targets until they respond, as this entry may only have been told of them.
func (prober *Prober) Confirm(unlisted []mesh.TargetInstance) {
	for _, target := range prober.directory.Unreachable() {
		prober.awaitResponse(target, true)
	}
	prober.confirm(unlisted, func(mesh.TargetInstance) {})
}

// ConfirmReports probes targets that another entry found unreachable. It marks those that don't
// respond here either, and tells the other entries of those that do.
func (prober *Prober) ConfirmReports(reported []mesh.TargetInstance) {
	prober.confirm(reported, func(instance mesh.TargetInstance) { prober.notifier.ReportResponding(instance) })
}

func (prober *Prober) confirm(instances []mesh.TargetInstance, responds func(mesh.TargetInstance)) {
	now := prober.clock.Now()
	for _, instance := range instances {
		prober.mu.Lock()
		since, known := prober.confirmedAt[instance]
		if !known || now.Sub(since) >= confirmInterval {
			prober.confirmedAt[instance] = now
		}
		maps.DeleteFunc(prober.confirmedAt, func(_ mesh.TargetInstance, since time.Time) bool { return now.Sub(since) > time.Minute })
		prober.mu.Unlock()
		if known && now.Sub(since) < confirmInterval {
			continue
		}
		target, listed := prober.directory.View().Target(instance.ID)
		if !listed || target.StartUnixMilli != instance.StartUnixMilli {
			continue
		}
		go func() {
			result := prober.probeTarget(target)
			switch {
			case result.alive:
				if result.report.StartUnixMilli == instance.StartUnixMilli {
					responds(instance)
				}
			case result.inDoubt || !prober.LinksWorkSince(target.Pool, 0):
				prober.counters.Add(CountFailuresInDoubt, 1)
			default:
				prober.markUnreachable(failedProbe{target, result.answered})
			}
		}()
	}
}

// AcceptsConnections reports whether a target accepts a connection.
func (prober *Prober) AcceptsConnections(target greengageroute.Target) bool {
	return acceptsConnections(target)
}

func acceptsConnections(target greengageroute.Target) bool {
	conn, err := net.DialTimeout("tcp4", target.Address, probeTimeout)
	if err != nil {
		return false
	}
	// Nothing was sent that a failed close could lose.
	_ = conn.Close()
	return true
}

// StillServes reports whether the head of a replica responds, is still the listed process, by
// the time of its start, and serves its replica: one that has lost a member, or was told to
// abort its requests, doesn't.
func (prober *Prober) StillServes(head greengageroute.Target) bool {
	result := prober.probeTarget(head)
	if !result.alive || result.report.StartUnixMilli == 0 || result.report.StartUnixMilli != head.StartUnixMilli {
		return false
	}
	member := result.report.Membership
	return member.BelongsTo(head.Membership.Replica, head.Membership.Epoch) &&
		(member.State == greengageroute.MemberOpen || member.State == greengageroute.MemberClosing)
}

// Isolated reports whether most targets don't respond to this entry, which says nothing about
// the targets. The entry then plans nothing.
func (prober *Prober) Isolated() bool {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	lost := 0
	for _, links := range prober.links {
		if links.state.Isolated() {
			lost += links.targets
		}
	}
	return prober.targets >= minTargetsIsolated && 2*lost > prober.targets
}

// LostPool reports whether the targets of a pool don't respond to this entry, by the last check
// of the links. The entry then forwards requests to others.
func (prober *Prober) LostPool(pool string) bool {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	links, known := prober.links[pool]
	return known && links.state.Isolated()
}

// LostPools returns the pools whose targets don't respond to this entry, sorted.
func (prober *Prober) LostPools() []string {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	var lost []string
	for pool, links := range prober.links {
		if links.state.Isolated() {
			lost = append(lost, pool)
		}
	}
	slices.Sort(lost)
	return lost
}

// LinksWork reports whether targets of a pool respond to this entry, or the pool is so small
// that those that don't say nothing about the links. It probes a few of them if that wasn't done
// just before.
func (prober *Prober) LinksWork(pool string) bool { return prober.linksWork(pool, linkCheckTTL) }

// linksWork does the same, by the last check if it was done within the given time.
func (prober *Prober) linksWork(pool string, within time.Duration) bool {
	return prober.linksWorkUnless(pool, func(links *poolLinks) bool {
		return !links.ended.IsZero() && prober.clock.Now().Sub(links.ended) < within
	})
}

// LinksWorkSince does the same by a check that began after something failed, so long ago: an earlier
// one can't tell whether it was the links.
func (prober *Prober) LinksWorkSince(pool string, ago time.Duration) bool {
	failedAt := prober.clock.Now().Add(-ago)
	return prober.linksWorkUnless(pool, func(links *poolLinks) bool { return !links.began.Before(failedAt) })
}

// linksWorkUnless does the same by the last check if that suffices. A check that was late, and found
// nothing, shows neither that the links work nor that they don't.
func (prober *Prober) linksWorkUnless(pool string, suffices func(links *poolLinks) bool) bool {
	links := prober.poolLinks(pool)
	links.check <- struct{}{}
	defer func() { <-links.check }()
	if !suffices(links) {
		prober.checkLinks(pool, links)
	}
	prober.mu.Lock()
	small := links.targets < minTargetsIsolated
	prober.mu.Unlock()
	return !links.inDoubt && (small || !links.state.Isolated()) && !prober.Isolated()
}

func (prober *Prober) poolLinks(pool string) *poolLinks {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	links, known := prober.links[pool]
	if !known {
		links = &poolLinks{check: make(chan struct{}, 1)}
		prober.links[pool] = links
	}
	return links
}

// checkLinks probes a few targets of the pool in this data centre and a few others. The links
// work if most of either respond: the other data centres may be cut off, and this one may be
// dark. The caller holds the pool's check.
func (prober *Prober) checkLinks(pool string, links *poolLinks) {
	links.began = prober.clock.Now()
	serving := prober.directory.Serving()
	total := len(serving)
	targets := slices.DeleteFunc(slices.Clone(serving), func(target greengageroute.Target) bool { return target.Pool != pool })
	local, remote := prober.sample(targets)
	var late atomic.Bool
	results := make(chan bool, 2)
	go func() { results <- prober.mostRespond(local, &late) }()
	go func() { results <- prober.mostRespond(remote, &late) }()
	work := len(targets) == 0 || <-results || <-results
	links.ended, links.inDoubt = prober.clock.Now(), !work && late.Load()
	wasIsolated := prober.Isolated()
	prober.mu.Lock()
	links.targets, prober.targets = len(targets), total
	prober.mu.Unlock()
	if links.inDoubt {
		prober.counters.Add(CountProbesLate, 1)
		return
	}
	changed, since := links.state.RecordCheck(work, prober.clock.Now())
	if isolated := prober.Isolated(); isolated && !wasIsolated {
		prober.counters.Add(CountIsolations, 1)
	}
	switch {
	case changed && !work:
		prober.counters.Add(CountPoolsLost, 1)
		go prober.checkPools(serving)
		prober.log.Info("targets of a pool don't respond to this entry; others get its requests", "pool", pool, "targets", len(targets), "probed", len(local)+len(remote), "isolated", prober.Isolated())
	case changed:
		prober.log.Info("targets of a pool respond to this entry again", "pool", pool, "after", prober.clock.Now().Sub(since).String(), "isolated", prober.Isolated())
	}
}

// checkPools checks the links to all pools of the given targets: an entry that has lost one pool
// has often lost others, and calls that may run once only can't be sent again.
func (prober *Prober) checkPools(targets []greengageroute.Target) {
	pools := greengageroute.Set[string]{}
	for _, target := range targets {
		if pools.Add(target.Pool) {
			go prober.LinksWork(target.Pool)
		}
	}
}

// sample returns some of the targets at random, of this data centre and of others.
func (prober *Prober) sample(targets []greengageroute.Target) (local, remote []greengageroute.Target) {
	for _, index := range rand.Perm(len(targets)) {
		target := targets[index]
		switch {
		case target.DataCentre == prober.dataCentre && len(local) < linkProbes:
			local = append(local, target)
		case target.DataCentre != prober.dataCentre && len(remote) < linkProbes:
			remote = append(remote, target)
		}
	}
	return local, remote
}

// mostRespond probes targets and reports whether more than half of them respond. It sets late if this
// entry noticed the end of a probe's timeout late.
func (prober *Prober) mostRespond(targets []greengageroute.Target, late *atomic.Bool) bool {
	responses := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { responses <- prober.responds(target, late) }()
	}
	count := 0
	for range targets {
		if <-responses {
			count++
		}
		if 2*count > len(targets) {
			return true
		}
	}
	return false
}

// responds reports whether a target responds to a probe on a new connection, with whatever.
func (prober *Prober) responds(target greengageroute.Target, late *atomic.Bool) bool {
	prober.counters.Add(CountProbes, 1)
	prober.counters.Add(CountLinkProbes, 1)
	started := prober.clock.Now()
	_, err := prober.reporter.Report(context.Background(), target, probeTimeout)
	var refused *greengageroute.OrderRefusedError
	if err == nil || errors.As(err, &refused) {
		return true
	}
	if prober.clock.Now().Sub(started) >= 2*probeTimeout {
		late.Store(true)
	}
	return false
}

// RunLinkChecks tries the links to lost pools again until the context ends.
func (prober *Prober) RunLinkChecks(ctx context.Context) {
	for ctx.Err() == nil {
		greengageroute.Sleep(ctx, isolationCheckInterval)
		var checks sync.WaitGroup
		for _, pool := range prober.LostPools() {
			checks.Go(func() {
				links := prober.poolLinks(pool)
				links.check <- struct{}{}
				defer func() { <-links.check }()
				prober.checkLinks(pool, links)
			})
		}
		checks.Wait()
	}
}
