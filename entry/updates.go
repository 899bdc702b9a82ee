package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/caller"
	"greengageroute.example/greengageroute/peer"
)

const (
	// leavingTTL is how long an entry considers a VM as leaving after a probe, the
	// VM list or a peer reported it as leaving.
	leavingTTL = 15 * time.Second
	// leavingReportInterval is the minimum interval between an entry's reports of
	// the same leaving VM to its peers.
	leavingReportInterval = 5 * time.Second
	// maxGossipVerdicts limits the causes of crashes in the reply to a ping.
	maxGossipVerdicts = 16
)

// Scopes of a push.
const (
	scopeNone       pushScope = iota
	scopeDataCentre           // every live entry of the data centre
	scopeAll                  // also a few entries of each other data centre
)

type (
	// pushScope selects the entries to which an update is pushed.
	pushScope int

	// leavingVMs holds when each VM was last known to be leaving, and when this
	// entry last reported that to its peers.
	leavingVMs struct {
		mu         sync.Mutex
		seenAt     map[string]time.Time
		reportedAt map[string]time.Time
	}
)

func newLeavingVMs() *leavingVMs {
	return &leavingVMs{seenAt: map[string]time.Time{}, reportedAt: map[string]time.Time{}}
}

func (leaving *leavingVMs) add(vm string, now time.Time) {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	leaving.seenAt[vm] = now
}

func (leaving *leavingVMs) has(vm string, now time.Time) bool {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	seenAt, ok := leaving.seenAt[vm]
	return ok && now.Sub(seenAt) < leavingTTL
}

// shouldReport reports whether the VM's leaving is due to be reported to the other
// entries, and if so counts it as reported now.
func (leaving *leavingVMs) shouldReport(vm string, now time.Time) bool {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	if now.Sub(leaving.reportedAt[vm]) < leavingReportInterval {
		return false
	}
	leaving.reportedAt[vm] = now
	return true
}

// reportLeaving records that a VM is leaving and, at intervals, pushes that to the
// data centre.
func (entry *Entry) reportLeaving(ctx context.Context, vm string) {
	now := time.Now()
	entry.leaving.add(vm, now)
	if entry.leaving.shouldReport(vm, now) {
		entry.push(ctx, peer.PushUpdate{LeavingVMs: []string{vm}}, scopeDataCentre)
	}
}

// Handle implements peer.Handler.
func (entry *Entry) Handle(ctx context.Context, message peer.Message) peer.Message {
	switch {
	case message.Ping != nil || message.PingFor != nil:
		return entry.members.HandlePing(ctx, message)
	case message.PushUpdate != nil:
		entry.receiveUpdate(*message.PushUpdate)
		entry.ReceiveRevisions(message.From, message.Revisions)
	case message.FetchConfig != nil:
		config := entry.Config()
		reply := entry.members.NewMessage()
		reply.ConfigFiles = &peer.ConfigFiles{Revision: config.Revision(), Files: config.ChangedSince(message.FetchConfig.After)}
		return reply
	case message.FetchFleet != nil:
		reply := entry.members.NewMessage()
		reply.Fleet = &peer.Fleet{Fleet: entry.Fleet()}
		return reply
	}
	return entry.members.NewMessage()
}

func (entry *Entry) receiveUpdate(update peer.PushUpdate) {
	now := time.Now()
	for _, unhealthy := range update.Unhealthy {
		entry.probeResults.Record(greengageroute.ProbeResult{Group: unhealthy.Group, Generation: unhealthy.Generation, At: now, Reason: unhealthy.Reason})
	}
	for _, crash := range update.Crashes {
		if sound := entry.quarantine.RecordCrash(crash, now); len(sound) > 0 {
			entry.ReportSound(sound)
		}
	}
	for _, cause := range update.Sound {
		entry.quarantine.Clear(cause, now)
	}
	for _, vm := range update.LeavingVMs {
		entry.leaving.add(vm, now)
	}
}

// push sends an update at once, without retries: a lost update is made up for by
// the revisions in pings and by the expiry of healthy probe results.
func (entry *Entry) push(ctx context.Context, update peer.PushUpdate, scope pushScope) {
	if scope == scopeNone {
		return
	}
	message := entry.members.NewMessage()
	message.PushUpdate = &update
	for _, address := range entry.members.PushAddresses(scope == scopeAll) {
		entry.counters.Add(CountPushes, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
			defer cancel()
			if _, err := entry.node.Call(ctx, address, message); err != nil {
				entry.counters.Add(CountPushesFailed, 1)
			}
		}()
	}
}

// handleUnhealthyGroup cancels the requests on a group that has become unhealthy,
// and pushes the result to the data centre if this entry found it.
func (entry *Entry) handleUnhealthyGroup(result greengageroute.ProbeResult) {
	entry.inFlight.CancelGroup(result.Group, result.Generation, result.Reason)
	entry.counters.Add(CountGroupsUnhealthy, 1)
	entry.log.Info("group out of service", "group", result.Group, "number", result.Generation, "reason", result.Reason)
	if result.Local {
		unhealthy := peer.UnhealthyGroup{Group: result.Group, Generation: result.Generation, Reason: result.Reason}
		entry.push(context.Background(), peer.PushUpdate{Unhealthy: []peer.UnhealthyGroup{unhealthy}}, scopeDataCentre)
	}
}

