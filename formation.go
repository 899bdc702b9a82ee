package greengageroute

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// spareShare is the share of a domain's targets that stays free to replace lost
// members. In a domain of eleven that is one target: it covers a loss every few
// seconds for as long as a replacement takes to load.
const spareShare = 0.08

// Highest join costs (see joinCost) at which a target counts as a spare.
const (
	joinCostStaged  = 1
	joinCostLoading = 3
)

// relistInterval is how far apart the targets of a domain are listed again after
// the domain was cut off: a heartbeat plus the list's lag.
const relistInterval = 2 * time.Second

// rebalanceRatio is the ratio between the lowest and the highest number of targets
// per share of a model below which replicas are dissolved. It is well below 1
// because a dissolved replica's targets have to load weights again.
const rebalanceRatio = 0.4

type (
	// Assignment lists the targets that form a replica or are to form it.
	Assignment struct {
		Name    string
		Epoch   uint64
		Model   string
		Domain  string
		Members []string // by rank
		Opened  bool     // its head has been open under this epoch
	}

	// PoolView is what the planner knows about a pool's targets.
	PoolView struct {
		Pool   string
		Engine *Engine
		// Targets holds the listed targets that were not found unreachable, and the
		// members with Unlisted set.
		Targets map[string]Target
		// HasTraffic reports whether requests have arrived. From then on, loading
		// weights takes its full time.
		HasTraffic bool
		// ColdPerSecond is the rate of requests that a cold target takes; 0: any.
		ColdPerSecond float64
		// Now is the time of the view.
		Now time.Time
		// Absent holds targets that are no longer listed or were found unreachable.
		Absent map[string]Target
		// AbsentSince is since when targets have been absent.
		AbsentSince map[string]time.Time
		// Busy holds targets at which entries have requests in progress. It is only known
		// while targets are absent.
		Busy Set[string]
		// ClosedAt is when the absent head of a replica last said that it doesn't serve it.
		ClosedAt map[ReplicaKey]time.Time
		// SuspectedHeads are the replicas whose absent heads leave orders unanswered while
		// no entry hears from them. They may be silent and go on.
		SuspectedHeads map[ReplicaKey]bool
		// MemberLostAt is when a replica was first known to be without one of its members.
		MemberLostAt map[ReplicaKey]time.Time
		// UnansweredAt is when the absent head of a replica last left an order unanswered.
		UnansweredAt map[ReplicaKey]time.Time
		// StoodStillAt is when the absent head of a replica last took a connection without
		// answering: its process exists, and its clock may have stood still until then.
		StoodStillAt map[ReplicaKey]time.Time
		// StallTimeout is after which a head that has lost a member is broken, by its own
		// clock; 0 if unknown.
		StallTimeout time.Duration
		// PendingOpens holds heads that were sent an order to open and may have
		// opened, though the list doesn't show it yet.
		PendingOpens map[string]ReplicaKey
		// Demand is what callers ask of each model; nil while it isn't known.
		Demand map[string]ModelDemand
		// Left holds targets that accepted an order to join another replica or to
		// leave, with the replica they left, though the list doesn't show it yet.
		Left map[string]ReplicaKey
		// domains holds the targets by fabric domain, and listedHeads the ids of those that
		// head a replica; see Indexed.
		domains     map[string]*domainTargets
		listedHeads map[ReplicaKey]string
	}

	// domainTargets are the targets of one fabric domain.
	domainTargets struct {
		ready       []*Target // ready and listed, sorted by id
		listedSince time.Time
	}

	// ReplicaHead names the head of a replica and its address.
	ReplicaHead struct {
		Replica string `json:"replica"`
		Epoch   uint64 `json:"epoch"`
		ID      string `json:"id"`
		Address string `json:"address"`
		// DataCentre is the head's data centre.
		DataCentre string `json:"data-centre"`
		// Released are members that were told to leave or to join again under a newer epoch
		// although the head may serve.
		Released []ReleasedMember `json:"released,omitempty"`
	}

	// ReleasedMember is a member that left its replica although the head may serve, from one
	// start of its process to the next.
	ReleasedMember struct {
		ID             string `json:"id"`
		StartUnixMilli int64  `json:"start-unix-milli"`
	}

	// damagedAssignment is an assignment to be repaired, with the members that stay.
	damagedAssignment struct {
		Assignment
		survivors []string
		loading   []string // members that don't have the weights yet; the assignment waits for them
	}

	// Formation is the planner's working state. One goroutine changes it in place; it
	// can be rebuilt from what the targets report.
	Formation struct {
		Assignments []Assignment
		firstEpoch  uint64 // epochs up to it are those of earlier planners
		lastEpoch   uint64
		lastName    uint64
		preloads    map[string]preload    // by target id
		heads       map[ReplicaKey]string // heads of all replicas that targets may still be members of
		assigned    Set[string]           // members of the assignments
		// repairing are the assignments that are being repaired, and keep their places meanwhile.
		repairing []Assignment
		names     Set[string]          // of all replicas that were ever assigned here
		dissolved Set[string]          // names of those that made room for another model
		releases  map[string][]release // by target id
		// shares are the targets planned for each model since the last shift by demand; nil
		// before the first.
		shares map[string]float64
		// unshifted are the targets that each model had before the first shift.
		unshifted map[string]float64
		shiftedAt time.Time
	}
)

