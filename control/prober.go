package control

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	// probeTimeout bounds a question to a member: live ones answer within
	// milliseconds, also while they are busy.
	probeTimeout = 110 * time.Millisecond
	// probeAgain is when a member is asked on a second connection beside the first:
	// one packet may be lost.
	probeAgain = 30 * time.Millisecond
	// probeRounds is how often a member is asked if this entry itself was held up.
	probeRounds = 2
	// probeRest is how long a replica whose members all answer is left alone.
	probeRest = 700 * time.Millisecond
	// askSpread is how far apart entries ask that noticed the same silence.
	askSpread = 30 * time.Millisecond
	// slowPace is the pace from which a member holds its replica up: a substitute
	// costs the replica half a second.
	slowPace = 1.5
	// doubtRest is how often a target that may be dead is asked.
	doubtRest = time.Second
)

// Counters of the prober; docs/OPERATIONS.md lists them.
const (
	CountProbes      = "probes"
	CountTargetsLost = "targets-found-dead"
	CountTargetsSlow = "targets-found-slow"
	CountFalseAlarms = "silent-replicas-found-whole"
)

type (
	// Reporter asks targets for their state.
	Reporter interface {
		Report(ctx context.Context, target greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error)
	}

	// News tells the other entries what was found.
	News interface {
		ReportLost(lost ...mesh.TargetInstance)
		ReportSlow(slow ...mesh.TargetInstance)
	}

	// Prober asks the members of silent replicas whether they live, and spreads
	// the word of those that don't.
	Prober struct {
		reporter  Reporter
		directory *Directory
		news      News
		clock     greengageroute.Clock
		counters  *expvar.Map
		log       logr.Logger

		mu        sync.Mutex
		asked     map[greengageroute.ReplicaKey]time.Time
		confirmed map[mesh.TargetInstance]time.Time
	}
)

// NewProber returns a prober.
func NewProber(reporter Reporter, directory *Directory, news News, clock greengageroute.Clock, counters *expvar.Map, log logr.Logger) *Prober {
	return &Prober{
		reporter: reporter, directory: directory, news: news, clock: clock, counters: counters, log: log,
		asked: map[greengageroute.ReplicaKey]time.Time{}, confirmed: map[mesh.TargetInstance]time.Time{},
	}
}

// Silent has the members of a replica asked, in the background.
func (prober *Prober) Silent(replica greengageroute.Replica) {
	now := prober.clock.Now()
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if since, known := prober.asked[replica.Key()]; known && now.Sub(since) < probeRest {
		return
	}
	for key, since := range prober.asked {
		if now.Sub(since) > time.Minute {
			delete(prober.asked, key)
		}
	}
	prober.asked[replica.Key()] = now
	go prober.ask(replica)
}

// present tells whether all members are still taken to be alive.
func (prober *Prober) present(replica greengageroute.Replica) bool {
	targets := prober.directory.View().Targets
	for _, member := range replica.Members {
		if known, found := targets[member.ID]; !found || known.StartUnixMilli != member.StartUnixMilli {
			return false
		}
	}
	return true
}

func (prober *Prober) ask(replica greengageroute.Replica) {
	// All entries notice at about the same time; one of them tells the others.
	time.Sleep(rand.N(askSpread))
	if !prober.present(replica) {
		return
	}
	dead := make(chan mesh.TargetInstance, len(replica.Members))
	var asking sync.WaitGroup
	for _, member := range replica.Members {
		asking.Go(func() {
			report, lives := prober.alive(member)
			if !lives {
				dead <- mesh.TargetInstance{ID: member.ID, StartUnixMilli: member.StartUnixMilli}
			} else if report.Slowdown >= slowPace {
				prober.noteSlow(member, report.Slowdown)
			}
		})
	}
	asking.Wait()
	close(dead)
	var lost []mesh.TargetInstance
	for one := range dead {
		lost = append(lost, one)
	}
	if len(lost) == 0 {
		prober.counters.Add(CountFalseAlarms, 1)
		prober.log.Info("silent replica is whole", "replica", replica.Name, "epoch", replica.Epoch)
		return
	}
	for _, one := range prober.directory.MarkLost(lost...) {
		prober.counters.Add(CountTargetsLost, 1)
		prober.log.Info("target found dead", "target", one.ID, "born", one.StartUnixMilli, "replica", replica.Name, "epoch", replica.Epoch)
		prober.news.ReportLost(one)
	}
}

