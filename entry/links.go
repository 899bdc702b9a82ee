package entry

import (
	"context"
	"math/rand/v2"

	greengageroute "greengageroute.example/greengageroute"
)

// linkWitnesses is how many VMs of other groups are probed before this entry takes a group
// for unhealthy whose members don't answer.
const linkWitnesses = 4

// linksWork reports whether at least half of some VMs of other groups answer this entry. If
// they don't, it is this entry that is cut off, and its probes say nothing about groups.
func (entry *Entry) linksWork(ctx context.Context, failed greengageroute.Group) bool {
	var others []string
	for _, group := range entry.Fleet().Groups {
		if group.Name == failed.Name || !group.Ready() {
			continue
		}
		for _, member := range group.Members {
			others = append(others, member.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	witnesses := others[:min(linkWitnesses, len(others))]
	answers := make(chan bool, len(witnesses))
	for _, address := range witnesses {
		go func() {
			_, err := entry.targets.ProbeNewConnection(ctx, address)
			entry.counters.Add(CountProbes, 1)
			answers <- err == nil
		}()
	}
	answered := 0
	for pending := len(witnesses); pending > 0 && 2*answered < len(witnesses); pending-- {
		if <-answers {
			answered++
		}
	}
	return 2*answered >= len(witnesses)
}

// unreachableMember reports whether a member of the group doesn't answer.
func unreachableMember(group greengageroute.Group, health map[string]greengageroute.VMHealth) bool {
	for _, member := range group.Members {
		if !health[member.VM].Reachable {
			return true
		}
	}
	return false
}
