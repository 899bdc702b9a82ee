package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	domains          = 3
	runnersPerDomain = 10 // three groups and a spare
	groupsPerDomain  = 3
	// silence is "a second or so".
	silence         = 1300 * time.Millisecond
	formationWait   = 60 * time.Second
	streamsInterval = 40 * time.Millisecond
	trafficTime     = 4 * time.Second
	settleTime      = 3 * time.Second
)

// silentHead has the heads of a domain's groups fall silent for a second or so and go on. No
// member of theirs may be joined to another group meanwhile.
func silentHead(world *world) (held bool, err error) {
	all := &engines{world: world, byID: map[string]*engine{}}
	for domain := range domains {
		for i := range runnersPerDomain {
			if err := all.start(fmt.Sprintf("i-%d-%d", domain, i), "a", fmt.Sprintf("a-d%d", domain)); err != nil {
				return false, err
			}
		}
	}
	world.putConfig(1, []any{streamRoute()}, []any{engineService(false)}, []any{tenantWith(tenant, theKey)})
	entry, err := world.startEntry("frontend-a-1", "127.0.0.1")
	if err != nil {
		return false, err
	}
	for deadline := time.Now().Add(formationWait); all.groups() < domains*groupsPerDomain; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("only %d groups are open after %s", all.groups(), formationWait)
		}
	}
	world.record("%d groups are open", all.groups())
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { sendStreams(world, entry, model, stop) })
	time.Sleep(trafficTime)
	for _, head := range all.openHeads("a-d0") {
		if world.trouble {
			world.record("head %s of group %s falls silent for %s", head.id, head.group.Name, silence)
			head.fallSilent(silence)
		}
	}
	time.Sleep(silence + settleTime)
	close(stop)
	traffic.Wait()
	all.mu.Lock()
	defer all.mu.Unlock()
	world.record("%d joins in all, %d of them break the rule", all.joins, len(all.violations))
	return len(all.violations) == 0, nil
}

// groups returns the number of open groups.
func (all *engines) groups() (count int) {
	for domain := range domains {
		count += len(all.openHeads(fmt.Sprintf("a-d%d", domain)))
	}
	return count
}

// sendStreams sends streams until stop is closed.
func sendStreams(world *world, entry *entry, model string, stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(streamsInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() {
			id := fmt.Sprintf("draft-%d", number)
			status, length, err := sendStream(entry, id, model)
			world.record("stream %s: status %d, %d bytes, error %v", id, status, length, err)
		})
	}
}

func sendStream(entry *entry, id, model string) (status, length int, err error) {
	channel, err := openChannel(entry.callers)
	if err != nil {
		return 0, 0, err
	}
	defer channel.Close()
	header := map[string]string{
		"X-Greengageroute-Model": model, "X-Greengageroute-Token-Counts": "460,170", "X-Greengageroute-Prompt-Prefix": "5c1e07a2:40," + id + ":420",
	}
	response, err := channel.send(http.MethodPost, "/drafts/2f", id, theKey, 8*time.Second, header, []byte("text"))
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), err
}
