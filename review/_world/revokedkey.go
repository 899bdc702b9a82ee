package main

import (
	"fmt"
	"net/http"
	"time"
)

// revokedKey has the operator take two tenants away, one after the other. A request with the
// key of a tenant that is gone, sent later than revoke_ms after that, must not run.
func revokedKey(world *world) (held bool, err error) {
	routes := []any{route("deposit-post", "/deposits/", "non_idempotent", time.Second, 1)}
	services := []any{ledgerService()}
	world.putConfig(1, routes, services, []any{tenantWith(tenant, theKey), tenantWith(other, another)})
	runners, err := world.startLedger()
	if err != nil {
		return false, err
	}
	entry, err := world.startEntry("frontend-a-1", "127.0.0.1")
	if err != nil {
		return false, err
	}
	attempt := func(id, key string) (ran bool, err error) {
		channel, err := openChannel(entry.callers)
		if err != nil {
			return false, err
		}
		defer channel.Close()
		status, _, err := channel.call(http.MethodPost, "/deposits/2f", id, key, time.Second, []byte("deposit"))
		if err != nil {
			return false, err
		}
		runs := 0
		for _, runner := range runners {
			runs += runner.ran(id)
		}
		world.record("request %s with key %q: status %d, ran %d times", id, key, status, runs)
		return runs > 0, nil
	}
	if err := expectRuns(attempt, "first", true, theKey, another); err != nil {
		return false, err
	}
	if err := expectRuns(attempt, "unknown", false, "no-such-key", ""); err != nil {
		return false, err
	}
	world.putConfig(2, routes, services, []any{tenantWith(other, another)})
	time.Sleep(revokeTime + 500*time.Millisecond)
	if err := expectRuns(attempt, "second-revoked", false, theKey); err != nil {
		return false, err
	}
	if err := expectRuns(attempt, "second", true, another); err != nil {
		return false, err
	}
	if !world.trouble {
		return true, nil
	}
	world.putConfig(3, routes, services, []any{})
	time.Sleep(revokeTime + 500*time.Millisecond)
	held = true
	for i := range 5 {
		for _, key := range []string{theKey, another} {
			ran, err := attempt(fmt.Sprintf("third-%s-%d", key[:3], i), key)
			if err != nil {
				return false, err
			}
			held = held && !ran
		}
		time.Sleep(300 * time.Millisecond)
	}
	return held, nil
}

// expectRuns returns an error unless requests with the keys run, or none of them does.
func expectRuns(attempt func(id, key string) (bool, error), name string, expected bool, keys ...string) error {
	for i, key := range keys {
		ran, err := attempt(fmt.Sprintf("%s-%d", name, i), key)
		if err != nil {
			return err
		}
		if ran != expected {
			return fmt.Errorf("request %s-%d with key %q: ran is %v", name, i, key, ran)
		}
	}
	return nil
}

// startLedger starts the three runners of the ledger.
func (world *world) startLedger() (runners []*runner, err error) {
	for i := range 3 {
		started, err := world.startRunner(fmt.Sprintf("i-ledger%d", i), ledger, answerPlainly)
		if err != nil {
			return nil, err
		}
		runners = append(runners, started)
	}
	return runners, nil
}
