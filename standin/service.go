package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

type (
	// Ledger is what the stand-ins of one plain service share: what was recorded
	// under each key, and how often.
	Ledger struct {
		mu      sync.Mutex
		records map[string][]time.Time
		answers map[string]greengageroute.Answer
	}

	// Service stands in for one target of a plain service that records each
	// call it receives, however often it receives it.
	Service struct {
		ledger *Ledger
		faults faults[ServiceFaults]
	}

	// ServiceFaults are the faults that the stand-in can show.
	ServiceFaults struct {
		Before      Millis `json:"before"` // wait before the effect
		After       Millis `json:"after"`  // wait between the effect and the answer
		LoseAnswers int    `json:"lose-answers"`
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: map[string][]time.Time{}, answers: map[string]greengageroute.Answer{}}
}

// Records returns when each key was recorded.
func (ledger *Ledger) Records() map[string][]time.Time {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return maps.Clone(ledger.records)
}

func (ledger *Ledger) record(key, body string) greengageroute.Answer {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.records[key] = append(ledger.records[key], time.Now())
	answer := greengageroute.Answer{
		Status: http.StatusCreated, ContentType: "text/plain", Body: fmt.Appendf(nil, "recorded %s: %s", key, body),
	}
	ledger.answers[key] = answer
	return answer
}

func (ledger *Ledger) answer(key string) (greengageroute.Answer, bool) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	answer, ok := ledger.answers[key]
	return answer, ok
}

// NewService returns a target that records in a ledger.
func NewService(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// SetFaults replaces the faults in force.
func (service *Service) SetFaults(value ServiceFaults) {
	service.faults.update(func(current *ServiceFaults) { *current = value })
}

// Handler serves the service and the control calls.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", service.post)
	mux.HandleFunc("GET /stock/{item}", service.stock)
	mux.HandleFunc("GET /outcomes/{key}", service.outcome)
	mux.Handle("POST /control/faults", &service.faults)
	mux.HandleFunc("GET /control/records", service.records)
	return mux
}

func (service *Service) post(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxControlBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	before := service.faults.update(func(now *ServiceFaults) { now.LoseAnswers = max(now.LoseAnswers-1, 0) })
	time.Sleep(before.Before.Duration())
	answer := service.ledger.record(request.Header.Get("Idempotency-Key"), string(body))
	time.Sleep(before.After.Duration())
	if before.LoseAnswers > 0 {
		sever()
	}
	reply(writer, answer)
}

func (service *Service) stock(writer http.ResponseWriter, request *http.Request) {
	reply(writer, greengageroute.Answer{
		Status: http.StatusOK, ContentType: "text/plain", Body: []byte("in stock: " + request.PathValue("item")),
	})
}

func (service *Service) outcome(writer http.ResponseWriter, request *http.Request) {
	answer, known := service.ledger.answer(request.PathValue("key"))
	if !known {
		http.Error(writer, "no record of this key", http.StatusNotFound)
		return
	}
	answer.Status = http.StatusOK
	reply(writer, answer)
}

func (service *Service) records(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, service.ledger.Records())
}

func reply(writer http.ResponseWriter, answer greengageroute.Answer) {
	writer.Header().Set("Content-Type", answer.ContentType)
	writer.WriteHeader(answer.Status)
	// The caller sees a cut reply.
	_, _ = writer.Write(answer.Body)
}
