package peer

import (
	"slices"
	"time"
)

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
