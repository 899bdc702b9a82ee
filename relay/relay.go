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
	maxReadAge = 2700 * time.Millisecond
	// longestWait is how long a call to the reader waits for changes: its proof
	// ages meanwhile.
	maxWait = 400 * time.Millisecond
	// answerSlack is how much later the reader's answer may come.
	responseMargin = 250 * time.Millisecond
	// distrust is how long a reader that failed is not asked.
	readerBackoff = time.Second
	// patience is how long an entry that isn't among the first goes at least without
	// any reader before it asks the store: another reader takes over meanwhile, and a
	// fleet that turns to the store at once costs more than it learns. Each entry
	// waits up to three times as long, so that the first to succeed serve the others.
	minFailoverDelay = 350 * time.Millisecond
	// ownRetry is how long an entry that isn't among the first leaves the store alone
	// after a call of its own has failed, and up to twice as long: the first entries
	// notice that the store is back, and the others by them.
	minStoreRetryDelay = 1500 * time.Millisecond
	// readsFor is how recent the last answer of an entry that reads the store is:
	// longer than the longest wait of a call.
	readingTimeout = 2 * time.Second
	// firstPlaces turn to the store at once, so that the others can ask them.
	immediateRanks = 2
	// maxAnswer bounds a reader's answer, as large as a whole list.
	maxResponse = 8 << 20
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

	// NoReaderError says that no reader could be relied on and that the store was not
	// asked: it says nothing of the store.
	NoReaderError struct{ Cause error }

	// Source reads tables from the entry that reads them for the data centre, or
	// from the store if this is the one, or the one can't be relied on.
	Source struct {
		store          Store
		peers          Peers
		cache          *Cache
		clock          greengageroute.Clock
		countStoreCall func() // counts calls to the store
		client         *http.Client

		failoverDelay time.Duration

		mu            sync.Mutex
		failedReaders map[string]time.Time
		tables        map[string]*tableState
	}

	// reading is how one table was read lately.
	tableState struct {
		fromStore    bool      // the last time from the store itself
		lastRead     time.Time // when it was last read at all
		storeFailed  bool      // the last call of this entry to the store
		retryStoreAt time.Time // before this it leaves the store to the first entries
	}
)

func (err *NoReaderError) Error() string {
	return "no entry reads the store for this one (" + err.Cause.Error() + "); asking again shortly"
}

// Unwrap returns the cause.
func (err *NoReaderError) Unwrap() error { return err.Cause }

// NewSource returns a source that fills the cache with what it reads itself.
func NewSource(store Store, peers Peers, cache *Cache, clock greengageroute.Clock, asked func()) *Source {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: responseMargin}).DialContext, DisableCompression: true,
		ReadBufferSize: 2 << 10, WriteBufferSize: 1 << 10,
	}
	return &Source{
		store: store, peers: peers, cache: cache, clock: clock, countStoreCall: asked, client: &http.Client{Transport: transport},
		failoverDelay: minFailoverDelay + rand.N(2*minFailoverDelay), failedReaders: map[string]time.Time{}, tables: map[string]*tableState{},
	}
}

// Read returns all rows of a table.
func (source *Source) Read(ctx context.Context, name string) (platform.Rows, error) {
	rows, err := source.askReaders(ctx, "/rows?"+url.Values{"table": {name}}.Encode(), 0, maxReadAge)
	if err == nil {
		source.recordRead(name, false)
		return rows, nil
	}
	if source.leavesStoreToOthers(name) {
		return rows, &NoReaderError{Cause: err}
	}
	began := source.clock.Now()
	source.countStoreCall()
	rows, err = source.store.Read(ctx, name)
	if source.recordStoreCall(name, err) {
		source.cache.Replace(name, rows, began)
	}
	return rows, err
}

// Changes returns what has changed in a table after a version.
func (source *Source) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Rows, error) {
	query := url.Values{"table": {name}, "after": {strconv.FormatUint(after, 10)}}
	rows, err := source.askReaders(ctx, "/changes?"+query.Encode(), min(wait, maxWait), 2*wait+ageMargin)
	if err == nil {
		source.recordRead(name, false)
		return rows, nil
	}
	var gone *platform.HistoryGoneError
	if errors.As(err, &gone) {
		return rows, err
	}
	if !source.readFromStore(name) && source.leavesStoreToOthers(name) {
		return rows, &NoReaderError{Cause: err}
	}
	if !source.readFromStore(name) {
		// The cache lacks what others read meanwhile: begin with a whole reading.
		return rows, &platform.HistoryGoneError{Table: name}
	}
	began := source.clock.Now()
	source.countStoreCall()
	rows, err = source.store.Changes(ctx, name, after, wait)
	if source.recordStoreCall(name, err) {
		source.cache.Apply(name, rows, began)
	}
	return rows, err
}

