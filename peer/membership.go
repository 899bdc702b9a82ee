package peer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// PingInterval is the length of a round: each round an entry pings one member
	// of its data centre.
	PingInterval = 500 * time.Millisecond
	// PingTimeout limits one ping over one connection.
	PingTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a suspected member has to refute the suspicion
	// before it is declared dead.
	SuspicionTimeout = 2 * time.Second

	indirectPings        = 2 // members asked to ping a member that does not respond
	maxUpdatesPerMessage = 6
	transmitsPerUpdate   = 12 // times that an entry sends the same gossip update
	// roundsPerRemotePing is the number of rounds between pings to other data centres.
	roundsPerRemotePing = 4
	// roundsPerRejoin is the number of rounds between join pings to a seed that is
	// not alive or to a dead member.
	roundsPerRejoin = 6
	// contactsPerDataCentre is the number of members of each remote data centre
	// that an entry pings.
	contactsPerDataCentre = 2
	downMemberTTL         = 10 * time.Minute // a dead or left member is listed for this long
)

type (
	// Transport calls other entries. Node implements it over QUIC.
	Transport interface {
		Call(ctx context.Context, address string, message Message) (Message, error)
	}

	// Delegate supplies and receives the data that pings carry for the rest of
	// the entry.
	Delegate interface {
		// Revisions returns the revisions of the documents that this entry has.
		Revisions() Revisions
		// ReceiveRevisions is called with the revisions that a member has.
		ReceiveRevisions(from MemberInfo, revisions Revisions)
		// HealthyGroups returns the healthy probe results to send to a member.
		HealthyGroups() Pong
		// ReceiveHealthyGroups records the healthy probe results of a reply; sentAt
		// is when the ping was sent.
		ReceiveHealthyGroups(from MemberInfo, pong Pong, sentAt time.Time)
	}

	// Membership lists the entries and their states by gossip. Each entry pings
	// one other per round, asks other members to ping a member that does not
	// respond before it suspects it, and sends gossip updates in its pings. The
	// number of calls that an entry makes does not grow with the number of
	// entries.
	Membership struct {
		transport Transport
		delegate  Delegate
		seeds     []string

		mu      sync.Mutex
		self    MemberInfo
		members map[string]*member
		round   int
	}

	member struct {
		info      MemberInfo
		changedAt time.Time
		transmits int // times that this member's current update was sent
		revisions Revisions
	}

	// MemberStatus is what this entry knows about a member.
	MemberStatus struct {
		MemberInfo
		Revisions Revisions
		ChangedAt time.Time
	}
)

// NewMembership returns the membership of one entry. At first it has no members;
// seeds are the addresses of entries through which it joins.
func NewMembership(self MemberInfo, seeds []string, transport Transport, delegate Delegate) *Membership {
	return &Membership{
		transport: transport, delegate: delegate, self: self, members: map[string]*member{},
		seeds: slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == self.Address }),
	}
}

// Self returns what this entry announces about itself.
func (membership *Membership) Self() MemberInfo {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	return membership.self
}

// Run joins through the seeds, then pings members until the context ends.
func (membership *Membership) Run(ctx context.Context) {
	for _, seed := range membership.seeds {
		go membership.ping(ctx, seed, &Ping{Join: true})
	}
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			membership.runRound(ctx)
		}
	}
}

// Leave announces to every member that is alive or suspected that this entry
// leaves, and waits for the pings to return.
func (membership *Membership) Leave(ctx context.Context) {
	membership.mu.Lock()
	membership.self.State = Left
	membership.self.Incarnation++
	membership.mu.Unlock()
	var calls sync.WaitGroup
	for _, other := range membership.AliveOrSuspected() {
		calls.Go(func() { membership.ping(ctx, other.Address, &Ping{}) })
	}
	calls.Wait()
}

func (membership *Membership) runRound(ctx context.Context) {
	membership.expireMembers(time.Now())
	membership.mu.Lock()
	membership.round++
	round := membership.round
	membership.mu.Unlock()
	if next, ok := membership.nextInDataCentre(round); ok {
		go membership.probe(ctx, next)
	}
	if round%roundsPerRemotePing == 0 {
		if remote, ok := membership.nextRemote(round / roundsPerRemotePing); ok {
			go membership.probe(ctx, remote)
		}
	}
	if round%roundsPerRejoin == 0 {
		if address, ok := membership.nextRejoinAddress(); ok {
			go membership.ping(ctx, address, &Ping{Join: true})
		}
	}
}

// All returns every known member except this entry, sorted by name.
func (membership *Membership) All() []MemberStatus {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	all := make([]MemberStatus, 0, len(membership.members))
	for _, known := range membership.members {
		all = append(all, MemberStatus{MemberInfo: known.info, Revisions: known.revisions, ChangedAt: known.changedAt})
	}
	slices.SortFunc(all, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// AliveOrSuspected returns the members in the state Alive or Suspect, sorted by name.
func (membership *Membership) AliveOrSuspected() []MemberStatus {
	return slices.DeleteFunc(membership.All(), func(other MemberStatus) bool { return other.State > Suspect })
}

// Member returns a member by name.
func (membership *Membership) Member(name string) (MemberStatus, bool) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	known, ok := membership.members[name]
	if !ok {
		return MemberStatus{}, false
	}
	return MemberStatus{MemberInfo: known.info, Revisions: known.revisions, ChangedAt: known.changedAt}, true
}

// LiveInDataCentre returns the sorted names of the live entries of this data
// centre, including this entry.
func (membership *Membership) LiveInDataCentre() []string {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	names := []string{membership.self.Name}
	for name, known := range membership.members {
		if known.info.DataCentre == membership.self.DataCentre && known.info.State == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RemoteAddresses returns the addresses of a few live entries of each remote data
// centre, ordered by rendezvous hashing of the key.
func (membership *Membership) RemoteAddresses(key string) []string {
	addressOf := map[string]string{}
	var names []string
	for _, others := range membership.remoteNames() {
		for _, name := range greengageroute.Rendezvous(key, others, contactsPerDataCentre) {
			if known, ok := membership.Member(name); ok && known.State == Alive {
				addressOf[name] = known.Address
				names = append(names, name)
			}
		}
	}
	var addresses []string
	for _, name := range greengageroute.Rendezvous(key, names, len(names)) {
		addresses = append(addresses, addressOf[name])
	}
	return addresses
}

// PushAddresses returns the addresses to push an update to: every entry of this
// data centre that is alive or suspected and, if toRemote, a few of each remote
// data centre. toRemote is set on the entry where the update originates.
func (membership *Membership) PushAddresses(toRemote bool) []string {
	var addresses []string
	for _, other := range membership.AliveOrSuspected() {
		if other.DataCentre == membership.self.DataCentre {
			addresses = append(addresses, other.Address)
		}
	}
	if !toRemote {
		return addresses
	}
	for _, names := range membership.remoteNames() {
		for _, name := range greengageroute.Rendezvous(membership.self.Name, names, contactsPerDataCentre) {
			if known, ok := membership.Member(name); ok {
				addresses = append(addresses, known.Address)
			}
		}
	}
	return addresses
}
