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
	// Ledger is the state that the targets of one plain service share: the times
	// at which each idempotency key was recorded, and the last answer for it.
	Ledger struct {
		mu          sync.Mutex
		recordTimes map[string][]time.Time
		answers     map[string]greengageroute.Answer
	}

	// Service stands in for one target of a plain service. It doesn't deduplicate:
	// each call that it receives adds a record, also under a known key.
	Service struct {
		ledger *Ledger
		faults faults[ServiceFaults]
	}

	// ServiceFaults are the faults that can be injected into a target.
	ServiceFaults struct {
		DelayBefore   Millis         `json:"before"`       // before a call is recorded
		DelayAfter    Millis         `json:"after"`        // between the record and the response
		DropResponses int            `json:"lose-answers"` // number of the next calls that are recorded without a response
		Endless       EndlessAnswers `json:"endless,omitempty"`
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{recordTimes: map[string][]time.Time{}, answers: map[string]greengageroute.Answer{}}
}

// Records returns the times at which each key was recorded.
func (ledger *Ledger) Records() map[string][]time.Time {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return maps.Clone(ledger.recordTimes)
}

func (ledger *Ledger) record(key, body string) greengageroute.Answer {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.recordTimes[key] = append(ledger.recordTimes[key], time.Now())
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

// NewService returns a target that adds its records to a ledger.
func NewService(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// SetFaults replaces the injected faults.
func (service *Service) SetFaults(value ServiceFaults) {
	service.faults.update(func(current *ServiceFaults) { *current = value })
}

// Handler returns the handler of the service and the control requests.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", service.handlePost)
	mux.HandleFunc("GET /stock/{item}", service.handleStock)
	mux.HandleFunc("GET /outcomes/{key}", service.handleOutcome)
	mux.Handle("POST /control/faults", &service.faults)
	mux.HandleFunc("GET /control/records", service.handleRecords)
	return withEndless(func() EndlessAnswers { return service.faults.get().Endless }, mux)
}

func (service *Service) handlePost(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxControlBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	faults := service.faults.update(func(current *ServiceFaults) { current.DropResponses = max(current.DropResponses-1, 0) })
	time.Sleep(faults.DelayBefore.Duration())
	answer := service.ledger.record(request.Header.Get("Idempotency-Key"), string(body))
	time.Sleep(faults.DelayAfter.Duration())
	if faults.DropResponses > 0 {
		abortConnection()
	}
	writeAnswer(writer, answer)
}

func (service *Service) handleStock(writer http.ResponseWriter, request *http.Request) {
	writeAnswer(writer, greengageroute.Answer{
		Status: http.StatusOK, ContentType: "text/plain", Body: []byte("in stock: " + request.PathValue("item")),
	})
}

func (service *Service) handleOutcome(writer http.ResponseWriter, request *http.Request) {
	answer, ok := service.ledger.answer(request.PathValue("key"))
	if !ok {
		http.Error(writer, "no record of this key", http.StatusNotFound)
		return
	}
	answer.Status = http.StatusOK
	writeAnswer(writer, answer)
}

func (service *Service) handleRecords(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, service.ledger.Records())
}

func writeAnswer(writer http.ResponseWriter, answer greengageroute.Answer) {
	writer.Header().Set("Content-Type", answer.ContentType)
	writer.WriteHeader(answer.Status)
	// The caller sees a truncated response if the write fails.
	_, _ = writer.Write(answer.Body)
}
