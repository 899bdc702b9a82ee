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