// ReadsStore reports whether this entry reads all its tables from the store itself, so
// that others can ask it.
func (source *Source) ReadsStore() bool {
	now := source.clock.Now()
	source.mu.Lock()
	defer source.mu.Unlock()
	for _, table := range source.tables {
		if !table.fromStore || table.storeFailed || now.Sub(table.lastRead) > readingTimeout {
			return false
		}
	}
	return len(source.tables) > 0
}

// edit changes what is known of the reading of a table.
func (source *Source) update(name string, change func(table *tableState)) {
	source.mu.Lock()
	defer source.mu.Unlock()
	table, known := source.tables[name]
	if !known {
		table = &tableState{}
		source.tables[name] = table
	}
	change(table)
}

func (source *Source) recordRead(name string, direct bool) {
	source.update(name, func(table *tableState) {
		table.fromStore, table.storeFailed, table.lastRead = direct, false, source.clock.Now()
	})
}

// noteOwn notes how a call of this entry's own to the store went. It tells whether
// it was answered.
func (source *Source) recordStoreCall(name string, err error) bool {
	if err == nil {
		source.recordRead(name, true)
		return true
	}
	var gone *platform.HistoryGoneError
	if !errors.As(err, &gone) {
		source.update(name, func(table *tableState) {
			table.storeFailed, table.retryStoreAt = true, source.clock.Now().Add(minStoreRetryDelay+rand.N(minStoreRetryDelay))
		})
	}
	return false
}

// waits tells whether this entry leaves it to others to ask the store for now.
func (source *Source) leavesStoreToOthers(name string) (waits bool) {
	_, place := source.peers.Readers()
	now := source.clock.Now()
	source.update(name, func(table *tableState) {
		patient := !table.lastRead.IsZero() && now.Sub(table.lastRead) < source.failoverDelay
		waits = place >= immediateRanks && (patient || now.Before(table.retryStoreAt))
	})
	return waits
}

func (source *Source) readFromStore(name string) (direct bool) {
	source.update(name, func(table *tableState) { direct = table.fromStore })
	return direct
}

// serves tells whether others may have a table from here.
func (source *Source) canServe(name string) (serves bool) {
	source.update(name, func(table *tableState) { serves = table.fromStore && !table.storeFailed })
	return serves
}

var errNoReader = errors.New("no other entry reads the store for this one")

// ask asks the readers one after the other, unless this entry is the first.
func (source *Source) askReaders(ctx context.Context, path string, wait, oldest time.Duration) (rows platform.Rows, err error) {
	err = errNoReader
	addresses, _ := source.peers.Readers()
	for _, address := range addresses {
		if source.failedRecently(address) {
			continue
		}
		rows, err = source.callReader(ctx, address, path, wait)
		if err == nil && rows.Age > oldest {
			err = trace.ConnectionProblem(nil, "the reader's proof is %s old; asking another", rows.Age)
		}
		var gone *platform.HistoryGoneError
		if err == nil || errors.As(err, &gone) {
			return rows, err
		}
		source.mu.Lock()
		source.failedReaders[address] = source.clock.Now()
		source.mu.Unlock()
	}
	return rows, err
}

func (source *Source) failedRecently(address string) bool {
	source.mu.Lock()
	defer source.mu.Unlock()
	since, known := source.failedReaders[address]
	return known && source.clock.Now().Sub(since) < readerBackoff
}

func (source *Source) callReader(ctx context.Context, address, path string, wait time.Duration) (platform.Rows, error) {
	var rows platform.Rows
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
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
	if err := cbor.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(&rows); err != nil {
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
		writeRows(writer, rows, false, found && source.canServe(name))
	})
	mux.HandleFunc("GET /changes", func(writer http.ResponseWriter, request *http.Request) {
		name := request.FormValue("table")
		after, err := strconv.ParseUint(request.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(writer, "after is not a version", http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(request.FormValue("wait-ms")) // none: answer at once
		rows, gone, found := source.cache.Changes(request.Context(), name, after, min(time.Duration(wait)*time.Millisecond, maxWait))
		writeRows(writer, rows, gone, found && source.canServe(name))
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