// noteSlow has the planner look for a substitute.
func (prober *Prober) noteSlow(member greengageroute.Target, pace float64) {
	life := mesh.TargetInstance{ID: member.ID, StartUnixMilli: member.StartUnixMilli}
	for _, one := range prober.directory.MarkSlow(life) {
		prober.counters.Add(CountTargetsSlow, 1)
		prober.log.Info("target is slow", "target", one.ID, "pace", pace, "replica", member.Membership.Replica, "epoch", member.Membership.Epoch)
		prober.news.ReportSlow(one)
	}
}

// alive tells whether a member answers at all. A refusal by another target at
// the same address is no sign of life.
func (prober *Prober) alive(member greengageroute.Target) (greengageroute.TargetReport, bool) {
	for range probeRounds {
		began := prober.clock.Now()
		report, lives, answered := prober.question(member)
		// Where the timers of this entry come late, so do the answers to it.
		if answered || prober.clock.Now().Sub(began) < 2*(probeAgain+probeTimeout) {
			return report, lives
		}
	}
	return greengageroute.TargetReport{}, false
}

// question asks a member on two connections, the second shortly after the first.
func (prober *Prober) question(member greengageroute.Target) (report greengageroute.TargetReport, lives, answered bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type answer struct {
		report greengageroute.TargetReport
		err    error
	}
	answers := make(chan answer, 2)
	ask := func() {
		prober.counters.Add(CountProbes, 1)
		report, err := prober.reporter.Report(ctx, member, probeTimeout)
		answers <- answer{report, err}
	}
	go ask()
	second := time.NewTimer(probeAgain)
	defer second.Stop()
	for open := 2; open > 0; {
		select {
		case <-second.C:
			go ask()
		case got := <-answers:
			open--
			var refused *greengageroute.OrderRefusedError
			switch {
			case got.err == nil:
				return got.report, got.report.StartUnixMilli == member.StartUnixMilli || got.report.StartUnixMilli == 0, true
			case errors.As(got.err, &refused):
				return got.report, false, true
			}
		}
	}
	return greengageroute.TargetReport{}, false, false
}

// Confirm asks about targets that another entry found dead and marks those that
// give no answer here either.
func (prober *Prober) Confirm(lost []mesh.TargetInstance) {
	now := prober.clock.Now()
	for _, one := range lost {
		prober.mu.Lock()
		since, known := prober.confirmed[one]
		if !known || now.Sub(since) >= doubtRest {
			prober.confirmed[one] = now
		}
		maps.DeleteFunc(prober.confirmed, func(_ mesh.TargetInstance, since time.Time) bool { return now.Sub(since) > time.Minute })
		prober.mu.Unlock()
		if known && now.Sub(since) < doubtRest {
			continue
		}
		target, listed := prober.directory.View().Targets[one.ID]
		if !listed || target.StartUnixMilli != one.StartUnixMilli {
			continue
		}
		go func() {
			if _, lives := prober.alive(target); !lives && len(prober.directory.MarkLost(one)) > 0 {
				prober.counters.Add(CountTargetsLost, 1)
				prober.log.Info("target found dead", "target", one.ID, "born", one.StartUnixMilli, "replica", target.Membership.Replica, "epoch", target.Membership.Epoch)
			}
		}()
	}
}

// Answers tells whether a target accepts a connection.
func (prober *Prober) Answers(target greengageroute.Target) bool {
	conn, err := net.DialTimeout("tcp4", target.Address, probeTimeout)
	if err != nil {
		return false
	}
	// Nothing was sent that a failed close could lose.
	_ = conn.Close()
	return true
}
