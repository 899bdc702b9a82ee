package greengageroute

import (
	"slices"
	"time"
)

// send sends a request to a replica, which has it wait for a slot.
func (fleet *overloadFleet) send(request *fleetRequest, index int, predicted time.Duration) {
	replica, own, sentAt := fleet.replicas[index], &fleet.own[request.entry][index], fleet.now
	request.replica, request.urgency, request.left = index, 0, request.answer
	request.toPrefill = int(float64(request.prompt) * fleet.load.prefillShare())
	if fleet.urgent {
		request.urgency = fleet.load.kinds[request.kind].rank
	}
	foundSlot := own.Running+fleet.others[request.entry][index].Running < fleetEngine.Slots
	own.Running++
	own.PrefillTokens += request.prompt
	fleet.after(predicted-fleetEngine.IterationTime(fleetEngine.Models[0], fleetEngine.Slots), func() { own.PrefillTokens -= request.prompt })
	position, _ := slices.BinarySearchFunc(replica.queue, request, func(queued, added *fleetRequest) int {
		if queued.urgency <= added.urgency {
			return -1
		}
		return 1
	})
	replica.queue = slices.Insert(replica.queue, position, request)
	if patience := fleet.load.patience(fleet.random); patience > 0 {
		fleet.after(patience, func() {
			if !request.begun && !request.done {
				fleet.finish(replica, request)
				fleet.result.end(fleet, request, false)
			}
		})
	}
	request.begun = false
	fleet.after(time.Millisecond, func() { fleet.iterate(replica) })
	request.record = func() {
		if foundSlot {
			measured := time.Duration(fleet.now-sentAt) * time.Millisecond
			fleet.offsets[request.entry] = fleet.offsets[request.entry].WithSample(measured, predicted)
		}
	}
}

// finish removes a request from its replica.
func (fleet *overloadFleet) finish(replica *fleetReplica, request *fleetRequest) {
	isRequest := func(other *fleetRequest) bool { return other == request }
	replica.queue, replica.running = slices.DeleteFunc(replica.queue, isRequest), slices.DeleteFunc(replica.running, isRequest)
	fleet.own[request.entry][request.replica].Running--
	request.done = true
}

// iterate runs an iteration, and the next one after it.
func (fleet *overloadFleet) iterate(replica *fleetReplica) {
	if replica.busy || replica.gone {
		return
	}
	for len(replica.running) < fleetEngine.Slots && len(replica.queue) > 0 {
		replica.running = append(replica.running, replica.queue[0])
		replica.queue = replica.queue[1:]
	}
	if len(replica.running) == 0 {
		return
	}
	model, budget := fleetEngine.Models[0], fleetEngine.PrefillChunk*fleetEngine.StepsPerIteration
	prefilled := 0
	var decoded []*fleetRequest
	for _, request := range replica.running {
		tokens := min(request.toPrefill, budget-prefilled)
		request.toPrefill -= tokens
		prefilled += tokens
		if request.toPrefill == 0 {
			decoded = append(decoded, request)
		}
	}
	plain := fleetEngine.IterationTime(model, len(replica.running))
	took := time.Duration(float64(plain+fleetEngine.PrefillTime(model, prefilled)) * replica.factor)
	replica.slowdown += 0.3 * (float64(took)/float64(plain) - replica.slowdown)
	replica.busy = true
	fleet.after(took, func() {
		replica.busy = false
		for _, request := range decoded {
			fleet.decode(replica, request)
		}
		fleet.iterate(replica)
	})
}

// decode gives a request the tokens of an iteration.
func (fleet *overloadFleet) decode(replica *fleetReplica, request *fleetRequest) {
	if request.done {
		return
	}
	if !request.begun {
		request.begun = true
		fleet.after(fleetOffset, func() {
			request.record()
			fleet.result.end(fleet, request, true)
		})
	}
	if request.left -= fleetEngine.StepsPerIteration; request.left <= 0 {
		fleet.finish(replica, request)
	}
}

// lose takes a replica out of service; what it runs is lost.
func (fleet *overloadFleet) lose(replica *fleetReplica) {
	for _, request := range slices.Concat(replica.queue, replica.running) {
		fleet.finish(replica, request)
		if !request.begun {
			fleet.result.end(fleet, request, false)
		}
	}
	replica.gone, replica.slowdown = true, 1
}
