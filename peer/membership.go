package peer

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
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

// nextNear returns the member of this data centre to be pinged in a round: in
// the order of names the one 1, 2, 4, 8 and so on places behind this entry. Each
// entry pings, and is pinged by, few others, and news doubles its reach with each
// round, so that the time in which it has reached all is bounded.
func (membership *Membership) nextNear(round int) (Info, bool) {
	self := membership.Self()
	near := slices.DeleteFunc(membership.Alive(), func(other Status) bool { return other.DataCentre != self.DataCentre })
	if len(near) == 0 {
		return Info{}, false
	}
	behind, _ := slices.BinarySearchFunc(near, self.Name, func(other Status, name string) int { return cmp.Compare(other.Name, name) })
	distances := bits.Len(uint(len(near)))
	distance := 1 << (round % distances)
	return near[(behind+distance-1)%len(near)].Info, true
}

// nextFar returns one of the few contacts in other data centres.
func (membership *Membership) nextFar(round int) (Info, bool) {
	var contacts []Info
	for _, names := range membership.farNames() {
		for _, name := range greengageroute.Rendezvous(membership.self.Name, names, farContacts) {
			if known, ok := membership.Member(name); ok {
				contacts = append(contacts, known.Info)
			}
		}
	}
	if len(contacts) == 0 {
		return Info{}, false
	}
	slices.SortFunc(contacts, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return contacts[round%len(contacts)], true
}

// farNames returns the live members of each other data centre.
func (membership *Membership) farNames() map[string][]string {
	names := map[string][]string{}
	for _, other := range membership.All() {
		if other.DataCentre != membership.self.DataCentre && other.State <= SuspectState {
			names[other.DataCentre] = append(names[other.DataCentre], other.Name)
		}
	}
	return names
}

// lostContact returns the address of a seed that is no live member, or of a dead
// member, so that a healed partition is noticed.
func (membership *Membership) lostContact() (string, bool) {
	live := greengageroute.Set[string]{}
	var lost []string
	for _, other := range membership.All() {
		if other.State == Alive {
			live.Add(other.Address)
		} else if other.State == Dead {
			lost = append(lost, other.Address)
		}
	}
	for _, seed := range membership.seeds {
		if !live.Has(seed) {
			lost = append(lost, seed)
		}
	}
	if len(lost) == 0 {
		return "", false
	}
	return lost[rand.IntN(len(lost))], true
}

// probe pings a member, on a new connection if the kept one fails, then by way
// of others, and suspects it if none of them succeeds.
func (membership *Membership) probe(ctx context.Context, other Info) {
	for range 2 {
		if membership.exchange(ctx, other.Address, &Ping{}) {
			return
		}
	}
	if !membership.reached(ctx, other) {
		membership.Take(Info{
			Name: other.Name, Address: other.Address, DataCentre: other.DataCentre,
			Incarnation: other.Incarnation, State: SuspectState,
		})
	}
}

// Reach pings a few members of each other data centre and returns the data
// centres that answered.
func (membership *Membership) Reach(ctx context.Context) greengageroute.Set[string] {
	var mu sync.Mutex
	var pings sync.WaitGroup
	reached := greengageroute.Set[string]{}
	for centre, names := range membership.farNames() {
		for _, name := range names[:min(farContacts, len(names))] {
			known, ok := membership.Member(name)
			if !ok {
				continue
			}
			pings.Go(func() {
				if membership.exchange(ctx, known.Address, &Ping{}) {
					mu.Lock()
					defer mu.Unlock()
					reached.Add(centre)
				}
			})
		}
	}
	pings.Wait()
	return reached
}

// reached asks other members of this data centre to ping.
func (membership *Membership) reached(ctx context.Context, other Info) bool {
	var helpers []Info
	for _, near := range membership.Alive() {
		if near.DataCentre == membership.self.DataCentre && near.Name != other.Name {
			helpers = append(helpers, near.Info)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(indirectPings, len(helpers))]
	found := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 3*PingTimeout)
			defer cancel()
			message := membership.message()
			message.PingFor = &PingFor{Address: other.Address}
			reply, err := membership.caller.Call(ctx, helper.Address, message)
			found <- err == nil && reply.Pong != nil
		}()
	}
	for range helpers {
		if <-found {
			return true
		}
	}
	return false
}