// NewFormation returns a formation whose epochs start above the given one. It
// adopts the replicas that the targets report.
func NewFormation(view PoolView, epoch uint64) *Formation {
	formation := &Formation{
		firstEpoch: epoch, lastEpoch: epoch, lastName: epoch, preloads: map[string]preload{}, heads: map[ReplicaKey]string{},
		assigned: Set[string]{}, names: Set[string]{}, dissolved: Set[string]{}, releases: map[string][]release{},
	}
	for _, target := range view.Targets {
		member := target.Membership
		if member.Rank == 0 && member.Replica != "" && !member.isPreload() && !view.hasPrecedence(formation.heads[member.key()], target) {
			formation.heads[member.key()] = target.ID
		}
	}
	formation.adoptAll(view)
	return formation
}

func (assignment Assignment) key() ReplicaKey { return ReplicaKey{assignment.Name, assignment.Epoch} }

// assign adds an assignment.
func (formation *Formation) assign(assignment Assignment) {
	formation.Assignments = append(formation.Assignments, assignment)
	formation.names.Add(assignment.Name)
	for _, id := range assignment.Members {
		if id != "" {
			formation.assigned.Add(id)
		}
	}
}

// unassign removes the assignments for which remove returns true.
func (formation *Formation) unassign(remove func(assignment Assignment) bool) {
	formation.Assignments = slices.DeleteFunc(formation.Assignments, func(assignment Assignment) bool {
		if !remove(assignment) {
			return false
		}
		for _, id := range assignment.Members {
			delete(formation.assigned, id)
		}
		return true
	})
}

