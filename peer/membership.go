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
	// Period is the time between the pings that one entry sends.
	Period = 500 * time.Millisecond
	// PingTimeout bounds a ping on one connection.
	PingTimeout = 400 * time.Millisecond
	// SuspicionTerm is how long a member can refute that it is dead.
	SuspicionTerm = 2 * time.Second

	indirectPings = 2
	rumoursSent   = 6
	rumourSends   = 12 // times that a rumour is passed on
	// farEvery is how many periods pass between pings to other data centres.
	farEvery = 4
	// retryEvery is how many periods pass between pings to seeds and dead members.
	retryEvery = 6
	// farContacts is how many members of each other data centre an entry pings.
	farContacts = 2
	forgetAfter = 10 * time.Minute
)

type (
	// Caller sends a message to the entry at an address. Node is one.
	Caller interface {
		Call(ctx context.Context, address string, message Message) (Message, error)
	}

	// Documents is what the membership carries for the rest of the entry.
	Documents interface {
		// Revisions returns which documents this entry has.
		Revisions() Revisions
		// Heard is told which documents a member has.
		Heard(from Info, revisions Revisions)
		// Good returns the good news to be passed on.
		Good() Pong
		// HeardGood takes good news in; asked is when the question was sent.
		HeardGood(from Info, pong Pong, asked time.Time)
	}

	// Membership knows which entries there are and which are alive: each pings
	// one other a period, asks others to try before it suspects one, and passes
	// rumours on in its pings. What it costs does not grow with the number of
	// entries.
	Membership struct {
		caller    Caller
		documents Documents
		seeds     []string

		mu      sync.Mutex
		self    Info
		members map[string]*member
		round   int
	}

	member struct {
		info      Info
		changed   time.Time
		passed    int // times that the rumour was passed on
		revisions Revisions
	}

	// Status is what is known of a member.
	Status struct {
		Info
		Revisions Revisions
		Changed   time.Time
	}
)

// NewMembership returns the membership of one entry that knows only its seeds,
// the addresses of entries to join by.
func NewMembership(self Info, seeds []string, caller Caller, documents Documents) *Membership {
	return &Membership{
		caller: caller, documents: documents, self: self, members: map[string]*member{},
		seeds: slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == self.Address }),
	}
}

// Self returns what this entry tells of itself.
func (membership *Membership) Self() Info {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	return membership.self
}

// Run joins and pings until the context ends.
func (membership *Membership) Run(ctx context.Context) {
	for _, seed := range membership.seeds {
		go membership.exchange(ctx, seed, &Ping{Join: true})
	}
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			membership.tick(ctx)
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
		calls.Go(func() { membership.exchange(ctx, other.Address, &Ping{}) })
	}
	calls.Wait()
}

func (membership *Membership) tick(ctx context.Context) {
	membership.expire(time.Now())
	membership.mu.Lock()
	membership.round++
	round := membership.round
	membership.mu.Unlock()
	if next, ok := membership.nextNear(round); ok {
		go membership.probe(ctx, next)
	}
	if round%farEvery == 0 {
		if far, ok := membership.nextFar(round / farEvery); ok {
			go membership.probe(ctx, far)
		}
	}
	if round%retryEvery == 0 {
		if address, ok := membership.lostContact(); ok {
			go membership.exchange(ctx, address, &Ping{Join: true})
		}
	}
}

// All returns every known member but this entry, sorted by name.
func (membership *Membership) All() []Status {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	all := make([]Status, 0, len(membership.members))
	for _, known := range membership.members {
		all = append(all, Status{Info: known.info, Revisions: known.revisions, Changed: known.changed})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Alive returns the members that are alive or only suspected.
func (membership *Membership) Alive() []Status {
	return slices.DeleteFunc(membership.All(), func(other Status) bool { return other.State > SuspectState })
}

// Member returns a member by name.
func (membership *Membership) Member(name string) (Status, bool) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	known, ok := membership.members[name]
	if !ok {
		return Status{}, false
	}
	return Status{Info: known.info, Revisions: known.revisions, Changed: known.changed}, true
}

// Near returns the names of the live entries of this data centre, this one
// included.
func (membership *Membership) Near() []string {
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

// Far returns the addresses of a few live entries of other data centres, in an
// order of the key's.
func (membership *Membership) Far(key string) []string {
	byName := map[string]string{}
	var names []string
	for _, others := range membership.farNames() {
		for _, name := range greengageroute.Rendezvous(key, others, farContacts) {
			if known, ok := membership.Member(name); ok && known.State == Alive {
				byName[name] = known.Address
				names = append(names, name)
			}
		}
	}
	var addresses []string
	for _, name := range greengageroute.Rendezvous(key, names, len(names)) {
		addresses = append(addresses, byName[name])
	}
	return addresses
}

// Relays returns the addresses to which news is pushed at once: every live
// entry of this data centre and, if the news began here, a few of each other.
func (membership *Membership) Relays(far bool) []string {
	var addresses []string
	for _, other := range membership.Alive() {
		if other.DataCentre == membership.self.DataCentre {
			addresses = append(addresses, other.Address)
		}
	}
	if !far {
		return addresses
	}
	for _, names := range membership.farNames() {
		for _, name := range greengageroute.Rendezvous(membership.self.Name, names, farContacts) {
			if known, ok := membership.Member(name); ok {
				addresses = append(addresses, known.Address)
			}
		}
	}
	return addresses
}
