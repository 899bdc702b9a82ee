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
	// PingInterval is the time between the pings that one entry sends.
	PingInterval = 500 * time.Millisecond
	// PingTimeout bounds a ping on one connection.
	PingTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a member can refute that it is dead.
	SuspicionTimeout = 2 * time.Second

	indirectPings        = 2
	maxUpdatesPerMessage = 6
	transmitsPerUpdate   = 12 // times that a rumour is passed on
	// roundsPerRemotePing is how many periods pass between pings to other data centres.
	roundsPerRemotePing = 4
	// roundsPerRejoin is how many periods pass between pings to seeds and dead members.
	roundsPerRejoin = 6
	// contactsPerDataCentre is how many members of each other data centre an entry pings.
	contactsPerDataCentre = 2
	downMemberTTL         = 10 * time.Minute
)

type (
	// Transport sends a message to the entry at an address. Node is one.
	Transport interface {
		Call(ctx context.Context, address string, message Message) (Message, error)
	}

	// Delegate is what the membership carries for the rest of the entry.
	Delegate interface {
		// Revisions returns which documents this entry has.
		Revisions() Revisions
		// ReceiveRevisions is told which documents a member has.
		ReceiveRevisions(from MemberInfo, revisions Revisions)
		// HealthyGroups returns the good news to be passed on.
		HealthyGroups() Pong
		// ReceiveHealthyGroups takes good news in; asked is when the question was sent.
		ReceiveHealthyGroups(from MemberInfo, pong Pong, askedAt time.Time)
	}

	// Membership knows which entries there are and which are alive: each pings
	// one other a period, asks others to try before it suspects one, and passes
	// rumours on in its pings. What it costs does not grow with the number of
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
		transmits int // times that the rumour was passed on
		revisions Revisions
	}

	// MemberStatus is what is known of a member.
	MemberStatus struct {
		MemberInfo
		Revisions Revisions
		ChangedAt time.Time
	}
)

// NewMembership returns the membership of one entry that knows only its seeds,
// the addresses of entries to join by.
func NewMembership(self MemberInfo, seeds []string, transport Transport, delegate Delegate) *Membership {
	return &Membership{
		transport: transport, delegate: delegate, self: self, members: map[string]*member{},
		seeds: slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == self.Address }),
	}
}

// Self returns what this entry tells of itself.
func (membership *Membership) Self() MemberInfo {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	return membership.self
}

// Run joins and pings until the context ends.
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

// Leave tells a few members of each data centre that this entry leaves.
func (membership *Membership) Leave(ctx context.Context) {
	membership.mu.Lock()
	membership.self.State = Left
	membership.self.Incarnation++
	membership.mu.Unlock()
	var calls sync.WaitGroup
	for _, other := range membership.Alive() {
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

// All returns every known member but this entry, sorted by name.
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

// Alive returns the members that are alive or only suspected.
func (membership *Membership) Alive() []MemberStatus {
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

// LiveInDataCentre returns the names of the live entries of this data centre, this one
// included.
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

// RemoteAddresses returns the addresses of a few live entries of other data centres, in an
// order of the key's.
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

// PushAddresses returns the addresses to which news is pushed at once: every live
// entry of this data centre and, if the news began here, a few of each other.
func (membership *Membership) PushAddresses(toRemote bool) []string {
	var addresses []string
	for _, other := range membership.Alive() {
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
