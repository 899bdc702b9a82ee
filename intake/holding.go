package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// framingStep is the step in which the framing of chunks is charged.
	framingStep = 4 << 10
	// leftoverTimeout bounds the time for the part of a refused body that the HTTP server
	// reads on, 256 KB at most.
	leftoverTimeout = 2 * time.Second
	// stalledWriteChecks is the number of checks without progress after which a caller
	// counts as one that doesn't read.
	stalledWriteChecks = 2
	// headerFieldBytes is what a field of a decoded header takes beside its text, and headerCopies
	// how often a header is held: as received, and as it is forwarded.
	headerFieldBytes = 128
	headerCopies     = 2
	// overBudgetRetryAfter is about as long as it takes until callers that have stopped can be
	// told from those that send.
	overBudgetRetryAfter = 2 * time.Second
)

type (
	// Refusal is the reason why a body is not read. The request has not run.
	Refusal struct {
		Status     int
		Reason     string
		Remedy     string
		RetryAfter time.Duration // 0: none
	}

	// Holding is the part of a budget that one request holds. The zero value holds nothing
	// and belongs to no budget, which bounds nothing.
	Holding struct {
		budget *Budget
		writer http.ResponseWriter
		conn   *Conn // nil if the server's connections are not tracked

		next, previous *Holding // guarded by the budget, as the others below
		linked         bool
		released       bool
		reading        bool
		held           int64
		ended          error
		pace           greengageroute.BodyPace
		received       atomic.Int64      // bytes of the body, or of the event
		cancel         func(cause error) // of events: ends their attempt
	}

	connKey struct{}
)

var (
	// partSizes are the lengths of the parts in which a body is read, the last of which
	// repeats. The first three together are a small body.
	partSizes = [...]int64{512, 4 << 10, greengageroute.SmallBody - (4 << 10) - 512, 64 << 10}

	errOverBudget   = &Refusal{http.StatusServiceUnavailable, "the entry holds as many bytes for its callers as it may", "retry after the given time", overBudgetRetryAfter}
	errTooLong      = &Refusal{http.StatusRequestEntityTooLarge, "the request body is too long", "send a shorter body", 0}
	errStalled      = &Refusal{http.StatusRequestTimeout, "the request body has stopped arriving", "send it again", 0}
	errTooSlow      = &Refusal{http.StatusRequestTimeout, "the request body arrives too slowly", "send it again over a faster link", 0}
	errNoConnection = &Refusal{http.StatusServiceUnavailable, "the connection is needed for another caller", "retry after the given time", overBudgetRetryAfter}
	errReleased     = errors.New("the request has ended")
)

func (refusal *Refusal) Error() string { return refusal.Reason + "; " + refusal.Remedy }

// Begin starts the holding of a request, which holds nothing yet. Release has to be called at
// its end. The writer is nil for a request that didn't come by HTTP.
func (holding *Holding) Begin(ctx context.Context, budget *Budget, writer http.ResponseWriter) {
	holding.budget, holding.writer = budget, writer
	holding.conn, _ = ctx.Value(connKey{}).(*Conn)
}

