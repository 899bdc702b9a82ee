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
	// leavingTerm is how long an entry takes a VM to be leaving after it heard so.
	leavingTerm = 15 * time.Second
	// leavingRepeat is how often an entry that sees a VM leaving says so again.
	leavingRepeat = 5 * time.Second
)

// Whom news is pushed to.
const (
	nobody     reach = iota
	near             // every live entry of the data centre
	everywhere       // and a few of each other data centre
)

type (
	// reach says whom news is pushed to.
	reach int

	// leavingVMs holds the VMs that were heard to be leaving.
	leavingVMs struct {
		mu    sync.Mutex
		heard map[string]time.Time
		told  map[string]time.Time
	}
)

func newLeavingVMs() *leavingVMs {
	return &leavingVMs{heard: map[string]time.Time{}, told: map[string]time.Time{}}
}

func (leaving *leavingVMs) add(vm string, now time.Time) {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	leaving.heard[vm] = now
}

func (leaving *leavingVMs) has(vm string, now time.Time) bool {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	heard, ok := leaving.heard[vm]
	return ok && now.Sub(heard) < leavingTerm
}

// due tells whether the other entries have to be told again.
func (leaving *leavingVMs) due(vm string, now time.Time) bool {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	if now.Sub(leaving.told[vm]) < leavingRepeat {
		return false
	}
	leaving.told[vm] = now
	return true
}

// noteLeaving takes a VM's leaving in and tells the data centre.
func (entry *Entry) noteLeaving(ctx context.Context, vm string) {
	now := time.Now()
	entry.leaving.add(vm, now)
	if entry.leaving.due(vm, now) {
		entry.push(ctx, peer.PushUpdate{LeavingVMs: []string{vm}}, near)
	}
}

// Handle implements peer.Handler.
func (entry *Entry) Handle(ctx context.Context, message peer.Message) peer.Message {
	switch {
	case message.Ping != nil || message.PingFor != nil:
		return entry.members.HandlePing(ctx, message)
	case message.PushUpdate != nil:
		entry.takeNews(*message.PushUpdate)
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

func (entry *Entry) takeNews(news peer.PushUpdate) {
	now := time.Now()
	for _, bad := range news.Unhealthy {
		entry.verdicts.Record(greengageroute.ProbeResult{Group: bad.Group, Generation: bad.Generation, At: now, Reason: bad.Reason})
	}
	for _, death := range news.Crashes {
		entry.quarantine.RecordCrash(death.Digest, death.Group, now)
	}
	for _, vm := range news.LeavingVMs {
		entry.leaving.add(vm, now)
	}
}

// push sends news at once. What is lost on the way is made up for by the
// revisions in pings and by good news that expires.
func (entry *Entry) push(ctx context.Context, news peer.PushUpdate, reach reach) {
	if reach == nobody {
		return
	}
	message := entry.members.NewMessage()
	message.PushUpdate = &news
	for _, address := range entry.members.PushAddresses(reach == everywhere) {
		entry.counters.Add(CountNews, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), newsTimeout)
			defer cancel()
			if _, err := entry.node.Call(ctx, address, message); err != nil {
				entry.counters.Add(CountNewsFailed, 1)
			}
		}()
	}
}

// groupLost stops the requests on a group of which bad news arrived.
func (entry *Entry) groupLost(verdict greengageroute.ProbeResult) {
	entry.flights.CancelGroup(verdict.Group, verdict.Generation, verdict.Reason)
	entry.counters.Add(CountGroupsLost, 1)
	entry.log.Info("group out of service", "group", verdict.Group, "number", verdict.Generation, "reason", verdict.Reason)
	if verdict.Local {
		bad := peer.UnhealthyGroup{Group: verdict.Group, Generation: verdict.Generation, Reason: verdict.Reason}
		entry.push(context.Background(), peer.PushUpdate{Unhealthy: []peer.UnhealthyGroup{bad}}, near)
	}
}

// RecordGroupFailure implements caller.State.
func (entry *Entry) RecordGroupFailure(group greengageroute.Group, reason string) {
	entry.verdicts.Record(greengageroute.ProbeResult{Group: group.Name, Generation: group.Generation, At: time.Now(), Reason: reason, Local: true})
}

// ReportCrash implements caller.State.
func (entry *Entry) ReportCrash(digest, death string) {
	entry.push(context.Background(), peer.PushUpdate{Crashes: []peer.CrashReport{{Digest: digest, Group: death}}}, everywhere)
}

// HealthyGroups implements peer.Documents.
func (entry *Entry) HealthyGroups() peer.Pong { return entry.good.tell(time.Now()) }

// ReceiveHealthyGroups implements peer.Documents.
func (entry *Entry) ReceiveHealthyGroups(_ peer.MemberInfo, pong peer.Pong, asked time.Time) {
	entry.good.hear(pong, asked)
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
		verdict, reason := entry.servable(group, now)
		if reason == "" {
			candidates = append(candidates, greengageroute.GroupCandidate{
				Group: group, Streams: streams, ReportedStreams: verdict.Streams, ReportAge: now.Sub(verdict.At),
			})
		}
	}
	return candidates
}

// HealthyUntil implements caller.State.
func (entry *Entry) HealthyUntil(group greengageroute.Group) time.Time {
	return entry.verdicts.HealthyUntil(group)
}

func (entry *Entry) servable(group greengageroute.Group, now time.Time) (greengageroute.ProbeResult, string) {
	config := entry.Config()
	if config.Draining(greengageroute.DrainGroup, group.Name) {
		return greengageroute.ProbeResult{}, "an operator drains it"
	}
	for _, member := range group.Members {
		if entry.leaving.has(member.VM, now) || config.Draining(greengageroute.DrainVM, member.VM) {
			return greengageroute.ProbeResult{}, "VM " + member.VM + " is leaving"
		}
	}
	return entry.verdicts.Available(group, now)
}

// Stopping implements caller.State.
func (entry *Entry) Stopping() bool { return entry.stopping.Load() || !entry.joined.Load() }

// setSlots shares the groups' capacity out over the live entries.
func (entry *Entry) setSlots() {
	config := entry.Config()
	streams := 0
	for _, group := range entry.Fleet().Groups {
		if model, err := config.Model(group.Model); err == nil && group.Ready() {
			streams += model.Streams
		}
	}
	entries := len(entry.members.LiveInDataCentre())
	entry.chats.SetSlots(max((streams+entries-1)/entries, 1))
	entry.router.SetPeers(entries - 1)
}

// service returns the caller's side of the entry.
func (entry *Entry) service(ctx context.Context) *caller.Service {
	return caller.New(caller.Dependencies{
		Entry: entry.settings.Name, State: entry, Targets: entry.targets, Actions: entry.actions(ctx),
		ChatAdmission: entry.chats, CallAdmission: entry.calls, Quarantine: entry.quarantine, Router: entry.router, InFlight: entry.flights,
		EventKey: entry.events, Counters: entry.counters, Log: entry.log.WithName("caller"),
	})
}

// describe tells how the entry sees a group.
func (entry *Entry) describe(group greengageroute.Group) (state, reason string) {
	_, reason = entry.servable(group, time.Now())
	switch {
	case group.Draining:
		return "draining", reason
	case reason != "":
		return "out", reason
	}
	return "serving", fmt.Sprintf("assignment %d", group.Generation)
}
