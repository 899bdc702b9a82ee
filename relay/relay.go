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
	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/platform"
)

const (
	// ageMargin is added to the age that a reader's rows may have: twice the wait of its
	// polls, one for the last completed poll and one for the current poll. Older rows
	// mean that the reader can't reach the store.
	ageMargin = 300 * time.Millisecond
	// maxReadAge is the age that the rows may have when all rows of a table are read.
	maxReadAge = 2700 * time.Millisecond
	// maxWait is how long a call to the reader waits for changes. It is short because
	// the confirmation ages meanwhile.
	maxWait = 400 * time.Millisecond
	// responseMargin is how long after the wait the reader's response may come.
	responseMargin = 250 * time.Millisecond
	// readerBackoff is how long a reader that failed is not asked again.
	readerBackoff = time.Second
	// notReadingBackoff is the same for a reader that responded but doesn't read the
	// table from the store yet, as when all entries start together.
	notReadingBackoff = 120 * time.Millisecond
	// minFailoverDelay is how long an entry outside the immediateRanks goes at least
	// without any reader before it calls the store. Another reader takes over meanwhile,
	// and a whole fleet that calls the store at once costs more than it gains. Each
	// entry waits between one and three times as long, so that the first to succeed
	// serve the others.
	minFailoverDelay = 350 * time.Millisecond
	// minStoreRetryDelay is how long at least an entry outside the immediateRanks doesn't
	// call the store after its own call failed. The delay is random, at most twice as
	// long. The entries of the first ranks notice when the store is reachable again, and
	// the others notice it through them.
	minStoreRetryDelay = 1500 * time.Millisecond
	// readingTimeout is how long an entry counts as reading the store after the store's
	// last response to it: longer than the longest wait of a call.
	readingTimeout = 2 * time.Second
	// immediateRanks is how many entries, by rank, call the store at once when no reader
	// responds, so that the others can ask them.
	immediateRanks = 2
	// maxResponse is the limit of a reader's response in bytes. A response may hold a
	// whole table.
	maxResponse = 8 << 20
	// maxHeaderBytes is the limit of the header of a reader's response.
	maxHeaderBytes = 16 << 10
)

type (
	// Store is the platform's store.
	Store interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Changes(ctx context.Context, name string, after greengageroute.StoreRevision, wait time.Duration) (platform.Rows, error)
	}

	// Peers name the entries that read the store.
	Peers interface {
		// Readers returns the readers to ask, in order, and this entry's own rank. The
		// entry of rank 0 reads the store itself.
		Readers() (addresses []string, rank int)
	}

	// NoReaderError means that no reader returned usable rows and that the store was not
	// called. It doesn't imply that the store is unreachable.
	NoReaderError struct{ Cause error }

	// Source reads tables from the data centre's reader. It calls the store if this entry
	// is the reader, or if no reader returns usable rows.
	Source struct {
		store          Store
		peers          Peers
		cache          *Cache
		clock          greengageroute.Clock
		countStoreCall func()
		client         *http.Client

		failoverDelay time.Duration

		startedAt    time.Time
		mu           sync.Mutex
		backoffUntil map[string]time.Time // of readers that failed, by address
		tables       map[string]*tableState
		era          uint64 // latest known of the store
	}

	// tableState is how one table was last read.
	tableState struct {
		fromStore    bool      // the last read came from the store, not from a reader
		lastRead     time.Time // from either
		storeFailed  bool      // this entry's last call to the store failed
		retryStoreAt time.Time // no call to the store before, unless of the immediateRanks
	}
)

func (err *NoReaderError) Error() string {
	return "no reader of the store is usable (" + err.Cause.Error() + "); retrying shortly"
}

// Unwrap returns why no reader was usable.
func (err *NoReaderError) Unwrap() error { return err.Cause }

// NewSource returns a source that stores in the cache what it reads from the store. It
// calls countStoreCall before each call to the store.
func NewSource(store Store, peers Peers, cache *Cache, clock greengageroute.Clock, countStoreCall func()) *Source {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: responseMargin}).DialContext, DisableCompression: true,
		ReadBufferSize: 2 << 10, WriteBufferSize: 1 << 10,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Source{
		store: store, peers: peers, cache: cache, clock: clock, countStoreCall: countStoreCall, client: http1.NewClient(transport),
		failoverDelay: minFailoverDelay + rand.N(2*minFailoverDelay), startedAt: clock.Now(), backoffUntil: map[string]time.Time{}, tables: map[string]*tableState{},
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
	requestedAt := source.clock.Now()
	source.countStoreCall()
	rows, err = source.store.Read(ctx, name)
	if err == nil {
		err = source.recordEra(rows)
	}
	if source.recordStoreCall(name, err) {
		source.cache.Replace(name, rows, requestedAt)
	}
	return rows, err
}

// Changes returns the changes of a table after a revision, waiting for them if there
// are none yet.
func (source *Source) Changes(ctx context.Context, name string, after greengageroute.StoreRevision, wait time.Duration) (platform.Rows, error) {
	query := url.Values{"table": {name}, "after": {strconv.FormatUint(after.Version, 10)}, "era": {strconv.FormatUint(after.Era, 10)}}
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
		// The cache lacks the changes that came through a reader: read the whole table.
		return rows, &platform.HistoryGoneError{Table: name}
	}
	requestedAt := source.clock.Now()
	source.countStoreCall()
	rows, err = source.store.Changes(ctx, name, after, wait)
	if err == nil {
		err = source.recordEra(rows)
	}
	if source.recordStoreCall(name, err) {
		source.cache.Apply(name, rows, requestedAt)
	}
	return rows, err
}

