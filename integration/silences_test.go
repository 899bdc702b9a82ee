package integration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

const maxSilence = 2 * time.Second

type oddRow struct {
	name  string
	value []byte
}

func (soak *soak) heads() []*standin.Target {
	return slices.DeleteFunc(slices.Clone(soak.modelTargets), func(target *standin.Target) bool {
		_, _, state := target.Place()
		return state != "open"
	})
}

// silence has targets fall silent for a time, each only some time after its last silence.
func (soak *soak) silence(kind string, duration time.Duration, targets ...*standin.Target) {
	soak.mu.Lock()
	if soak.quietUntil == nil {
		soak.quietUntil = map[*standin.Target]time.Time{}
	}
	targets = slices.DeleteFunc(slices.Clone(targets), func(target *standin.Target) bool {
		return time.Now().Before(soak.quietUntil[target])
	})
	for _, target := range targets {
		soak.quietUntil[target] = time.Now().Add(duration + 500*time.Millisecond)
	}
	soak.mu.Unlock()
	var ids []string
	for _, target := range targets {
		target.FallSilent(duration)
		ids = append(ids, target.ID)
	}
	if len(ids) > 0 {
		soak.logFault("%s silent for %s: %s", kind, duration, strings.Join(ids, " "))
	}
}

// silenceTargets has targets fall silent, in overlapping series, until the deadline.
func (soak *soak) silenceTargets(random *rand.Rand, deadline time.Time) {
	randomDuration := func() time.Duration {
		return 200*time.Millisecond + time.Duration(random.Int64N(int64(maxSilence-200*time.Millisecond)))
	}
	for time.Now().Before(deadline) {
		heads, target := soak.heads(), soak.modelTargets[random.IntN(len(soak.modelTargets))]
		switch random.IntN(8) {
		case 0, 1:
			if len(heads) > 0 {
				soak.silence("head", randomDuration(), heads[random.IntN(len(heads))])
			}
		case 2:
			soak.silence("member", randomDuration(), target)
		case 3:
			soak.silence("plain target", randomDuration(), soak.plainTargets[random.IntN(len(soak.plainTargets))])
		case 4:
			soak.silence("domain", randomDuration(), slices.DeleteFunc(slices.Clone(soak.modelTargets), func(other *standin.Target) bool {
				return other.Domain != target.Domain
			})...)
		case 5:
			soak.silence("all", randomDuration(), slices.Concat(soak.modelTargets, soak.plainTargets)...)
		case 6:
			soak.silence("heads", randomDuration(), heads...)
		default:
			for range 5 {
				soak.silence("series", randomDuration(), soak.modelTargets[random.IntN(len(soak.modelTargets))])
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(100+random.IntN(1200)) * time.Millisecond)
	}
}

// addOddRow writes a row of another writer to the list of targets, and removes it later.
func (soak *soak) addOddRow(random *rand.Rand, pending *sync.WaitGroup) {
	target := soak.modelTargets[random.IntN(len(soak.modelTargets))]
	name, epoch, _ := target.Place()
	rows := oddRows(target.Domain, name, epoch)
	odd := rows[random.IntN(len(rows))]
	key := fmt.Sprint("i-odd-", random.IntN(1000))
	duration := time.Duration(200+random.IntN(3000)) * time.Millisecond
	soak.logFault("the list has a row %s with %s for %s", key, odd.name, duration)
	soak.store.PutBytes("servers", key, odd.value)
	pending.Go(func() {
		time.Sleep(duration)
		soak.store.Remove("servers", key)
	})
}

// oddRows returns rows that name no target to use. The group is one that exists: two rows are
// valid in every field, and claim the place of one of its members.
func oddRows(domain, group string, epoch uint64) []oddRow {
	member := func(name string, value any) map[string]any {
		member := map[string]any{"name": group, "epoch": epoch, "rank": 0, "state": "open"}
		member[name] = value
		return member
	}
	encode := func(name string, value any) []byte {
		row := map[string]any{
			"service": "llm", "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
			"domain": domain, "staged": []string{"m"}, "models": []any{map[string]any{"name": "m", "version": 1}},
			"group": member("rank", 1),
		}
		row[name] = value
		encoded, err := json.Marshal(row)
		if err != nil {
			panic(err)
		}
		return encoded
	}
	without := member("rank", 1)
	delete(without, "epoch")
	return []oddRow{
		{"deep nesting", encode("extra", json.RawMessage(strings.Repeat("[", 6000)+strings.Repeat("]", 6000)))},
		{"deep nesting of a group", encode("group", json.RawMessage(strings.Repeat(`{"name":`, 6000)+"1"+strings.Repeat("}", 6000)))},
		{"a number too large", encode("sequence", json.RawMessage("1e400"))},
		{"an epoch too large", encode("group", member("epoch", json.RawMessage("18446744073709551616")))},
		{"a start time too large", encode("born", json.RawMessage("99999999999999999999"))},
		{"a port out of range", encode("address", "127.0.0.1:99999")},
		{"a negative port", encode("address", "127.0.0.1:-1")},
		{"no address", encode("address", "nowhere")},
		{"no epoch", encode("group", without)},
		{"a negative rank", encode("group", member("rank", -3))},
		{"a rank of another type", encode("group", member("rank", "first"))},
		{"an unknown state", encode("state", "resting")},
		{"a group that exists, and an odd start time", encode("born", "soon")},
		{"bytes that can't be read", []byte("\xff{")},
		{"a place in a group that another target has", encode("slots", 6)},
		{"the head's place in a group", encode("group", member("rank", 0))},
	}
}

// addOddRows adds odd rows that come and go until the deadline.
func (soak *soak) addOddRows(random *rand.Rand, deadline time.Time) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for time.Now().Before(deadline) {
		soak.addOddRow(random, &pending)
		time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
	}
}
