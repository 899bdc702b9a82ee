package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
)

const (
	// pollersPerDataCentre is how many entries of a data centre poll the platform.
	pollersPerDataCentre = 2
	// peerSyncDelay is how long a new entry that cannot reach the platform waits
	// for documents from its peers before it serves.
	peerSyncDelay = 1500 * time.Millisecond
)

type (
	// documents holds what all entries share: the configuration, and the fleet
	// of the data centre. Neither is ever replaced by an older revision.
	documents struct {
		mu      sync.Mutex // held while a document is replaced
		config  atomic.Pointer[greengageroute.Config]
		fleet   atomic.Pointer[greengageroute.Fleet]
		fetchMu sync.Mutex
	}
)

func newDocuments(dataCentre string) *documents {
	documents := &documents{}
	empty, _ := greengageroute.NewConfig(0, nil) // without files there are no diagnostics
	documents.config.Store(empty)
	documents.fleet.Store(&greengageroute.Fleet{DataCentre: dataCentre})
	return documents
}

// adoptConfig replaces the configuration if the given revision is newer, and
// reports whether it did.
func (documents *documents) adoptConfig(config *greengageroute.Config) bool {
	documents.mu.Lock()
	defer documents.mu.Unlock()
	if config.Revision() <= documents.config.Load().Revision() {
		return false
	}
	documents.config.Store(config)
	return true
}

// adoptFleet replaces the fleet if the given revision is newer, and reports
// whether it did.
func (documents *documents) adoptFleet(fleet greengageroute.Fleet) bool {
	documents.mu.Lock()
	defer documents.mu.Unlock()
	if fleet.Revision <= documents.fleet.Load().Revision {
		return false
	}
	documents.fleet.Store(&fleet)
	return true
}

// Config returns the latest configuration that this entry knows.
func (entry *Entry) Config() *greengageroute.Config { return entry.documents.config.Load() }

// Fleet returns the latest fleet of the data centre that this entry knows.
func (entry *Entry) Fleet() greengageroute.Fleet { return *entry.documents.fleet.Load() }

// Revisions implements peer.Delegate.
func (entry *Entry) Revisions() peer.Revisions {
	return peer.Revisions{Config: entry.Config().Revision(), Fleet: entry.Fleet().Revision}
}

// syncLoop polls the platform at the start, until the entry is ready, and then
// while this entry is one of the data centre's pollers.
func (entry *Entry) syncLoop(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(2 * tick)
	defer ticker.Stop()
	for first := true; ; first = false {
		if first || !entry.ready.Load() || entry.isSelected("poll", pollersPerDataCentre) {
			entry.poll(ctx, first)
		}
		if time.Since(started) > peerSyncDelay && entry.Config().Revision() > 0 {
			entry.ready.Store(true)
		}
		entry.updateSlots()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isSelected reports whether this entry is one of the count live entries of its
// data centre that perform the task.
func (entry *Entry) isSelected(task string, count int) bool {
	return slices.Contains(greengageroute.Rendezvous(task, entry.members.LiveInDataCentre(), count), entry.settings.Name)
}

// poll reads the configuration from the platform, and also the fleet at the start
// and while none is known.
func (entry *Entry) poll(ctx context.Context, first bool) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	config, err := entry.configs.Latest(ctx, entry.Config())
	if err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	entry.ready.Store(true)
	entry.adoptConfig(ctx, config, scopeDataCentre)
	if first || entry.Fleet().Revision == 0 {
		if fleet, err := entry.fleets.Latest(ctx, entry.settings.DataCentre); err == nil {
			entry.adoptFleet(ctx, fleet)
		}
	}
}

// adoptConfig adopts a newer configuration and pushes its revision to peers in the
// scope.
func (entry *Entry) adoptConfig(ctx context.Context, config *greengageroute.Config, scope pushScope) {
	if !entry.documents.adoptConfig(config) {
		return
	}
	entry.counters.Add(CountConfigAdopted, 1)
	entry.log.Info("configuration adopted", "revision", config.Revision())
	entry.push(ctx, peer.PushUpdate{}, scope)
}

// adoptFleet adopts a newer fleet. The planner pushes its revision to the data
// centre.
func (entry *Entry) adoptFleet(ctx context.Context, fleet greengageroute.Fleet) {
	if !entry.documents.adoptFleet(fleet) {
		return
	}
	entry.counters.Add(CountFleetAdopted, 1)
	entry.updateSlots()
	if entry.lease.Held().Holds(time.Now(), 0) {
		entry.push(ctx, peer.PushUpdate{}, scopeDataCentre)
	}
}

// ReceiveRevisions implements peer.Delegate: it fetches newer documents from the
// member.
func (entry *Entry) ReceiveRevisions(from peer.MemberInfo, revisions peer.Revisions) {
	local := entry.Revisions()
	needConfig := revisions.Config > local.Config
	needFleet := from.DataCentre == entry.settings.DataCentre && revisions.Fleet > local.Fleet
	if needConfig || needFleet {
		go entry.fetch(from, needConfig, needFleet)
	}
}

// fetch fetches newer documents from a member. It does nothing while another fetch
// runs.
func (entry *Entry) fetch(from peer.MemberInfo, config, fleet bool) {
	if !entry.documents.fetchMu.TryLock() {
		return
	}
	defer entry.documents.fetchMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if config {
		message := entry.members.NewMessage()
		message.FetchConfig = &peer.FetchConfig{After: entry.Config().Revision()}
		entry.fetchConfig(ctx, from, message)
	}
	if fleet {
		message := entry.members.NewMessage()
		message.FetchFleet = &peer.FetchFleet{}
		if reply, err := entry.node.Call(ctx, from.Address, message); err == nil && reply.Fleet != nil {
			entry.adoptFleet(ctx, reply.Fleet.Fleet)
		}
	}
}

func (entry *Entry) fetchConfig(ctx context.Context, from peer.MemberInfo, message peer.Message) {
	reply, err := entry.node.Call(ctx, from.Address, message)
	if err != nil || reply.ConfigFiles == nil {
		entry.counters.Add(CountFetchFailed, 1)
		return
	}
	base := entry.Config()
	if base.Revision() != message.FetchConfig.After {
		return // another revision was adopted meanwhile; the next message carries the member's revisions
	}
	config, err := base.WithFiles(reply.ConfigFiles.Revision, reply.ConfigFiles.Files...)
	if err != nil {
		entry.counters.Add(CountFetchFailed, 1)
		return
	}
	scope := scopeNone // a sender in this data centre pushes to all its entries
	if from.DataCentre != entry.settings.DataCentre {
		scope = scopeDataCentre
	}
	entry.adoptConfig(ctx, config, scope)
}