// Era returns the latest era of the store that this entry knows, or 0.
func (source *Source) Era() uint64 {
	source.mu.Lock()
	defer source.mu.Unlock()
	return source.era
}

// recordEra records the era of rows. It returns an error if they are from before a
// restoration of the store that this entry knows of.
func (source *Source) recordEra(rows platform.Rows) error {
	source.mu.Lock()
	defer source.mu.Unlock()
	if rows.Era < source.era {
		return trace.ConnectionProblem(nil, "the rows are of era %d of the store, which is in era %d; reading them again", rows.Era, source.era)
	}
	source.era = rows.Era
	return nil
}

// ReadsStore reports whether this entry reads all its tables from the store itself, so
// that others can ask it for them.
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

// update changes the state of a table under the lock.
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

func (source *Source) recordRead(name string, fromStore bool) {
	source.update(name, func(table *tableState) {
		table.fromStore, table.storeFailed, table.lastRead = fromStore, false, source.clock.Now()
	})
}

// recordStoreCall records the result of this entry's own call to the store and reports
// whether it succeeded. History that is gone is no failure of the store.
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

// leavesStoreToOthers reports whether this entry doesn't call the store for now because
// others do.
func (source *Source) leavesStoreToOthers(name string) (leaves bool) {
	_, rank := source.peers.Readers()
	now := source.clock.Now()
	source.update(name, func(table *tableState) {
		since := table.lastRead
		if since.IsZero() {
			since = source.startedAt
		}
		withinDelay := now.Sub(since) < source.failoverDelay
		leaves = rank >= immediateRanks && (withinDelay || now.Before(table.retryStoreAt))
	})
	return leaves
}

func (source *Source) readFromStore(name string) (fromStore bool) {
	source.update(name, func(table *tableState) { fromStore = table.fromStore })
	return fromStore
}

// canServe reports whether other entries may read a table from here.
func (source *Source) canServe(name string) (serves bool) {
	source.update(name, func(table *tableState) { serves = table.fromStore && !table.storeFailed })
	return serves
}

var (
	errNoReader   = errors.New("no other entry reads the store for this entry, or all failed recently")
	errNotReading = errors.New("the reader doesn't read the table from the store")
)

// askReaders asks the readers one after the other and returns the first rows that are
// at most maxAge old. If this entry is the first reader, there is no other to ask.
func (source *Source) askReaders(ctx context.Context, path string, wait, maxAge time.Duration) (rows platform.Rows, err error) {
	err = errNoReader
	addresses, _ := source.peers.Readers()
	for _, address := range addresses {
		if source.failedRecently(address) {
			continue
		}
		rows, err = source.callReader(ctx, address, path, wait)
		if err == nil && rows.Age > maxAge {
			err = trace.ConnectionProblem(nil, "the reader last confirmed its rows with the store %s ago; asking another reader", rows.Age)
		}
		if err == nil {
			err = source.recordEra(rows)
		}
		var gone *platform.HistoryGoneError
		if err == nil || errors.As(err, &gone) {
			return rows, err
		}
		backoff := readerBackoff
		if errors.Is(err, errNotReading) {
			backoff = notReadingBackoff
		}
		source.mu.Lock()
		source.backoffUntil[address] = source.clock.Now().Add(backoff)
		source.mu.Unlock()
	}
	return rows, err
}

func (source *Source) failedRecently(address string) bool {
	source.mu.Lock()
	defer source.mu.Unlock()
	return source.clock.Now().Before(source.backoffUntil[address])
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
		return rows, trace.Wrap(err, "calling the reader")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return rows, errNotReading
	case http.StatusGone:
		return rows, &platform.HistoryGoneError{Table: request.URL.Query().Get("table")}
	default:
		return rows, trace.ConnectionProblem(nil, "the reader returned HTTP status %s; asking another reader or the store", response.Status)
	}
	if err := cbor.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(&rows); err != nil {
		return rows, trace.Wrap(err, "decoding the reader's response")
	}
	return rows, nil
}

// Handler serves the cache to other entries. It responds with 503 if this entry doesn't
// read the table from the store itself.
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
			http.Error(writer, "the query parameter after must be a version number", http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(request.FormValue("wait-ms"))         // 0 if missing: respond at once
		era, _ := strconv.ParseUint(request.FormValue("era"), 10, 64) // 0 if missing: entries of older builds know no eras
		revision := greengageroute.StoreRevision{Era: era, Version: after}
		rows, gone, found := source.cache.Changes(request.Context(), name, revision, min(time.Duration(wait)*time.Millisecond, maxWait))
		writeRows(writer, rows, gone, found && source.canServe(name))
	})
	return mux
}

func writeRows(writer http.ResponseWriter, rows platform.Rows, gone, found bool) {
	switch {
	case !found:
		http.Error(writer, "this entry doesn't read the table from the store", http.StatusServiceUnavailable)
		return
	case gone:
		http.Error(writer, "the history doesn't reach back to this version", http.StatusGone)
		return
	}
	body, err := cbor.Marshal(rows)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	// A write error needs no handling: the caller can't decode a truncated response.
	_, _ = writer.Write(body)
}
