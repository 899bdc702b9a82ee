package standin

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/table"
)

type (
	// Platform stands in for the platform: its table, list of VMs and supply of
	// VMs.
	Platform struct {
		*table.Memory
		faults faults[PlatformFaults]
	}

	// PlatformFaults are the faults that can be injected into the platform.
	PlatformFaults struct {
		Down          bool           `json:"down"`
		Delay         Millis         `json:"delay"`
		DropResponses int            `json:"lose-replies"` // number of the next commits that are applied without a response
		DropKeyPrefix string         `json:"lose-key"`     // limits DropResponses to commits that write a key with this prefix
		Endless       EndlessAnswers `json:"endless,omitempty"`
	}

	// PlatformCounts holds the numbers of requests that the platform has processed.
	PlatformCounts struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	}
)

// NewPlatform returns a platform that lists the given VMs.
func NewPlatform(vms ...greengageroute.VM) *Platform {
	return &Platform{Memory: table.NewMemory(vms...)}
}

// SetFaults replaces the injected faults.
func (platform *Platform) SetFaults(value PlatformFaults) {
	platform.faults.update(func(current *PlatformFaults) { *current = value })
}

// Handler returns the handler of the platform protocol and the control requests.
func (platform *Platform) Handler() http.Handler {
	protocol := http.NewServeMux()
	protocol.HandleFunc("GET /rows", platform.handleRow)
	protocol.HandleFunc("GET /scan", platform.handleScan)
	protocol.HandleFunc("GET /vms", platform.handleVMs)
	protocol.HandleFunc("POST /commit", platform.handleCommit)
	protocol.HandleFunc("POST /supply/take", platform.handleTake)
	protocol.HandleFunc("POST /supply/give-back", platform.handleGiveBack)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/idle", platform.handleAddRentable)
	mux.Handle("/", platform.withFaults(withEndless(func() EndlessAnswers { return platform.faults.get().Endless }, protocol)))
	mux.Handle("POST /control/faults", &platform.faults)
	mux.HandleFunc("POST /control/vms", platform.handleSetVM)
	mux.HandleFunc("GET /control/counts", platform.handleCounts)
	return mux
}

func (platform *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		faults := platform.faults.get()
		time.Sleep(faults.Delay.Duration())
		if faults.Down {
			http.Error(writer, "injected fault: the platform is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (platform *Platform) handleRow(writer http.ResponseWriter, request *http.Request) {
	row, _ := platform.Read(request.Context(), request.FormValue("key"))
	writeJSON(writer, row)
}

func (platform *Platform) handleScan(writer http.ResponseWriter, request *http.Request) {
	limit, err := strconv.Atoi(request.FormValue("limit"))
	if err != nil {
		http.Error(writer, "limit is not an integer", http.StatusBadRequest)
		return
	}
	rows, _ := platform.Scan(request.Context(), request.FormValue("prefix"), request.FormValue("after"), limit)
	writeJSON(writer, rows)
}

func (platform *Platform) handleVMs(writer http.ResponseWriter, request *http.Request) {
	vms, _ := platform.VMs(request.Context(), request.FormValue("data-centre"))
	writeJSON(writer, vms)
}

func (platform *Platform) handleCommit(writer http.ResponseWriter, request *http.Request) {
	var body table.CommitRequest
	if !readJSON(writer, request, &body) {
		return
	}
	reply := table.CommitReply{}
	err := platform.Commit(context.WithoutCancel(request.Context()), body.Writes...)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		reply.Conflict = conflict.Key
	}
	previous := platform.faults.update(func(current *PlatformFaults) {
		if current.DropResponses > 0 && anyKeyHasPrefix(body.Writes, current.DropKeyPrefix) {
			current.DropResponses--
		}
	})
	if previous.DropResponses > 0 && anyKeyHasPrefix(body.Writes, previous.DropKeyPrefix) {
		abortConnection()
	}
	writeJSON(writer, reply)
}

func anyKeyHasPrefix(writes []table.Write, prefix string) bool {
	for _, write := range writes {
		if strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

func (platform *Platform) handleSetVM(writer http.ResponseWriter, request *http.Request) {
	var vm greengageroute.VM
	if readJSON(writer, request, &vm) {
		platform.SetVM(vm)
	}
}

func (platform *Platform) handleAddRentable(writer http.ResponseWriter, request *http.Request) {
	var vm greengageroute.VM
	if readJSON(writer, request, &vm) {
		platform.AddRentable(vm)
	}
}

func (platform *Platform) handleTake(writer http.ResponseWriter, request *http.Request) {
	var body table.TakeRequest
	if readJSON(writer, request, &body) {
		_ = platform.Take(request.Context(), body.DataCentre, body.Domain, body.VMs) // never fails
		writeJSON(writer, table.CommitReply{})
	}
}

func (platform *Platform) handleGiveBack(writer http.ResponseWriter, request *http.Request) {
	var body table.GiveBackRequest
	if readJSON(writer, request, &body) {
		_ = platform.GiveBack(request.Context(), body.VMs...) // never fails
		writeJSON(writer, table.CommitReply{})
	}
}

func (platform *Platform) handleCounts(writer http.ResponseWriter, _ *http.Request) {
	reads, writes := platform.Counts()
	writeJSON(writer, PlatformCounts{Reads: reads, Writes: writes})
}