// Release returns all bytes. Later reservations fail.
func (holding *Holding) Release() {
	budget := holding.budget
	if budget == nil {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.unlink(holding)
	holding.released = true
}

// Reserve reserves more bytes until the end of the request. It fails if they don't fit into
// the budget.
func (holding *Holding) Reserve(bytes int64) error {
	budget := holding.budget
	if budget == nil {
		return nil
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return holding.reserve(bytes)
}

// ReserveHeader reserves what a long header takes until the end of the request. A header of many short
// fields takes a multiple of its length. Shorter ones are part of what a connection takes.
func (holding *Holding) ReserveHeader(header http.Header) error {
	bytes := int64(0)
	for name, values := range header {
		for _, value := range values {
			bytes += int64(len(name)+len(value)) + headerFieldBytes
		}
	}
	if bytes *= headerCopies; bytes <= greengageroute.SmallBody {
		return nil
	}
	return holding.Reserve(bytes)
}

// reserve does what Reserve does. The caller holds the budget's mu.
func (holding *Holding) reserve(bytes int64) error {
	budget := holding.budget
	switch {
	case holding.ended != nil:
		return holding.ended
	case holding.released:
		return errReleased
	case !budget.makeRoom(holding.held, bytes):
		budget.counters.Add(CountOverBudget, 1)
		return errOverBudget
	case holding.ended != nil: // to make room for itself
		return holding.ended
	}
	budget.link(holding)
	budget.add(holding, bytes)
	return nil
}

// setReading records whether the body is being read. It returns why the request was ended
// meanwhile.
func (holding *Holding) setReading(reading bool) error {
	if holding.budget == nil {
		return nil
	}
	holding.budget.mu.Lock()
	defer holding.budget.mu.Unlock()
	if reading {
		holding.budget.link(holding)
	}
	holding.reading = reading
	if holding.conn != nil {
		holding.conn.bodyStalled.Store(false)
		if reading {
			holding.conn.reader.Store(holding)
		} else {
			holding.conn.reader.Store(nil)
		}
	}
	return holding.ended
}

// endReading ends a request whose body is being read. It reports false if the body has been read, or
// the request was ended before.
func (holding *Holding) endReading(cause error) bool {
	holding.budget.mu.Lock()
	defer holding.budget.mu.Unlock()
	if !holding.reading || holding.ended != nil {
		return false
	}
	holding.budget.end(holding, cause)
	return true
}

// heldBytes describes the holding for the choice of a request to end.
func (holding *Holding) heldBytes() greengageroute.HeldBytes {
	return greengageroute.HeldBytes{
		Held: holding.held, Moved: holding.pace.Moved(holding.transferred()),
		Waits: holding.reading || holding.conn != nil && holding.conn.unread(),
	}
}

// isOfEvents reports whether the bytes come from a target, not from the caller.
func (holding *Holding) isOfEvents() bool { return holding.cancel != nil }

// transferred returns the bytes that moved between the caller and this process, or those of the
// event that a target sends.
func (holding *Holding) transferred() int64 {
	bytes := holding.received.Load()
	if holding.conn != nil && !holding.isOfEvents() {
		bytes += holding.conn.written.Load()
	}
	return bytes
}

// interrupt has reads of the body fail, or writes of the answer. Of events it ends the attempt,
// and the caller's connection only if nothing is read there.
func (holding *Holding) interrupt() {
	if holding.isOfEvents() {
		holding.cancel(holding.ended)
		if holding.conn == nil || !holding.conn.unread() {
			return
		}
	}
	if holding.writer == nil {
		return
	}
	controller := http.NewResponseController(holding.writer)
	if holding.reading && !holding.isOfEvents() {
		_ = controller.SetReadDeadline(longAgo) // fails once the connection is closed
		return
	}
	_ = controller.SetWriteDeadline(longAgo)
}

// ReadBody reads the body of a request, of which a length is announced, or -1 if it is sent in
// chunks. Its bytes are reserved as they arrive, with the framing of chunks. After an error the
// connection is closed and the rest of the body not read, also after a *Refusal, which the
// caller is still to be sent.
func (holding *Holding) ReadBody(source io.Reader, announced, limit int64) (greengageroute.Body, error) {
	if announced > limit {
		holding.Abandon()
		return nil, errTooLong
	}
	if announced == 0 {
		return nil, nil
	}
	if err := holding.setReading(true); err != nil {
		return nil, err
	}
	body, err := holding.readParts(source, announced, limit)
	if ended := holding.setReading(false); ended != nil {
		err = ended
	}
	if err != nil {
		holding.Abandon()
		return nil, err
	}
	return body, nil
}

func (holding *Holding) readParts(source io.Reader, announced, limit int64) (body greengageroute.Body, err error) {
	length := int64(0)
	framing := holding.newFraming(announced)
	for {
		part, err := holding.nextPart(announced, length, limit, len(body))
		if err != nil {
			return nil, err
		}
		filled := 0
		for filled < len(part) && err == nil {
			var count int
			count, err = source.Read(part[filled:])
			filled += count
			length += int64(count)
			holding.received.Store(length)
			if err == nil {
				err = framing.charge(length)
			}
		}
		if length > limit {
			return nil, errTooLong
		}
		if filled > 0 {
			body = append(body, part[:filled])
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextPart reserves and returns the buffer of the next part. Of a body over the limit one byte
// is read.
func (holding *Holding) nextPart(announced, length, limit int64, parts int) ([]byte, error) {
	size := partSizes[min(parts, len(partSizes)-1)]
	if announced > 0 {
		size = min(size, max(announced-length, 1))
	}
	size = min(size, limit-length+1)
	if err := holding.Reserve(size); err != nil {
		return nil, err
	}
	return make([]byte, size), nil
}

// Abandon bounds the time in which the rest of a body that is not read may arrive, and closes
// the connection after the answer.
func (holding *Holding) Abandon() {
	if holding.writer == nil {
		return
	}
	holding.writer.Header().Set("Connection", "close")
	if holding.endedWith(errNoConnection) {
		return // nothing more is read
	}
	BoundLeftover(holding.writer)
}

func (holding *Holding) endedWith(cause error) bool {
	if holding.budget == nil {
		return false
	}
	holding.budget.mu.Lock()
	defer holding.budget.mu.Unlock()
	return holding.ended == cause
}

// WithoutBody is middleware for handlers that read no bodies.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			BoundLeftover(writer)
		}
		next.ServeHTTP(writer, request)
	})
}

// BoundLeftover bounds the time in which the rest of a body that is not read may arrive: the
// HTTP server reads up to 256 KB of it before it sends an answer, and otherwise without a bound
// of the time.
func BoundLeftover(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(leftoverTimeout)) // fails once the connection is closed
}
