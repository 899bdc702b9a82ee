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
	// pollers is how many entries of a data centre read the platform.
	pollersPerDataCentre = 2
	// joinWait is how long a new entry without the platform listens to its
	// peers before it serves.
	peerSyncDelay = 1500 * time.Millisecond
)

type (
	// documents holds what all entries share: the configuration, and the fleet
	// of the data centre. Neither is ever replaced by an older one.
	documents struct {
		mu      sync.Mutex // held while one is replaced
		config  atomic.Pointer[greengageroute.Config]
		fleet   atomic.Pointer[greengageroute.Fleet]
		fetchMu sync.Mutex
	}
)

func newDocuments(dataCentre string) *documents {
	documents := &documents{}
	empty, _ := greengageroute.NewConfig(0, nil) // no file, no fault
	documents.config.Store(empty)
	documents.fleet.Store(&greengageroute.Fleet{DataCentre: dataCentre})
	return documents
}

// adoptConfig puts a configuration in force if it is newer.
func (documents *documents) adoptConfig(config *greengageroute.Config) bool {
	documents.mu.Lock()
	defer documents.mu.Unlock()
	if config.Revision() <= documents.config.Load().Revision() {
		return false
	}
	documents.config.Store(config)
	return true
}

// adoptFleet takes a fleet if it is newer.
func (documents *documents) adoptFleet(fleet greengageroute.Fleet) bool {
	documents.mu.Lock()
	defer documents.mu.Unlock()
	if fleet.Revision <= documents.fleet.Load().Revision {
		return false
	}
	documents.fleet.Store(&fleet)
	return true
}

// Config returns the configuration in force here.
func (entry *Entry) Config() *greengageroute.Config { return entry.documents.config.Load() }

// Fleet returns the fleet of the data centre as known here.
func (entry *Entry) Fleet() greengageroute.Fleet { return *entry.documents.fleet.Load() }

// Revisions implements peer.Documents.
func (entry *Entry) Revisions() peer.Revisions {
	return peer.Revisions{Config: entry.Config().Revision(), Fleet: entry.Fleet().Revision}
}

// syncLoop reads the platform at the start, and later if this entry is one of
// the data centre's pollers.
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

// chosen tells whether this entry is one of the few of its data centre that
// carry a task.
func (entry *Entry) isSelected(task string, count int) bool {
	return slices.Contains(greengageroute.Rendezvous(task, entry.members.Near(), count), entry.settings.Name)
}

// poll reads the configuration from the platform, and the fleet too at the
// start.
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

// adoptConfig puts a configuration in force and tells others of it.
func (entry *Entry) adoptConfig(ctx context.Context, config *greengageroute.Config, scope pushScope) {
	if !entry.documents.adoptConfig(config) {
		return
	}
	entry.counters.Add(CountConfigAdopted, 1)
	entry.log.Info("configuration in force", "revision", config.Revision())
	entry.push(ctx, peer.News{}, scope)
}

func (entry *Entry) adoptFleet(ctx context.Context, fleet greengageroute.Fleet) {
	if !entry.documents.adoptFleet(fleet) {
		return
	}
	entry.counters.Add(CountFleetAdopted, 1)
	entry.updateSlots()
	if entry.lease.Held().Holds(time.Now(), 0) {
		entry.push(ctx, peer.News{}, scopeDataCentre)
	}
}

// Heard implements peer.Documents: a member with a newer document is asked for it.
func (entry *Entry) Heard(from peer.Info, revisions peer.Revisions) {
	local := entry.Revisions()
	needConfig := revisions.Config > local.Config
	needFleet := from.DataCentre == entry.settings.DataCentre && revisions.Fleet > local.Fleet
	if needConfig || needFleet {
		go entry.fetch(from, needConfig, needFleet)
	}
}

// fetch asks one member at a time for the documents it has and this entry lacks.
func (entry *Entry) fetch(from peer.Info, config, fleet bool) {
	if !entry.documents.fetchMu.TryLock() {
		return
	}
	defer entry.documents.fetchMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if config {
		message := entry.members.Envelope()
		message.FetchConfig = &peer.FetchConfig{After: entry.Config().Revision()}
		entry.fetchConfig(ctx, from, message)
	}
	if fleet {
		message := entry.members.Envelope()
		message.FetchFleet = &peer.FetchFleet{}
		if reply, err := entry.node.Call(ctx, from.Address, message); err == nil && reply.Fleet != nil {
			entry.adoptFleet(ctx, reply.Fleet.Fleet)
		}
	}
}

func (entry *Entry) fetchConfig(ctx context.Context, from peer.Info, message peer.Message) {
	reply, err := entry.node.Call(ctx, from.Address, message)
	if err != nil || reply.ConfigFiles == nil {
		entry.counters.Add(CountFetchFailed, 1)
		return
	}
	base := entry.Config()
	if base.Revision() != message.FetchConfig.After {
		return // adopted another meanwhile; the next message tells what is missing
	}
	config, err := base.WithFiles(reply.ConfigFiles.Revision, reply.ConfigFiles.Files...)
	if err != nil {
		entry.counters.Add(CountFetchFailed, 1)
		return
	}
	scope := scopeNone // who told this entry told the whole data centre
	if from.DataCentre != entry.settings.DataCentre {
		scope = scopeDataCentre
	}
	entry.adoptConfig(ctx, config, scope)
}
