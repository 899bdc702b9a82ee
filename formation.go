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
// members: one in eleven covers a loss every few seconds for as long as a
// replacement takes to load.
const spareShare = 0.08

// Costs of joining, up to which a target counts as a spare.
const (
	joinCostStaged  = 1
	joinCostLoading = 3
)

// arrivalSpan is how far apart the targets of a domain are listed again that was cut
// off: a heartbeat, and the list's lag.
const relistInterval = 2 * time.Second

// imbalance is how much less, against their shares, one model may have than
// another before replicas are dissolved: that costs their loads anew.
const rebalanceRatio = 0.4

type (
	// Assignment says which targets form a replica, or are to form it.
	Assignment struct {
		Name    string
		Epoch   uint64
		Model   string
		Domain  string
		Members []string // by rank
		Opened  bool     // its head has served under this epoch
	}

	// PoolView is what the planner knows of a pool's targets.
	PoolView struct {
		Pool   string
		Engine *Engine
		// Targets are those that are listed and not known to be dead.
		Targets map[string]Target
		// HasTraffic tells whether requests have come: loads take their full time.
		HasTraffic bool
		// Now is the moment of the view.
		Now time.Time
		// Absent are targets that were listed and no longer are, or were found dead.
		Absent map[string]Target
		// ClosedAt is when an absent head was last found closed or dead.
		ClosedAt map[string]time.Time
		// PendingOpens are heads that were told to open, and may have, before the list
		// shows it.
		PendingOpens map[string]ReplicaKey
	}

	// ReplicaHead names the head of a replica, and where it is reached.
	ReplicaHead struct {
		Replica string `json:"replica"`
		Epoch   uint64 `json:"epoch"`
		ID      string `json:"id"`
		Address string `json:"address"`
		// DataCentre is where the head is.
		DataCentre string `json:"data-centre"`
	}

	// brokenAssignment is an assignment that lacks members, and those it has kept.
	damagedAssignment struct {
		Assignment
		survivors []string
	}

	// Formation is the planner's working state: it is changed in place, by one
	// goroutine, and can be rebuilt from what the targets report.
	Formation struct {
		Assignments []Assignment
		lastEpoch   uint64
		lastName    uint64
		preloads    map[string]preload    // by target
		heads       map[ReplicaKey]string // of all replicas that targets may still be members of
	}
)

// NewFormation returns a formation whose epochs start above the given one and
// adopts the replicas that the targets report.
func NewFormation(view PoolView, epoch uint64) *Formation {
	formation := &Formation{lastEpoch: epoch, lastName: epoch, preloads: map[string]preload{}, heads: map[ReplicaKey]string{}}
	newest := map[string]Assignment{}
	for _, target := range view.Targets {
		member := target.Membership
		model, known := view.Engine.Model(member.Model)
		if !known || member.Rank >= model.Size || member.isPreload() {
			continue
		}
		assignment := newest[member.Replica]
		if assignment.Epoch > member.Epoch {
			continue
		}
		if assignment.Epoch < member.Epoch {
			assignment = Assignment{
				Name: member.Replica, Epoch: member.Epoch, Model: member.Model, Domain: target.Domain,
				Members: make([]string, model.Size),
			}
		}
		assignment.Members[member.Rank] = target.ID
		if member.Rank == 0 {
			formation.heads[ReplicaKey{member.Replica, member.Epoch}] = target.ID
			assignment.Opened = member.State == MemberOpen
		}
		newest[member.Replica] = assignment
	}
	for _, assignment := range newest {
		formation.Assignments = append(formation.Assignments, assignment)
	}
	slices.SortFunc(formation.Assignments, func(a, b Assignment) int { return strings.Compare(a.Name, b.Name) })
	return formation
}

