package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// deathsUntilRefused is how many targets may die under a request: the operator
	// allows three, and one death may be a coincidence.
	deathsUntilRefused = 2
	// quarantineRetry is when a caller may come back with a refused request.
	quarantineRetry = 10 * time.Second
	// deathCheck is how long after a lost answer the target is looked at: a process
	// that dies closes its listener with its connections.
	deathCheck = 50 * time.Millisecond
)

// quarantine refuses requests that targets have died under.
func quarantine(_ context.Context, exchange *exchange) error {
	hash := xxhash.New()
	for _, part := range []string{exchange.Workspace, exchange.Method, exchange.Host, exchange.URI} {
		// A digest never returns an error.
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(exchange.Body)
	exchange.digest = strconv.FormatUint(hash.Sum64(), 36)
	if exchange.service.suspects.Check(exchange.digest, time.Now()) == greengageroute.QuarantineRefused {
		exchange.service.Counters.Add(CountQuarantined, 1)
		return notNow("targets have died under this request", quarantineRetry)
	}
	return nil
}

// suspectDeath looks in the background whether a target died under the request,
// and tells the other entries.
func (exchange *exchange) suspectDeath(ctx context.Context, target greengageroute.Target, cause error) {
	var lost *upstream.LostError
	if !errors.As(cause, &lost) || ctx.Err() != nil {
		return
	}
	service, digest := exchange.service, exchange.digest
	time.AfterFunc(deathCheck, func() {
		if service.Suspects.Answers(target) {
			return
		}
		report := mesh.CrashReport{Digest: digest, CrashID: target.ID + "/" + strconv.FormatInt(target.StartUnixMilli, 10)}
		service.Log.Info("target died under a request", "id", exchange.ID, "target", target.ID, "digest", digest)
		service.Crashed(report)
		service.Peers.ReportCrash(report)
	})
}

// Crashed takes note of a request that a target died under.
func (service *Service) Crashed(report mesh.CrashReport) {
	service.suspects.RecordCrash(report.Digest, report.CrashID, time.Now())
}
