package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// States of a member of a group.
const (
	joining = "joining"
	ready   = "ready"
	open    = "open"
	closing = "closing"
	broken  = "broken"
)

const (
	model       = "daka510000"
	groupSize   = 3
	largeModel  = "rada7437b5"
	largeSize   = 6
	rowsLapse   = 3 * heartbeat // after which a silent runner's row is removed
	loadTime    = 16 * time.Second
	warmTime    = 1600 * time.Millisecond
	rejoinTime  = 200 * time.Millisecond
	formTime    = 300 * time.Millisecond
	firstEvent  = 150 * time.Millisecond
	eventGap    = 50 * time.Millisecond
	pieces      = 29
	stallCheck  = 20 * time.Millisecond
	engineSlots = 26
)

type (
	// engines are the model runners of a pool. One lock guards the state of all.
	engines struct {
		world *world

		mu         sync.Mutex
		byID       map[string]*engine
		hasTraffic bool     // loads take their full time
		violations []string // joins that the rule TWO forbids
		joins      int
	}

	// engine is a model runner.
	engine struct {
		id, address, zone, domain string
		born                      int64
		all                       *engines

		group       group
		stalledAt   time.Time // when the group lost a member while this head served; zero if it is whole
		lastModel   string    // of the last group
		staged      []string
		maxEpoch    uint64
		sequence    int
		beats       int
		silentUntil time.Time
		pace        float64   // over 1 if the runner is slow
		cutUntil    time.Time // from the store, not from the machines
		beatAt      time.Time
	}

	group struct {
		Name    string `json:"name"`
		Epoch   uint64 `json:"epoch"`
		Rank    int    `json:"rank"`
		State   string `json:"state"`
		members []string
	}

	order struct {
		Operation string   `json:"operation"`
		Group     string   `json:"group"`
		Epoch     uint64   `json:"epoch"`
		Model     string   `json:"model"`
		Members   []string `json:"members"`
		Method    string   `json:"method"`
	}
)

// engineService returns the pool with one model, and a larger one if withLarge is set.
func engineService(withLarge bool) map[string]any {
	models := []any{map[string]any{
		"name": model, "size": groupSize, "share": 0.33, "pace": 1.0, "load_time_s": loadTime.Seconds(), "warm_s": warmTime.Seconds(),
	}}
	if withLarge {
		models = append(models, map[string]any{
			"name": largeModel, "size": largeSize, "share": 0.67, "pace": 1.0, "load_time_s": loadTime.Seconds(), "warm_s": warmTime.Seconds(),
		})
	}
	return map[string]any{"name": pool, "health_path": "/health", "max_connections": 1005, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": engineSlots, "kv_capacity_tokens": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293,
		"read_per_s": 56100.0, "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8,
		"usual": map[string]any{"prompt": 1115, "answer": 152}, "retain_count": 1, "far_x": 4.0, "formation_ms": formTime.Milliseconds(),
		"models": models,
	}}
}

func streamRoute() map[string]any {
	stream := route("agreement-draft", "/drafts/", "streaming", 8*time.Second, 2)
	stream["service"], stream["resumable"], stream["target_gap_ms"], stream["target_latency_ms"], stream["sticky_sessions"] = pool, true, 250, 400, true
	return stream
}