// Heads returns the last known heads of the replicas that targets may still be
// members of. They are stored for the next planner, which needs them.
func (formation *Formation) Heads(view PoolView) []ReplicaHead {
	var heads []ReplicaHead
	formation.dropReleases(view)
	referenced := formation.referencedReplicas(view)
	for key, id := range formation.heads {
		head, listed := view.Targets[id]
		if !listed {
			head = view.Absent[id]
		}
		if referenced[key] {
			heads = append(heads, ReplicaHead{Replica: key.Name, Epoch: key.Epoch, ID: id, Address: head.Address, DataCentre: head.DataCentre, Released: formation.releasedFrom(key)})
		} else {
			delete(formation.heads, key)
		}
	}
	slices.SortFunc(heads, func(a, b ReplicaHead) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return heads
}

// assignedReplicas returns the replicas that have an assignment.
func (formation *Formation) assignedReplicas() map[ReplicaKey]bool {
	assigned := make(map[ReplicaKey]bool, len(formation.Assignments))
	for _, assignment := range formation.Assignments {
		assigned[assignment.key()] = true
	}
	return assigned
}

// referencedReplicas returns the replicas that an assignment or a target still names.
func (formation *Formation) referencedReplicas(view PoolView) map[ReplicaKey]bool {
	referenced := formation.assignedReplicas()
	for _, targets := range []map[string]Target{view.Targets, view.Absent} {
		for _, target := range targets {
			referenced[target.Membership.key()] = true
		}
	}
	for _, releases := range formation.releases {
		for _, released := range releases {
			referenced[released.member.key()] = true
		}
	}
	return referenced
}

// RestoreHeads adds the heads that an earlier planner knew.
func (formation *Formation) RestoreHeads(heads []ReplicaHead) {
	for _, head := range heads {
		formation.heads[ReplicaKey{head.Replica, head.Epoch}] = head.ID
		formation.restoreHead(head)
		for _, released := range head.Released {
			formation.recordRelease(released.ID, released.StartUnixMilli, Membership{Replica: head.Replica, Epoch: head.Epoch, Rank: releasedRank})
		}
	}
}

// restoreHead names the head of a replica that was adopted without it. It may have served.
func (formation *Formation) restoreHead(head ReplicaHead) {
	if formation.assigned.Has(head.ID) {
		return
	}
	for i, assignment := range formation.Assignments {
		if assignment.Name == head.Replica && assignment.Epoch == head.Epoch && assignment.Members[0] == "" {
			formation.Assignments[i].Members[0], formation.Assignments[i].Opened = head.ID, true
			formation.assigned.Add(head.ID)
		}
	}
}

// Update repairs the assignments that have lost members, forms new replicas from
// free targets, and dissolves replicas to make room for a model that has far too
// few. It returns the assignments that changed.
func (formation *Formation) Update(view PoolView) []Assignment {
	view = view.Indexed()
	formation.dropOutdatedShares(view.Engine)
	formation.adoptOpen(view)
	formation.recordOpened(view)
	changed := formation.repair(view)
	changed = append(changed, formation.grow(view)...)
	if formed, rebalanced := formation.rebalance(view); rebalanced {
		changed = append(changed, formed)
		changed = append(changed, formation.grow(view)...)
	} else if formation.shift(view) {
		changed = append(changed, formation.grow(view)...)
	}
	return changed
}

// rebalance forms a replica of the model with the fewest targets per share: it dissolves
// replicas of the model with the most, in the domain where the fewest replicas have to be
// dissolved. It reports whether it did.
func (formation *Formation) rebalance(view PoolView) (formed Assignment, rebalanced bool) {
	targets := formation.targetsByModel(view.Engine)
	models := slices.Clone(view.Engine.Models)
	if len(models) < 2 {
		return Assignment{}, false
	}
	perShare := func(model EngineModel) float64 { return targets[model.Name] / formation.share(model) }
	slices.SortStableFunc(models, func(a, b EngineModel) int { return cmp.Compare(perShare(a), perShare(b)) })
	underserved, overserved := models[0], models[len(models)-1]
	if view.HasTraffic && targets[underserved.Name] > 0 || perShare(underserved) >= rebalanceRatio*perShare(overserved) || targets[overserved.Name] < 2*float64(overserved.Size) {
		return Assignment{}, false
	}
	names, sizes := view.domainSizes()
	best, fewest := "", 0
	for _, name := range names {
		if view.HasTraffic && view.recentlyListed(name) {
			continue
		}
		shortfall := underserved.Size + reserveSize(sizes[name], targets[underserved.Name]) - len(formation.free(view, name, nil))
		needed := (shortfall + overserved.Size - 1) / overserved.Size
		if needed > 0 && needed <= formation.replicaCount(view, name, overserved.Name) && (best == "" || needed < fewest) {
			best, fewest = name, needed
		}
	}
	remaining := targets[overserved.Name] - float64(fewest*overserved.Size)
	if fewest == 0 || remaining/formation.share(overserved) < perShare(underserved) {
		return Assignment{}, false
	}
	var dissolved []Assignment
	formation.unassign(func(assignment Assignment) bool {
		if len(dissolved) == fewest || assignment.Domain != best || assignment.Model != overserved.Name || !view.headListed(assignment) {
			return false
		}
		dissolved = append(dissolved, assignment)
		return true
	})
	if len(formation.free(view, best, nil)) < underserved.Size {
		for _, assignment := range dissolved { // absent heads hold some of their members
			formation.assign(assignment)
		}
		return Assignment{}, false
	}
	for _, assignment := range dissolved {
		formation.dissolved.Add(assignment.Name)
	}
	// At once: the targets have the weights of the dissolved replicas, which would be formed again first.
	return formation.form(view, underserved, best), true
}

func (view PoolView) headListed(assignment Assignment) bool {
	_, listed := view.Targets[assignment.Members[0]]
	return listed
}

// replicaCount returns how many replicas of the model a domain has. Those with absent heads,
// which hold their members, are left out.
func (formation *Formation) replicaCount(view PoolView, domain, model string) int {
	count := 0
	for _, assignment := range formation.Assignments {
		if assignment.Domain == domain && assignment.Model == model && view.headListed(assignment) {
			count++
		}
	}
	return count
}

func (formation *Formation) recordOpened(view PoolView) {
	for i, assignment := range formation.Assignments {
		head, found := view.Targets[assignment.Members[0]]
		if found && head.Membership.BelongsTo(assignment.Name, assignment.Epoch) && head.Membership.State == MemberOpen {
			formation.Assignments[i].Opened = true
		}
	}
}

// recordHead keeps the head of a replica for as long as targets may be its
// members.
func (formation *Formation) recordHead(assignment Assignment) {
	formation.heads[assignment.key()] = assignment.Members[0]
}

// spares returns the free targets of the assignment's domain that join within the
// given cost, cheapest first.
func (formation *Formation) spares(view PoolView, assignment Assignment, reserved Set[string], maxCost int) []string {
	free := formation.free(view, assignment.Domain, reserved)
	slices.SortStableFunc(free, func(a, b Target) int {
		return cmp.Compare(joinCost(a, assignment.Model), joinCost(b, assignment.Model))
	})
	ids := make([]string, 0, len(free))
	for _, target := range free {
		if joinCost(target, assignment.Model) <= maxCost {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// joinCost ranks targets by how long each takes to join a replica of the model.
func joinCost(target Target, model string) int {
	switch {
	case target.Membership.Model == model && !target.joinsWithLoad():
		return 0
	case target.HasStaged(model) && target.Staging == "":
		return joinCostStaged
	case len(target.Staged) == 0 || target.Staging == model || target.Membership.Model == model:
		return 2
	default:
		return joinCostLoading // its staged weights may serve another replica
	}
}

// free returns the targets of a domain that are neither assigned, nor reserved, nor held by
// an absent head, nor claim the place of another one, sorted by id.
func (formation *Formation) free(view PoolView, domain string, reserved Set[string]) []Target {
	var free []Target
	if targets := view.Indexed().domains[domain]; targets != nil {
		for _, target := range targets.ready {
			if !formation.assigned.Has(target.ID) && !reserved.Has(target.ID) && !formation.isHeld(*target, view) && !formation.claimsTakenPlace(*target) {
				free = append(free, *target)
			}
		}
	}
	return free
}

// Indexed returns the view with its targets arranged by fabric domain and its heads by
// replica, which Formation's methods otherwise do each for itself.
func (view PoolView) Indexed() PoolView {
	if view.domains != nil {
		return view
	}
	view.domains, view.listedHeads = map[string]*domainTargets{}, map[ReplicaKey]string{}
	for _, target := range view.Targets {
		if key := target.Membership.key(); target.Membership.Rank == 0 && key.Name != "" {
			if !view.hasPrecedence(view.listedHeads[key], target) {
				view.listedHeads[key] = target.ID
			}
		}
		domain := view.domains[target.Domain]
		if domain == nil {
			domain = &domainTargets{}
			view.domains[target.Domain] = domain
		}
		if target.State == TargetReady && !target.Unlisted {
			domain.ready = append(domain.ready, &target)
		}
		if target.ListedSince.After(domain.listedSince) {
			domain.listedSince = target.ListedSince
		}
	}
	for _, domain := range view.domains {
		slices.SortFunc(domain.ready, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return view
}

// domainSizes returns the view's fabric domains with ready, listed targets, and the
// number of these in each.
func (view PoolView) domainSizes() (names []string, sizes map[string]int) {
	sizes = map[string]int{}
	for name, domain := range view.Indexed().domains {
		if len(domain.ready) > 0 {
			names = append(names, name)
			sizes[name] = len(domain.ready)
		}
	}
	slices.Sort(names)
	return names, sizes
}

// grow forms replicas from free targets and leaves each domain its spares: first
// replicas whose members have the weights, then others. Each new replica is of the
// model with the fewest targets per share. A model without any replica may use up
// the spares.
func (formation *Formation) grow(view PoolView) []Assignment {
	var changed []Assignment
	if len(formation.Assignments) == 0 && !view.HasTraffic {
		for _, placement := range PlanPlacements(view) {
			if len(formation.free(view, placement.Domain, nil)) >= placement.Model.Size {
				changed = append(changed, formation.form(view, placement.Model, placement.Domain))
			}
		}
	}
	for _, maxCost := range []int{joinCostStaged, joinCostLoading} {
		for {
			model, domain, found := formation.nextReplica(view, maxCost)
			if !found {
				break
			}
			changed = append(changed, formation.form(view, model, domain))
		}
	}
	return changed
}

// form assigns free targets of the domain to a new replica.
func (formation *Formation) form(view PoolView, model EngineModel, domain string) Assignment {
	formation.lastEpoch++
	formation.lastName++
	assignment := Assignment{
		Name: "r" + strconv.FormatUint(formation.lastName, 36), Epoch: formation.lastEpoch, Model: model.Name, Domain: domain,
	}
	assignment.Members = view.withWarmHead(formation.spares(view, assignment, nil, joinCostLoading)[:model.Size])
	formation.assign(assignment)
	formation.recordHead(assignment)
	return assignment
}

// withWarmHead returns the members with the first warm one in front, as the head, which gets
// the requests. It keeps their order if the requests to cold targets aren't limited.
func (view PoolView) withWarmHead(members []string) []string {
	if view.ColdPerSecond <= 0 {
		return members
	}
	warm := slices.IndexFunc(members, func(id string) bool { return !view.Targets[id].ListedColdUntil.After(view.Now) })
	if warm <= 0 {
		return members
	}
	return slices.Concat(members[warm:warm+1], members[:warm], members[warm+1:])
}

// nextReplica picks the model and the domain of the next new replica, whose
// members join within the given cost.
func (formation *Formation) nextReplica(view PoolView, maxCost int) (EngineModel, string, bool) {
	names, sizes := view.domainSizes()
	models := slices.Clone(view.Engine.Models)
	targets := formation.targetsByModel(view.Engine)
	slices.SortStableFunc(models, func(a, b EngineModel) int {
		return cmp.Compare(targets[a.Name]/formation.share(a), targets[b.Name]/formation.share(b))
	})
	for _, model := range models {
		if formation.yieldsTargets(model, targets) {
			continue
		}
		best, mostRemaining := "", -1
		for _, name := range names {
			ready := len(formation.spares(view, Assignment{Model: model.Name, Domain: name}, nil, maxCost))
			remaining := len(formation.free(view, name, nil)) - model.Size
			if maxCost > joinCostStaged && view.recentlyListed(name) {
				continue
			}
			if ready >= model.Size && remaining >= reserveSize(sizes[name], targets[model.Name]) && remaining > mostRemaining {
				best, mostRemaining = name, remaining
			}
		}
		if mostRemaining >= 0 {
			return model, best, true
		}
	}
	return EngineModel{}, "", false
}

// recentlyListed reports whether targets of the domain have just been listed: more
// may follow, with the weights that a replica needs.
func (view PoolView) recentlyListed(name string) bool {
	domain := view.Indexed().domains[name]
	return domain != nil && view.Now.Sub(domain.listedSince) < relistInterval
}

// reserveSize returns how many targets of a domain stay free when a replica is
// formed, given the number of targets that its model has in all domains.
func reserveSize(domainSize int, modelTargets float64) int {
	if modelTargets == 0 {
		return 0
	}
	return int(math.Ceil(spareShare * float64(domainSize)))
}

// targetsByModel returns how many targets the replicas of each model have.
func (formation *Formation) targetsByModel(engine *Engine) map[string]float64 {
	targets := map[string]float64{}
	for _, assignment := range formation.Assignments {
		model, _ := engine.Model(assignment.Model)
		targets[assignment.Model] += float64(model.Size)
	}
	return targets
}
