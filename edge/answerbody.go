package edge

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// minChargedAnswer is the length from which answers are charged to the budget. Shorter
	// ones are bounded by the number of connections.
	minChargedAnswer = 4 << 10
	// growthFactor is how many times its length an answer of unknown length takes at most
	// while it is read.
	growthFactor = 2
)

// chargedReader charges what it reads to the holding of a request.
type chargedReader struct {
	source  io.Reader
	holding *intake.Holding
}

// Read implements io.Reader.
func (reader *chargedReader) Read(into []byte) (int, error) {
	count, err := reader.source.Read(into)
	if err == nil && count > 0 {
		err = reader.holding.Reserve(int64(count) * growthFactor)
	}
	return count, err
}

// readAnswer reads the body of an answer that is delivered as a whole, within the budget for
// what is held for callers.
func (exchange *exchange) readAnswer(answer *upstream.Answer) ([]byte, error) {
	length, err := strconv.Atoi(answer.Header.Get("Content-Length"))
	if err != nil || length < 0 || length > maxAnswerBytes || exchange.Method == http.MethodHead {
		answer.Body = &chargedReader{source: answer.Body, holding: &exchange.holding}
		return readAnswer(answer)
	}
	if length >= minChargedAnswer {
		if err := exchange.holding.Reserve(int64(length)); err != nil {
			return nil, err
		}
	}
	body := make([]byte, length)
	_, err = io.ReadFull(answer.Body, body)
	if errors.Is(err, io.EOF) { // an answer with status 304 has the length of another one's body
		return nil, nil
	}
	return body, err
}

// isOverBudget reports whether an answer was not read because of the budget.
func isOverBudget(err error) bool {
	var refused *intake.Refusal
	return errors.As(err, &refused)
}
