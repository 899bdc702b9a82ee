package peer

import (
	"slices"
	"time"
)

// NewMessage returns a message that carries this entry's revisions.
func (membership *Membership) NewMessage() Message {
	return Message{From: membership.Self(), Revisions: membership.delegate.Revisions()}
}

func (membership *Membership) newGossipMessage() Message {
	message := membership.NewMessage()
	membership.mu.Lock()
	defer membership.mu.Unlock()
	message.MemberUpdates = membership.nextUpdates()
	return message
}

// nextUpdates returns the updates that were sent least often and counts them as
// sent. The caller holds the lock.
func (membership *Membership) nextUpdates() []MemberInfo {
	var pending []*member
	for _, known := range membership.members {
		if known.transmits < transmitsPerUpdate {
			pending = append(pending, known)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int { return a.transmits - b.transmits })
	pending = pending[:min(maxUpdatesPerMessage, len(pending))]
	infos := make([]MemberInfo, 0, len(pending))
	for _, known := range pending {
		known.transmits++
		infos = append(infos, known.info)
	}
	return infos
}

func (membership *Membership) allMembers() []MemberInfo {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	infos := make([]MemberInfo, 0, len(membership.members))
	for _, known := range membership.members {
		infos = append(infos, known.info)
	}
	return infos
}

// applyMessage applies what a message reports about its sender and other members.
func (membership *Membership) applyMessage(message Message) {
	membership.ApplyUpdate(message.From)
	for _, update := range message.MemberUpdates {
		membership.ApplyUpdate(update)
	}
	membership.mu.Lock()
	known, ok := membership.members[message.From.Name]
	if ok {
		known.revisions.Config = max(known.revisions.Config, message.Revisions.Config)
		known.revisions.Fleet = max(known.revisions.Fleet, message.Revisions.Fleet)
	}
	membership.mu.Unlock()
	membership.delegate.ReceiveRevisions(message.From, message.Revisions)
}

// ApplyUpdate applies a gossip update if it overrides what is known of the member.
// An update that reports this entry as not alive is refuted by a higher
// incarnation.
func (membership *Membership) ApplyUpdate(update MemberInfo) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	if update.Name == membership.self.Name {
		if update.State != Alive && update.Incarnation >= membership.self.Incarnation && membership.self.State == Alive {
			membership.self.Incarnation = update.Incarnation + 1
		}
		return
	}
	known, ok := membership.members[update.Name]
	if !ok {
		if update.State < Dead {
			membership.members[update.Name] = &member{info: update, changedAt: time.Now()}
		}
		return
	}
	if !overrides(update, known.info) {
		return
	}
	if update.Incarnation != known.info.Incarnation {
		known.revisions = Revisions{}
	}
	known.info = update
	known.changedAt = time.Now()
	known.transmits = 0
}

// overrides reports whether an update replaces what is known of the member: a
// higher incarnation wins, then the later state in the order of the constants.
func overrides(update, known MemberInfo) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}

// expireMembers declares suspected members dead after SuspicionTimeout and removes
// dead and left members after downMemberTTL.
func (membership *Membership) expireMembers(now time.Time) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	for name, known := range membership.members {
		age := now.Sub(known.changedAt)
		switch {
		case known.info.State == Suspect && age > SuspicionTimeout:
			known.info.State = Dead
			known.changedAt = now
			known.transmits = 0
		case known.info.State >= Dead && age > downMemberTTL:
			delete(membership.members, name)
		}
	}
}