// exchange pings an address and takes in what the reply carries.
func (membership *Membership) exchange(ctx context.Context, address string, ping *Ping) bool {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	message := membership.message()
	message.Ping = ping
	asked := time.Now()
	reply, err := membership.caller.Call(ctx, address, message)
	if err != nil {
		return false
	}
	membership.learn(reply)
	if reply.Pong != nil {
		membership.documents.HeardGood(reply.From, *reply.Pong, asked)
	}
	return true
}

// Answer handles a ping or a request to ping another.
func (membership *Membership) Answer(ctx context.Context, message Message) Message {
	membership.learn(message)
	reply := membership.message()
	switch {
	case message.PingFor != nil:
		if membership.exchange(ctx, message.PingFor.Address, &Ping{}) {
			reply.Pong = &Pong{}
		}
	case message.Ping != nil:
		good := Pong{}
		if message.From.DataCentre == membership.self.DataCentre {
			good = membership.documents.Good()
		}
		reply.Pong = &good
		if message.Ping.Join {
			reply.Rumours = membership.infos()
		}
	}
	return reply
}

// Envelope returns a message that carries this entry's revisions.
func (membership *Membership) Envelope() Message {
	return Message{From: membership.Self(), Revisions: membership.documents.Revisions()}
}

func (membership *Membership) message() Message {
	message := membership.Envelope()
	membership.mu.Lock()
	defer membership.mu.Unlock()
	message.Rumours = membership.rumours()
	return message
}

// rumours returns the news that was passed on least, and counts it as passed.
func (membership *Membership) rumours() []Info {
	var fresh []*member
	for _, known := range membership.members {
		if known.passed < rumourSends {
			fresh = append(fresh, known)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int { return a.passed - b.passed })
	fresh = fresh[:min(rumoursSent, len(fresh))]
	infos := make([]Info, 0, len(fresh))
	for _, known := range fresh {
		known.passed++
		infos = append(infos, known.info)
	}
	return infos
}

func (membership *Membership) infos() []Info {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	infos := make([]Info, 0, len(membership.members))
	for _, known := range membership.members {
		infos = append(infos, known.info)
	}
	return infos
}

// learn takes in what any message says of its sender and of others.
func (membership *Membership) learn(message Message) {
	membership.Take(message.From)
	for _, rumour := range message.Rumours {
		membership.Take(rumour)
	}
	membership.mu.Lock()
	known, ok := membership.members[message.From.Name]
	if ok {
		known.revisions.Config = max(known.revisions.Config, message.Revisions.Config)
		known.revisions.Fleet = max(known.revisions.Fleet, message.Revisions.Fleet)
	}
	membership.mu.Unlock()
	membership.documents.Heard(message.From, message.Revisions)
}

// Take takes a rumour in if it overrides what is known. A rumour against this
// entry itself is refuted.
func (membership *Membership) Take(info Info) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	if info.Name == membership.self.Name {
		if info.State != Alive && info.Incarnation >= membership.self.Incarnation && membership.self.State == Alive {
			membership.self.Incarnation = info.Incarnation + 1
		}
		return
	}
	known, ok := membership.members[info.Name]
	if !ok {
		if info.State < Dead {
			membership.members[info.Name] = &member{info: info, changed: time.Now()}
		}
		return
	}
	if !overrides(info, known.info) {
		return
	}
	if info.Incarnation != known.info.Incarnation {
		known.revisions = Revisions{}
	}
	known.info = info
	known.changed = time.Now()
	known.passed = 0
}

func overrides(info, known Info) bool {
	if info.Incarnation != known.Incarnation {
		return info.Incarnation > known.Incarnation
	}
	return info.State > known.State
}

// expire declares suspects dead and forgets the dead.
func (membership *Membership) expire(now time.Time) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	for name, known := range membership.members {
		age := now.Sub(known.changed)
		switch {
		case known.info.State == SuspectState && age > SuspicionTerm:
			known.info.State = Dead
			known.changed = now
			known.passed = 0
		case known.info.State >= Dead && age > forgetAfter:
			delete(membership.members, name)
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