// RecordGroupFailure implements caller.State.
func (entry *Entry) RecordGroupFailure(group greengageroute.Group, reason string) {
	entry.probeResults.Record(greengageroute.ProbeResult{Group: group.Name, Generation: group.Generation, At: time.Now(), Reason: reason, Local: true})
}

// ReportCrash implements caller.State.
func (entry *Entry) ReportCrash(report greengageroute.CrashReport) {
	entry.push(context.Background(), peer.PushUpdate{Crashes: []greengageroute.CrashReport{report}}, scopeAll)
}

// ReportSound implements caller.State.
func (entry *Entry) ReportSound(causes []greengageroute.CrashCause) {
	entry.push(context.Background(), peer.PushUpdate{Sound: causes}, scopeAll)
}

// HoldsLease implements caller.State.
func (entry *Entry) HoldsLease() bool { return entry.lease.Held().Holds(time.Now(), 0) }

// adoptVerdicts adds the causes of crashes that another entry refuses.
func (entry *Entry) adoptVerdicts(verdicts []greengageroute.QuarantineVerdict, now time.Time) {
	var sound []greengageroute.CrashCause
	for _, verdict := range verdicts {
		if entry.quarantine.Adopt(verdict, now) {
			sound = append(sound, verdict.Cause)
		}
	}
	if len(sound) > 0 {
		entry.ReportSound(sound)
	}
}

func (entry *Entry) logQuarantine(change greengageroute.QuarantineChange) {
	entry.log.Info("quarantine changed", "cause", change.Cause.String(), "refused", change.Refused, "reason", change.Reason, "crashes", change.Crashes, "requests", change.Requests)
}

// HealthyGroups implements peer.Delegate.
func (entry *Entry) HealthyGroups() peer.Pong {
	now := time.Now()
	pong := entry.healthGossip.collect(now)
	verdicts := entry.quarantine.Verdicts(now)
	pong.Quarantined = verdicts[:min(len(verdicts), maxGossipVerdicts)]
	return pong
}

// ReceiveHealthyGroups implements peer.Delegate.
func (entry *Entry) ReceiveHealthyGroups(_ peer.MemberInfo, pong peer.Pong, sentAt time.Time) {
	entry.healthGossip.receive(pong, sentAt)
	entry.adoptVerdicts(pong.Quarantined, sentAt)
}

// Available implements caller.State.
func (entry *Entry) Available(model string, now time.Time) []greengageroute.GroupCandidate {
	var candidates []greengageroute.GroupCandidate
	streams := 0
	if declared, err := entry.Config().Model(model); err == nil {
		streams = declared.Streams
	}
	for _, group := range entry.Fleet().Groups {
		if group.Model != model {
			continue
		}
		result, reason := entry.availability(group, now)
		if reason == "" {
			candidates = append(candidates, greengageroute.GroupCandidate{
				Group: group, Streams: streams, ReportedStreams: result.Streams, ReportAge: now.Sub(result.At),
			})
		}
	}
	return candidates
}

// HealthyUntil implements caller.State.
func (entry *Entry) HealthyUntil(group greengageroute.Group) time.Time {
	return entry.probeResults.HealthyUntil(group)
}

// availability returns the group's probe result, and the reason why the group may
// not run requests, or an empty reason.
func (entry *Entry) availability(group greengageroute.Group, now time.Time) (greengageroute.ProbeResult, string) {
	config := entry.Config()
	if config.Draining(greengageroute.DrainGroup, group.Name) {
		return greengageroute.ProbeResult{}, "an operator drains it"
	}
	for _, member := range group.Members {
		if entry.leaving.has(member.VM, now) || config.Draining(greengageroute.DrainVM, member.VM) {
			return greengageroute.ProbeResult{}, "VM " + member.VM + " is leaving"
		}
	}
	return entry.probeResults.Available(group, now)
}

// Stopping implements caller.State.
func (entry *Entry) Stopping() bool { return entry.stopping.Load() || !entry.ready.Load() }

// updateSlots sets this entry's part of the groups' capacity, which is shared
// equally by the live entries of the data centre.
func (entry *Entry) updateSlots() {
	config := entry.Config()
	streams := 0
	for _, group := range entry.Fleet().Groups {
		if model, err := config.Model(group.Model); err == nil && group.Ready() {
			streams += model.Streams
		}
	}
	entries := len(entry.members.LiveInDataCentre())
	entry.chatAdmission.SetSlots(max((streams+entries-1)/entries, 1))
	entry.router.SetPeers(entries - 1)
}

// newCallerService returns the service that answers callers.
func (entry *Entry) newCallerService(ctx context.Context) *caller.Service {
	return caller.New(caller.Dependencies{
		Entry: entry.settings.Name, State: entry, Targets: entry.targets, Actions: entry.actions(ctx),
		ChatAdmission: entry.chatAdmission, CallAdmission: entry.callAdmission, Quarantine: entry.quarantine, Router: entry.router, InFlight: entry.inFlight,
		EventKey: entry.eventKey, Counters: entry.counters, Log: entry.log.WithName("caller"),
	})
}

// groupStatus returns a group's state and its reason, as shown to operators.
func (entry *Entry) groupStatus(group greengageroute.Group) (state, reason string) {
	_, reason = entry.availability(group, time.Now())
	switch {
	case group.Draining:
		return "draining", reason
	case reason != "":
		return "out", reason
	}
	return "serving", fmt.Sprintf("assignment %d", group.Generation)
}