// start starts a model runner.
func (all *engines) start(id, zone, domain string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	started := &engine{id: id, address: listener.Addr().String(), zone: zone, domain: domain, born: time.Now().UnixMilli(), all: all, pace: 1}
	all.mu.Lock()
	all.byID[id] = started
	all.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", started.handleOrder)
	mux.HandleFunc("GET /report", started.handleReport)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", started.handleStream)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		started.awaitEndOfSilence()
		writer.Header().Set("X-Greengageroute-Instance-Id", id)
		if expected := request.Header.Get("X-Greengageroute-Expected-Instance"); expected != "" && expected != id {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(writer, request)
	})
	go func() { _ = http.Serve(listener, handler) }() // until the process ends
	go func() {
		for {
			started.awaitEndOfSilence()
			started.publish()
			started.lapse()
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// fallSilent has the runner neither read nor send anything for a time. It goes on then.
func (engine *engine) fallSilent(duration time.Duration) {
	engine.all.mu.Lock()
	defer engine.all.mu.Unlock()
	engine.silentUntil = time.Now().Add(duration)
}

func (engine *engine) awaitEndOfSilence() {
	for {
		engine.all.mu.Lock()
		wait := time.Until(engine.silentUntil)
		engine.all.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// state returns what the row and the report have in common. The caller holds the lock.
func (engine *engine) state() map[string]any {
	state := map[string]any{"born": engine.born, "domain": engine.domain, "staged": engine.staged, "stage": "unified"}
	if engine.group.Name != "" {
		state["group"] = engine.group
		state["models"] = []any{map[string]any{"name": engine.lastModel, "version": 1, "adapters": []any{}}}
	}
	return state
}

// cutFromStore partitions the runner from the store for a time.
func (engine *engine) cutFromStore(duration time.Duration) {
	engine.all.mu.Lock()
	defer engine.all.mu.Unlock()
	engine.cutUntil = time.Now().Add(duration)
}

// slowDown has the runner work slower for a time.
func (engine *engine) slowDown(pace float64, duration time.Duration) {
	set := func(pace float64) {
		engine.all.mu.Lock()
		defer engine.all.mu.Unlock()
		engine.pace = pace
	}
	set(pace)
	time.AfterFunc(duration, func() { set(1) })
}

// lapse removes the row of a runner from which the store has long heard nothing.
func (engine *engine) lapse() {
	engine.all.mu.Lock()
	defer engine.all.mu.Unlock()
	if time.Since(engine.beatAt) > rowsLapse && engine.all.world.store.Has("servers/"+engine.id) {
		engine.all.world.store.Remove("servers", engine.id)
		engine.all.world.record("the row of %s is removed", engine.id)
	}
}

// publish writes the runner's row, unless the runner is cut off from the store.
func (engine *engine) publish() {
	engine.all.mu.Lock()
	defer engine.all.mu.Unlock()
	if time.Now().Before(engine.cutUntil) {
		return
	}
	engine.beatAt = time.Now()
	engine.beats++
	row := engine.state()
	row["service"], row["address"], row["zone"], row["version"] = pool, engine.address, engine.zone, "v1"
	row["slots"], row["state"], row["cold_remaining_ms"], row["sequence"] = engineSlots, "ready", 0, engine.beats
	engine.all.world.store.Put("servers", engine.id, row)
}

func (engine *engine) handleReport(writer http.ResponseWriter, _ *http.Request) {
	engine.all.mu.Lock()
	report := engine.state()
	report["busy"], report["sequence"], report["pace"] = false, engine.sequence, engine.pace
	engine.all.mu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(report) // an error means that the caller has left
}

func (engine *engine) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var body order
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	engine.all.mu.Lock()
	status := engine.execute(body)
	engine.all.mu.Unlock()
	engine.all.world.record("order to %s: %s %s epoch %d %s: %d", engine.id, body.Operation, body.Group, body.Epoch, body.Method, status)
	if status == http.StatusAccepted {
		engine.publish()
	}
	writer.WriteHeader(status)
}

// execute begins an order and returns its status. The caller holds the lock.
func (engine *engine) execute(body order) int {
	isMember := engine.group.Name == body.Group && engine.group.Epoch == body.Epoch
	switch body.Operation {
	case "stage":
		if slices.Contains(engine.staged, body.Model) {
			return http.StatusOK
		}
		engine.after(engine.all.loadTime(), func() { engine.staged = []string{body.Model} })
	case "join":
		return engine.join(body, isMember)
	case "open":
		switch {
		case !isMember || engine.group.Rank != 0 || engine.group.State != ready && engine.group.State != open:
			return http.StatusConflict
		case engine.group.State == open:
			return http.StatusOK
		}
		engine.afterInGroup(formTime, func() { engine.group.State = open })
	case "close":
		switch {
		case !isMember || engine.group.State != open && engine.group.State != ready:
			return http.StatusConflict
		case engine.group.State == ready:
			return http.StatusOK
		}
		engine.group.State = ready
	case "leave":
		if !isMember {
			return http.StatusConflict
		}
		engine.group = group{}
	default:
		return http.StatusBadRequest
	}
	engine.sequence++
	return http.StatusAccepted
}

func (engine *engine) join(body order, isMember bool) int {
	switch {
	case body.Epoch < engine.maxEpoch || isMember && !slices.Equal(body.Members, engine.group.members):
		return http.StatusPreconditionFailed
	case isMember && engine.group.State != joining:
		return http.StatusOK
	}
	engine.all.checkJoin(engine, body)
	engine.maxEpoch = body.Epoch
	duration := warmTime
	switch {
	case engine.lastModel == body.Model:
		duration = rejoinTime
	case !slices.Contains(engine.staged, body.Model):
		duration = engine.all.loadTime()
	}
	engine.group = group{Name: body.Group, Epoch: body.Epoch, Rank: slices.Index(body.Members, engine.id), State: joining, members: body.Members}
	engine.lastModel = body.Model
	engine.afterInGroup(duration, func() {
		if engine.group.State == joining {
			engine.group.State, engine.staged = ready, []string{body.Model}
		}
	})
	engine.sequence++
	return http.StatusAccepted
}

// checkJoin records a join of another group while the head of the runner's group is open or
// closing, or stands still and isn't yet broken. The caller holds the lock.
func (all *engines) checkJoin(member *engine, body order) {
	all.joins++
	if member.group.Name == "" || member.group.Name == body.Group || len(member.group.members) == 0 {
		return
	}
	head := all.byID[member.group.members[0]]
	sameGroup := head != nil && head.group.Name == member.group.Name && head.group.Epoch == member.group.Epoch
	if sameGroup && (head.group.State == open || head.group.State == closing) {
		silence := ""
		if wait := time.Until(head.silentUntil); wait > 0 {
			silence = fmt.Sprintf(", which is silent for another %s", wait.Round(time.Millisecond))
		}
		all.violations = append(all.violations, fmt.Sprintf("%s takes a join of group %s while the head %s of its group %s is %s%s", member.id, body.Group, head.id, head.group.Name, head.group.State, silence))
		all.world.record("broken: %s", all.violations[len(all.violations)-1])
	}
}

// loadTime returns how long a load takes. The caller holds the lock.
func (all *engines) loadTime() time.Duration {
	if all.hasTraffic {
		return loadTime
	}
	return loadTime / 10
}

// after changes the runner's state after a time, and publishes it.
func (engine *engine) after(delay time.Duration, change func()) {
	time.AfterFunc(delay, func() {
		engine.awaitEndOfSilence()
		engine.all.mu.Lock()
		change()
		engine.all.mu.Unlock()
		engine.publish()
	})
}

// afterInGroup is like after, unless the runner has left its group meanwhile. The caller holds
// the lock.
func (engine *engine) afterInGroup(delay time.Duration, change func()) {
	member := engine.group
	engine.after(delay, func() {
		if engine.group.Name == member.Name && engine.group.Epoch == member.Epoch {
			change()
		}
	})
}

// membership returns the group of a runner, as text.
func (engine *engine) membership() string {
	engine.all.mu.Lock()
	defer engine.all.mu.Unlock()
	return fmt.Sprintf("%s epoch %d rank %d %s", engine.group.Name, engine.group.Epoch, engine.group.Rank, engine.group.State)
}

// serves returns whether a head serves its group now, and whether that is whole. A group that
// has lost a member stands still, and is broken after stallTime.
func (engine *engine) serves(member group) (serving, whole bool) {
	engine.all.mu.Lock()
	defer engine.all.mu.Unlock()
	if engine.group.Name != member.Name || engine.group.Epoch != member.Epoch || engine.group.State != open {
		return false, false
	}
	whole = true
	for _, id := range member.members {
		other := engine.all.byID[id]
		whole = whole && other.group.Name == member.Name && other.group.Epoch == member.Epoch && !time.Now().Before(other.silentUntil)
	}
	switch {
	case whole:
		engine.stalledAt = time.Time{}
	case engine.stalledAt.IsZero():
		engine.stalledAt = time.Now()
	case time.Since(engine.stalledAt) > stallTime:
		engine.group.State = broken
		return false, false
	}
	return true, whole
}

// handleStream serves a stream as the head of a group.
func (engine *engine) handleStream(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("X-Greengageroute-Attempt-Id", request.Header.Get("X-Greengageroute-Attempt-Id"))
	engine.all.mu.Lock()
	member := engine.group
	engine.all.hasTraffic = true
	engine.all.mu.Unlock()
	if member.Name == "" || member.Rank != 0 {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if serving, _ := engine.serves(member); !serving {
		writer.Header().Set("X-Greengageroute-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Greengageroute-Server-Signature", engine.id)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 without the header
	pause := firstEvent
	for id := last + 1; id <= pieces; id++ {
		time.Sleep(time.Duration(float64(pause) * engine.all.paceOf(member)))
		pause = eventGap
		for {
			engine.awaitEndOfSilence()
			serving, whole := engine.serves(member)
			if !serving || request.Context().Err() != nil {
				panic(http.ErrAbortHandler) // the work is cut off
			}
			if whole {
				break
			}
			time.Sleep(stallCheck)
		}
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(writer).Flush()
	}
}

// paceOf returns the pace of a group, that of its slowest member.
func (all *engines) paceOf(member group) float64 {
	all.mu.Lock()
	defer all.mu.Unlock()
	pace := 1.0
	for _, id := range member.members {
		pace = max(pace, all.byID[id].pace)
	}
	return pace
}

// openHeads returns the heads of open groups in a domain.
func (all *engines) openHeads(domain string) (heads []*engine) {
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, found := range all.byID {
		if found.domain == domain && found.group.State == open && found.group.Rank == 0 {
			heads = append(heads, found)
		}
	}
	return heads
}
