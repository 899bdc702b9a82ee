package edge

import (
	"context"
	"iter"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
)

// Reasons of refusals.
const (
	evacuatedReason = "the targets that serve the request are in evacuated data centres"
	regionReason    = "no target that serves the request is in a region that is permitted for it"
)

// targetFilter says in which data centres the request may be served; nil in all.
func (exchange *exchange) targetFilter(view *control.View) *greengageroute.TargetFilter {
	return greengageroute.NewTargetFilter(view.Evacuated(), exchange.allowed, *exchange.service.regions.Load())
}

// checkPlacement refuses a request that no data centre takes, before its body is read.
func checkPlacement(_ context.Context, exchange *exchange) error { return exchange.placementError() }

// placementError returns the refusal of a request that hasn't run and that no data centre
// takes, else nil. An entry that has lost the pool may not know all of its targets: others are
// asked then.
func (exchange *exchange) placementError() error {
	view := exchange.service.Directory.View()
	filter := exchange.targetFilter(view)
	if filter == nil || exchange.headerSent || exchange.mayHaveRun {
		return nil
	}
	obstacle := filter.Obstacle(exchange.servingDataCentres(view))
	if obstacle == greengageroute.NoObstacle || exchange.isolated() {
		return nil
	}
	counter, reason := CountRefusedEvacuated, evacuatedReason
	if obstacle == greengageroute.NoPermittedRegion {
		counter, reason = CountRefusedRegions, regionReason
	}
	exchange.service.Counters.Add(counter, 1)
	return unavailable(reason, exchange.placementRetryAfter(view))
}

// placementRetryAfter returns the Retry-After time of a request that no data centre takes now.
// A replica may open in a data centre that has other targets. Without them only the operator
// can help, and an entry may know of that as late as the bound of evacuations.
func (exchange *exchange) placementRetryAfter(view *control.View) time.Duration {
	if !exchange.poolIsExcluded(view) {
		return noReplicaRetryAfter
	}
	return max(exchange.service.bounds.Load().EvacuationTime, noReplicaRetryAfter)
}

// poolIsExcluded reports whether no target of the pool is where the request may be served, as
// far as this entry knows.
func (exchange *exchange) poolIsExcluded(view *control.View) bool {
	filter := exchange.targetFilter(view)
	return filter != nil && filter.Obstacle(dataCentresOf(view.Pool(exchange.pool.Name))) != greengageroute.NoObstacle && !exchange.isolated()
}

// servingDataCentres returns the data centres of the targets and heads that serve such
// requests.
func (exchange *exchange) servingDataCentres(view *control.View) iter.Seq[string] {
	if exchange.pool.Engine == nil {
		return dataCentresOf(view.Pool(exchange.pool.Name))
	}
	return func(yield func(dataCentre string) bool) {
		for _, replica := range view.Replicas(exchange.pool.Name, exchange.Model) {
			if !yield(replica.Head().DataCentre) {
				return
			}
		}
	}
}

// dataCentresOf returns the data centres of targets.
func dataCentresOf(targets []greengageroute.Target) iter.Seq[string] {
	return func(yield func(dataCentre string) bool) {
		for _, target := range targets {
			if !yield(target.DataCentre) {
				return
			}
		}
	}
}

// noHelperReason returns the reason of a refusal by an entry that can't forward the request.
func (exchange *exchange) noHelperReason() string {
	const reason = "neither a target nor an entry that reaches one responds"
	if exchange.allowed.PermitsAll() {
		return reason
	}
	return reason + " in a region that is permitted for the request"
}

// mayForwardTo returns a function that reports whether the request's body may be sent to the
// entry with an address; nil if it may be sent to all. Entries in evacuated data centres may
// have it, since they send it to targets elsewhere.
func (exchange *exchange) mayForwardTo() func(address string) bool {
	if exchange.allowed.PermitsAll() {
		return nil
	}
	filter := exchange.targetFilter(exchange.service.Directory.View())
	dataCentres := exchange.service.Peers.EntryDataCentres()
	return func(address string) bool { return filter.PermitsRegionOf(dataCentres[address]) }
}