// Heads returns the heads of the replicas that targets may still be members of,
// as they were last seen. The next planner has to know them.
func (formation *Formation) Heads(view PoolView) []ReplicaHead {
	var heads []ReplicaHead
	for key, id := range formation.heads {
		head, listed := view.Targets[id]
		if !listed {
			head = view.Absent[id]
		}
		if formation.referenced(key, view) {
			heads = append(heads, ReplicaHead{Replica: key.Name, Epoch: key.Epoch, ID: id, Address: head.Address, DataCentre: head.DataCentre})
		} else {
			delete(formation.heads, key)
		}
	}
	slices.SortFunc(heads, func(a, b ReplicaHead) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return heads
}

// remembered tells whether an assignment or a target still names the replica.
func (formation *Formation) referenced(key ReplicaKey, view PoolView) bool {
	for _, assignment := range formation.Assignments {
		if assignment.Name == key.Name && assignment.Epoch == key.Epoch {
			return true
		}
	}
	for _, targets := range []map[string]Target{view.Targets, view.Absent} {
		for _, target := range targets {
			if target.Membership.BelongsTo(key.Name, key.Epoch) {
				return true
			}
		}
	}
	return false
}

// RestoreHeads takes over the heads that an earlier planner knew.
func (formation *Formation) RestoreHeads(heads []ReplicaHead) {
	for _, head := range heads {
		formation.heads[ReplicaKey{head.Replica, head.Epoch}] = head.ID
	}
}

// Update repairs the assignments that have lost members, makes room for a model
// that has far too little, and forms new replicas from free targets. It returns
// the replicas that changed.
func (formation *Formation) Update(view PoolView) []Assignment {
	formation.recordOpened(view)
	changed := formation.repair(view)
	changed = append(changed, formation.grow(view)...)
	if formation.rebalance(view) {
		changed = append(changed, formation.grow(view)...)
	}
	return changed
}

// rebalance dissolves replicas of the model that has most against its share, in
// the domain where the fewest make room for one of the model that has least. It
// tells whether it did.
func (formation *Formation) rebalance(view PoolView) bool {
	targets := formation.targetsByModel(view.Engine)
	models := slices.Clone(view.Engine.Models)
	if len(models) < 2 {
		return false
	}
	perShare := func(model EngineModel) float64 { return targets[model.Name] / max(model.Share, 0.01) }
	slices.SortStableFunc(models, func(a, b EngineModel) int { return cmp.Compare(perShare(a), perShare(b)) })
	underserved, overserved := models[0], models[len(models)-1]
	if view.HasTraffic && targets[underserved.Name] > 0 || perShare(underserved) >= rebalanceRatio*perShare(overserved) || targets[overserved.Name] < 2*float64(overserved.Size) {
		return false
	}
	names, sizes := view.domains()
	best, fewest := "", 0
	for _, name := range names {
		shortfall := underserved.Size + reserveSize(sizes[name], targets[underserved.Name]) - len(formation.free(view, name, nil))
		needed := (shortfall + overserved.Size - 1) / overserved.Size
		if needed > 0 && needed <= formation.replicaCount(name, overserved.Name) && (best == "" || needed < fewest) {
			best, fewest = name, needed
		}
	}
	remaining := targets[overserved.Name] - float64(fewest*overserved.Size)
	if fewest == 0 || remaining/max(overserved.Share, 0.01) < perShare(underserved) {
		return false
	}
	dissolved := 0
	formation.Assignments = slices.DeleteFunc(formation.Assignments, func(assignment Assignment) bool {
		if dissolved == fewest || assignment.Domain != best || assignment.Model != overserved.Name {
			return false
		}
		dissolved++
		return true
	})
	return true
}

// count returns how many replicas of the model a domain has.
func (formation *Formation) replicaCount(domain, model string) int {
	count := 0
	for _, assignment := range formation.Assignments {
		if assignment.Domain == domain && assignment.Model == model {
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

// noteHead remembers the head of a replica for as long as targets may be its members.
func (formation *Formation) recordHead(assignment Assignment) {
	formation.heads[ReplicaKey{assignment.Name, assignment.Epoch}] = assignment.Members[0]
}

// spares returns the free targets of the assignment's domain that join within
// the given cost, those first that join soonest.
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

// joinCost ranks how long a target takes to join a replica of the model.
func joinCost(target Target, model string) int {
	switch {
	case target.Membership.Model == model:
		return 0
	case target.HasStaged(model) && target.Staging == "":
		return joinCostStaged
	case len(target.Staged) == 0 || target.Staging == model:
		return 2
	default:
		return joinCostLoading // its staged weights may serve another replica
	}
}

// free returns the targets of a domain that no assignment has, by their ids.
func (formation *Formation) free(view PoolView, domain string, reserved Set[string]) []Target {
	assigned := NewSet[string]()
	for _, assignment := range formation.Assignments {
		for _, id := range assignment.Members {
			assigned.Add(id)
		}
	}
	var free []Target
	for id, target := range view.Targets {
		if target.Domain == domain && target.State == TargetReady && !target.Unlisted && !assigned.Has(id) && !reserved.Has(id) {
			free = append(free, target)
		}
	}
	slices.SortFunc(free, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return free
}

// domains returns the view's fabric domains and how many live targets each has.
func (view PoolView) domains() (names []string, sizes map[string]int) {
	sizes = map[string]int{}
	for _, target := range view.Targets {
		if target.State == TargetReady && !target.Unlisted {
			sizes[target.Domain]++
		}
	}
	for name := range sizes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, sizes
}

// grow forms replicas from free targets, where the domain keeps its spares: first
// from targets that have the weights, then from others. Both are of the model
// that is furthest below its share. A model without any replica may use the
// spares too.
func (formation *Formation) grow(view PoolView) []Assignment {
	var changed []Assignment
	if len(formation.Assignments) == 0 && !view.HasTraffic {
		for _, placement := range PlanPlacements(view) {
			changed = append(changed, formation.form(view, placement.Model, placement.Domain))
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

// form makes a new replica of a domain's free targets.
func (formation *Formation) form(view PoolView, model EngineModel, domain string) Assignment {
	formation.lastEpoch++
	formation.lastName++
	assignment := Assignment{
		Name: "r" + strconv.FormatUint(formation.lastName, 36), Epoch: formation.lastEpoch, Model: model.Name, Domain: domain,
	}
	assignment.Members = formation.spares(view, assignment, nil, joinCostLoading)[:model.Size]
	formation.Assignments = append(formation.Assignments, assignment)
	formation.recordHead(assignment)
	return assignment
}

// next picks the model and the domain of the next new replica, whose members
// join within the given cost.
func (formation *Formation) nextReplica(view PoolView, maxCost int) (EngineModel, string, bool) {
	names, sizes := view.domains()
	models := slices.Clone(view.Engine.Models)
	targets := formation.targetsByModel(view.Engine)
	slices.SortStableFunc(models, func(a, b EngineModel) int {
		return cmp.Compare(targets[a.Name]/max(a.Share, 0.01), targets[b.Name]/max(b.Share, 0.01))
	})
	for _, model := range models {
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

// arriving tells whether targets of the domain have just been listed: more may
// follow, with the weights that a replica needs.
func (view PoolView) recentlyListed(domain string) bool {
	for _, target := range view.Targets {
		if target.Domain == domain && view.Now.Sub(target.ListedSince) < relistInterval {
			return true
		}
	}
	return false
}

// reserveOf returns how many targets of a domain stay free when a replica is
// formed of a model that has the given number of targets.
func reserveSize(domainSize int, modelTargets float64) int {
	if modelTargets == 0 {
		return 0
	}
	return int(math.Ceil(spareShare * float64(domainSize)))
}

// covered returns how many targets each model's replicas have.
func (formation *Formation) targetsByModel(engine *Engine) map[string]float64 {
	targets := map[string]float64{}
	for _, assignment := range formation.Assignments {
		model, _ := engine.Model(assignment.Model)
		targets[assignment.Model] += float64(model.Size)
	}
	return targets
}
