package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

const (
	// ageMargin is how much older than two waits of its polls a reader's proof may
	// be, the last that ended and the one under way: the reader has lost the store
	// otherwise.
	ageMargin = 300 * time.Millisecond
	// readAge is how old a proof may be for a whole reading.
	readAge = 2700 * time.Millisecond
	// longestWait is how long a call to the reader waits for changes: its proof
	// ages meanwhile.
	longestWait = 400 * time.Millisecond
	// answerSlack is how much later the reader's answer may come.
	answerSlack = 250 * time.Millisecond
	// distrust is how long a reader that failed is not asked.
	distrust = time.Second
	// patience is how long an entry that isn't among the first goes at least without
	// any reader before it asks the store: another reader takes over meanwhile, and a
	// fleet that turns to the store at once costs more than it learns. Each entry
	// waits up to three times as long, so that the first to succeed serve the others.
	patience = 350 * time.Millisecond
	// ownRetry is how long an entry that isn't among the first leaves the store alone
	// after a call of its own has failed, and up to twice as long: the first entries
	// notice that the store is back, and the others by them.
	ownRetry = 1500 * time.Millisecond
	// readsFor is how recent the last answer of an entry that reads the store is:
	// longer than the longest wait of a call.
	readsFor = 2 * time.Second
	// firstPlaces turn to the store at once, so that the others can ask them.
	firstPlaces = 2
	// maxAnswer bounds a reader's answer, as large as a whole list.
	maxAnswer = 8 << 20
)

type (
	// Store is the platform's store.
	Store interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Changes(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Rows, error)
	}

	// Peers tell who reads the store.
	Peers interface {
		Readers() (addresses []string, place int)
	}

	// ReaderError says that no reader could be relied on and that the store was not
	// asked: it says nothing of the store.
	ReaderError struct{ Cause error }

	// Source reads tables from the entry that reads them for the data centre, or
	// from the store if this is the one, or the one can't be relied on.
	Source struct {
		store  Store
		peers  Peers
		cache  *Cache
		clock  greengageroute.Clock
		asked  func() // counts calls to the store
		client *http.Client

		patience time.Duration

		mu       sync.Mutex
		distrust map[string]time.Time
		tables   map[string]*reading
	}

	// reading is how one table was read lately.
	reading struct {
		direct bool      // the last time from the store itself
		good   time.Time // when it was last read at all
		failed bool      // the last call of this entry to the store
		retry  time.Time // before this it leaves the store to the first entries
	}
)

func (err *ReaderError) Error() string {
	return "no entry reads the store for this one (" + err.Cause.Error() + "); asking again shortly"
}

// Unwrap returns the cause.
func (err *ReaderError) Unwrap() error { return err.Cause }

// NewSource returns a source that fills the cache with what it reads itself.
func NewSource(store Store, peers Peers, cache *Cache, clock greengageroute.Clock, asked func()) *Source {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: answerSlack}).DialContext, DisableCompression: true,
		ReadBufferSize: 2 << 10, WriteBufferSize: 1 << 10,
	}
	return &Source{
		store: store, peers: peers, cache: cache, clock: clock, asked: asked, client: &http.Client{Transport: transport},
		patience: patience + rand.N(2*patience), distrust: map[string]time.Time{}, tables: map[string]*reading{},
	}
}

// Read returns all rows of a table.
func (source *Source) Read(ctx context.Context, name string) (platform.Rows, error) {
	rows, err := source.ask(ctx, "/rows?"+url.Values{"table": {name}}.Encode(), 0, readAge)
	if err == nil {
		source.noteDirect(name, false)
		return rows, nil
	}
	if source.waits(name) {
		return rows, &ReaderError{Cause: err}
	}
	began := source.clock.Now()
	source.asked()
	rows, err = source.store.Read(ctx, name)
	if source.noteOwn(name, err) {
		source.cache.Replace(name, rows, began)
	}
	return rows, err
}

// Changes returns what has changed in a table after a version.
func (source *Source) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Rows, error) {
	query := url.Values{"table": {name}, "after": {strconv.FormatUint(after, 10)}}
	rows, err := source.ask(ctx, "/changes?"+query.Encode(), min(wait, longestWait), 2*wait+ageMargin)
	if err == nil {
		source.noteDirect(name, false)
		return rows, nil
	}
	var gone *platform.HistoryGoneError
	if errors.As(err, &gone) {
		return rows, err
	}
	if !source.wasDirect(name) && source.waits(name) {
		return rows, &ReaderError{Cause: err}
	}
	if !source.wasDirect(name) {
		// The cache lacks what others read meanwhile: begin with a whole reading.
		return rows, &platform.HistoryGoneError{Table: name}
	}
	began := source.clock.Now()
	source.asked()
	rows, err = source.store.Changes(ctx, name, after, wait)
	if source.noteOwn(name, err) {
		source.cache.Apply(name, rows, began)
	}
	return rows, err
}

