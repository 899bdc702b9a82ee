package edge

import (
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// suspicionTTL is how long a suspicion counts: longer than probes of the members and the
	// message of their result take.
	suspicionTTL = time.Second
	// suspicionRepeatTime is how long the same suspicion may be repeated by other entries and
	// their relays: a second each.
	suspicionRepeatTime = 3 * time.Second
	// probeWait is how long an entry that was told of a silent replica leaves the probes of its
	// members to the entry that told it: two probes of 110 ms, a check of the links and the
	// messages of two relays.
	probeWait = 400 * time.Millisecond
)

type (
	// replicaSuspicions are the replicas that may have lost a member, by the word of any entry.
	// A suspicion only makes other replicas preferred.
	replicaSuspicions struct {
		mu    sync.Mutex
		heads map[greengageroute.TargetInstance]replicaSuspicion
	}

	replicaSuspicion struct {
		since time.Time
		told  bool // by this entry
	}
)

func newReplicaSuspicions() *replicaSuspicions {
	return &replicaSuspicions{heads: map[greengageroute.TargetInstance]replicaSuspicion{}}
}

// record records the suspicion of a replica, by its head. It reports whether it is a new one.
func (suspicions *replicaSuspicions) record(head greengageroute.TargetInstance, told bool, now time.Time) bool {
	suspicions.mu.Lock()
	defer suspicions.mu.Unlock()
	for other, suspicion := range suspicions.heads {
		if now.Sub(suspicion.since) > suspicionRepeatTime {
			delete(suspicions.heads, other)
		}
	}
	if _, known := suspicions.heads[head]; known {
		return false
	}
	suspicions.heads[head] = replicaSuspicion{since: now, told: told}
	return true
}

// current returns the suspicion of a replica that counts, and whether there is one.
func (suspicions *replicaSuspicions) current(head greengageroute.TargetInstance, now time.Time) (replicaSuspicion, bool) {
	suspicions.mu.Lock()
	defer suspicions.mu.Unlock()
	suspicion, known := suspicions.heads[head]
	return suspicion, known && now.Sub(suspicion.since) < suspicionTTL
}

// RecordSuspected records that replicas, by their heads, are suspected by other entries.
func (service *Service) RecordSuspected(heads []greengageroute.TargetInstance) {
	for _, head := range heads {
		if service.suspicions.record(head, false, time.Now()) {
			service.Counters.Add(CountSuspicionsReceived, 1)
			service.Log.V(1).Info("replica suspected by another entry", "head", head.ID, "born", head.StartUnixMilli)
		}
	}
}

// isSuspected reports whether a replica is suspected, and no entry has received anything from
// its head since.
func (service *Service) isSuspected(head greengageroute.Target) bool {
	now := time.Now()
	suspicion, suspected := service.suspicions.current(head.Instance(), now)
	return suspected && !service.Peers.Active(head.ID, now.Sub(suspicion.since))
}

// mayProbe reports whether this entry has the members of a silent replica probed now, or leaves
// that to another entry.
func (service *Service) mayProbe(head greengageroute.Target) bool {
	now := time.Now()
	suspicion, suspected := service.suspicions.current(head.Instance(), now)
	return !suspected || suspicion.told || now.Sub(suspicion.since) > probeWait
}

// suspect tells the other entries that a replica is silent, unless they know or this entry's links
// are in doubt: nothing else of the pool has come lately, and a sample of its targets doesn't
// respond.
func (service *Service) suspect(replica greengageroute.Replica, silent time.Duration) {
	head := replica.Head()
	if service.Prober.LostPool(head.Pool) {
		return
	}
	if service.tracker.Silent(head.Pool, silent) {
		go func() {
			if service.Prober.LinksWork(head.Pool) {
				service.reportSuspected(replica, silent)
			}
		}()
		return
	}
	service.reportSuspected(replica, silent)
}

func (service *Service) reportSuspected(replica greengageroute.Replica, silent time.Duration) {
	head := replica.Head()
	if !service.suspicions.record(head.Instance(), true, time.Now()) {
		return
	}
	service.Counters.Add(CountReplicasSuspected, 1)
	service.Log.Info("replica suspected; other entries are told", "replica", replica.Name, "epoch", replica.Epoch, "head", head.ID, "silent-ms", silent.Milliseconds())
	service.Peers.ReportSuspected(head.Instance())
}
