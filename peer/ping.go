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

// nextInDataCentre returns the member of this data centre to ping in a round: the
// member 1, 2, 4, 8 and so on positions after this entry in the order of names.
// Each entry pings, and is pinged by, few others. An update reaches twice as many
// entries after each round, so the time until it has reached all is bounded.
func (membership *Membership) nextInDataCentre(round int) (MemberInfo, bool) {
	self := membership.Self()
	members := slices.DeleteFunc(membership.AliveOrSuspected(), func(other MemberStatus) bool { return other.DataCentre != self.DataCentre })
	if len(members) == 0 {
		return MemberInfo{}, false
	}
	position, _ := slices.BinarySearchFunc(members, self.Name, func(other MemberStatus, name string) int { return cmp.Compare(other.Name, name) })
	distances := bits.Len(uint(len(members)))
	distance := 1 << (round % distances)
	return members[(position+distance-1)%len(members)].MemberInfo, true
}

// nextRemote returns the remote member to ping in a round. The rounds cycle
// through the few members that this entry pings in each remote data centre.
func (membership *Membership) nextRemote(round int) (MemberInfo, bool) {
	var contacts []MemberInfo
	for _, names := range membership.remoteNames() {
		for _, name := range greengageroute.Rendezvous(membership.self.Name, names, contactsPerDataCentre) {
			if known, ok := membership.Member(name); ok {
				contacts = append(contacts, known.MemberInfo)
			}
		}
	}
	if len(contacts) == 0 {
		return MemberInfo{}, false
	}
	slices.SortFunc(contacts, func(a, b MemberInfo) int { return cmp.Compare(a.Name, b.Name) })
	return contacts[round%len(contacts)], true
}

// remoteNames returns the names of the members of each remote data centre that
// are alive or suspected, by data centre.
func (membership *Membership) remoteNames() map[string][]string {
	names := map[string][]string{}
	for _, other := range membership.All() {
		if other.DataCentre != membership.self.DataCentre && other.State <= Suspect {
			names[other.DataCentre] = append(names[other.DataCentre], other.Name)
		}
	}
	return names
}

// nextRejoinAddress returns the address of a random dead member or of a seed that
// is not a live member. Pinging it detects that a network partition has healed.
func (membership *Membership) nextRejoinAddress() (string, bool) {
	live := greengageroute.Set[string]{}
	var addresses []string
	for _, other := range membership.All() {
		if other.State == Alive {
			live.Add(other.Address)
		} else if other.State == Dead {
			addresses = append(addresses, other.Address)
		}
	}
	for _, seed := range membership.seeds {
		if !live.Has(seed) {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// probe pings a member, a second time over a new connection if the open one
// fails, then through other members. It marks the member as suspect if all fail.
func (membership *Membership) probe(ctx context.Context, other MemberInfo) {
	for range 2 {
		if membership.ping(ctx, other.Address, &Ping{}) {
			return
		}
	}
	if !membership.probeIndirectly(ctx, other) {
		membership.ApplyUpdate(MemberInfo{
			Name: other.Name, Address: other.Address, DataCentre: other.DataCentre,
			Incarnation: other.Incarnation, State: Suspect,
		})
	}
}

// ReachableDataCentres pings a few members of each remote data centre and returns
// the data centres of which a member responded.
func (membership *Membership) ReachableDataCentres(ctx context.Context) greengageroute.Set[string] {
	var mu sync.Mutex
	var pings sync.WaitGroup
	reached := greengageroute.Set[string]{}
	for centre, names := range membership.remoteNames() {
		for _, name := range names[:min(contactsPerDataCentre, len(names))] {
			known, ok := membership.Member(name)
			if !ok {
				continue
			}
			pings.Go(func() {
				if membership.ping(ctx, known.Address, &Ping{}) {
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

// probeIndirectly asks other members of this data centre to ping a member and
// reports whether a ping of theirs succeeded.
func (membership *Membership) probeIndirectly(ctx context.Context, other MemberInfo) bool {
	var helpers []MemberInfo
	for _, candidate := range membership.AliveOrSuspected() {
		if candidate.DataCentre == membership.self.DataCentre && candidate.Name != other.Name {
			helpers = append(helpers, candidate.MemberInfo)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(indirectPings, len(helpers))]
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 3*PingTimeout)
			defer cancel()
			message := membership.newGossipMessage()
			message.PingFor = &PingFor{Address: other.Address}
			reply, err := membership.transport.Call(ctx, helper.Address, message)
			results <- err == nil && reply.Pong != nil
		}()
	}
	for range helpers {
		if <-results {
			return true
		}
	}
	return false
}

// ping pings an address, applies the updates in the reply, and reports whether
// a reply came.
func (membership *Membership) ping(ctx context.Context, address string, ping *Ping) bool {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	message := membership.newGossipMessage()
	message.Ping = ping
	sentAt := time.Now()
	reply, err := membership.transport.Call(ctx, address, message)
	if err != nil {
		return false
	}
	membership.applyMessage(reply)
	if reply.Pong != nil {
		membership.delegate.ReceiveHealthyGroups(reply.From, *reply.Pong, sentAt)
	}
	return true
}

// HandlePing returns the reply to a ping or to a request to ping another member.
// Only members of the same data centre get healthy probe results.
func (membership *Membership) HandlePing(ctx context.Context, message Message) Message {
	membership.applyMessage(message)
	reply := membership.newGossipMessage()
	switch {
	case message.PingFor != nil:
		if membership.ping(ctx, message.PingFor.Address, &Ping{}) {
			reply.Pong = &Pong{}
		}
	case message.Ping != nil:
		pong := Pong{}
		if message.From.DataCentre == membership.self.DataCentre {
			pong = membership.delegate.HealthyGroups()
		}
		reply.Pong = &pong
		if message.Ping.Join {
			reply.MemberUpdates = membership.allMembers()
		}
	}
	return reply
}