// Reading tells whether this entry reads all its tables from the store itself, so
// that others can ask it.
func (source *Source) Reading() bool {
	now := source.clock.Now()
	source.mu.Lock()
	defer source.mu.Unlock()
	for _, table := range source.tables {
		if !table.direct || table.failed || now.Sub(table.good) > readsFor {
			return false
		}
	}
	return len(source.tables) > 0
}

// edit changes what is known of the reading of a table.
func (source *Source) edit(name string, change func(table *reading)) {
	source.mu.Lock()
	defer source.mu.Unlock()
	table, known := source.tables[name]
	if !known {
		table = &reading{}
		source.tables[name] = table
	}
	change(table)
}

func (source *Source) noteDirect(name string, direct bool) {
	source.edit(name, func(table *reading) {
		table.direct, table.failed, table.good = direct, false, source.clock.Now()
	})
}

// noteOwn notes how a call of this entry's own to the store went. It tells whether
// it was answered.
func (source *Source) noteOwn(name string, err error) bool {
	if err == nil {
		source.noteDirect(name, true)
		return true
	}
	var gone *platform.HistoryGoneError
	if !errors.As(err, &gone) {
		source.edit(name, func(table *reading) {
			table.failed, table.retry = true, source.clock.Now().Add(ownRetry+rand.N(ownRetry))
		})
	}
	return false
}

// waits tells whether this entry leaves it to others to ask the store for now.
func (source *Source) waits(name string) (waits bool) {
	_, place := source.peers.Readers()
	now := source.clock.Now()
	source.edit(name, func(table *reading) {
		patient := !table.good.IsZero() && now.Sub(table.good) < source.patience
		waits = place >= firstPlaces && (patient || now.Before(table.retry))
	})
	return waits
}

func (source *Source) wasDirect(name string) (direct bool) {
	source.edit(name, func(table *reading) { direct = table.direct })
	return direct
}

// serves tells whether others may have a table from here.
func (source *Source) serves(name string) (serves bool) {
	source.edit(name, func(table *reading) { serves = table.direct && !table.failed })
	return serves
}

var errNoReader = errors.New("no other entry reads the store for this one")

// ask asks the readers one after the other, unless this entry is the first.
func (source *Source) ask(ctx context.Context, path string, wait, oldest time.Duration) (rows platform.Rows, err error) {
	err = errNoReader
	addresses, _ := source.peers.Readers()
	for _, address := range addresses {
		if source.distrusts(address) {
			continue
		}
		rows, err = source.call(ctx, address, path, wait)
		if err == nil && rows.Age > oldest {
			err = trace.ConnectionProblem(nil, "the reader's proof is %s old; asking another", rows.Age)
		}
		var gone *platform.HistoryGoneError
		if err == nil || errors.As(err, &gone) {
			return rows, err
		}
		source.mu.Lock()
		source.distrust[address] = source.clock.Now()
		source.mu.Unlock()
	}
	return rows, err
}

func (source *Source) distrusts(address string) bool {
	source.mu.Lock()
	defer source.mu.Unlock()
	since, known := source.distrust[address]
	return known && source.clock.Now().Sub(since) < distrust
}

func (source *Source) call(ctx context.Context, address, path string, wait time.Duration) (platform.Rows, error) {
	var rows platform.Rows
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	if wait > 0 {
		path += "&wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return rows, trace.Wrap(err)
	}
	response, err := source.client.Do(request)
	if err != nil {
		return rows, trace.Wrap(err, "asking the reader")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return rows, &platform.HistoryGoneError{Table: request.URL.Query().Get("table")}
	default:
		return rows, trace.ConnectionProblem(nil, "the reader answered %s; asking the store", response.Status)
	}
	if err := cbor.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&rows); err != nil {
		return rows, trace.Wrap(err, "decoding the reader's answer")
	}
	return rows, nil
}

// Handler serves the cache to other entries. An entry that doesn't read the
// store itself answers 503.
func (source *Source) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows", func(writer http.ResponseWriter, request *http.Request) {
		name := request.FormValue("table")
		rows, found := source.cache.Read(name)
		writeRows(writer, rows, false, found && source.serves(name))
	})
	mux.HandleFunc("GET /changes", func(writer http.ResponseWriter, request *http.Request) {
		name := request.FormValue("table")
		after, err := strconv.ParseUint(request.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(writer, "after is not a version", http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(request.FormValue("wait-ms")) // none: answer at once
		rows, gone, found := source.cache.Changes(request.Context(), name, after, min(time.Duration(wait)*time.Millisecond, longestWait))
		writeRows(writer, rows, gone, found && source.serves(name))
	})
	return mux
}

func writeRows(writer http.ResponseWriter, rows platform.Rows, gone, found bool) {
	switch {
	case !found:
		http.Error(writer, "this entry doesn't read the store", http.StatusServiceUnavailable)
		return
	case gone:
		http.Error(writer, "the history doesn't reach back", http.StatusGone)
		return
	}
	body, err := cbor.Marshal(rows)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	// A cut answer doesn't decode.
	_, _ = writer.Write(body)
}
