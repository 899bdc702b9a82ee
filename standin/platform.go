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
	// Platform stands in for the platform's table and list of VMs.
	Platform struct {
		*table.Memory
		faults faults[PlatformFaults]
	}

	// PlatformFaults are the faults that the stand-in can show.
	PlatformFaults struct {
		Down        bool   `json:"down"`
		Delay       Millis `json:"delay"`
		LoseReplies int    `json:"lose-replies"` // of the next commits, after their effect
		LoseKey     string `json:"lose-key"`     // only of commits that write a row with this prefix
	}

	// PlatformCounts is how many requests the stand-in has answered.
	PlatformCounts struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	}
)

// NewPlatform returns a platform that lists the given VMs.
func NewPlatform(vms ...greengageroute.VM) *Platform {
	return &Platform{Memory: table.NewMemory(vms...)}
}

// SetFaults replaces the faults in force.
func (standin *Platform) SetFaults(value PlatformFaults) {
	standin.faults.update(func(current *PlatformFaults) { *current = value })
}

// Handler serves the platform's protocol and the control calls.
func (standin *Platform) Handler() http.Handler {
	served := http.NewServeMux()
	served.HandleFunc("GET /rows", standin.rows)
	served.HandleFunc("GET /scan", standin.scan)
	served.HandleFunc("GET /vms", standin.vms)
	served.HandleFunc("POST /commit", standin.commit)
	served.HandleFunc("POST /supply/take", standin.take)
	served.HandleFunc("POST /supply/give-back", standin.giveBack)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/idle", standin.addIdle)
	mux.Handle("/", standin.faulty(served))
	mux.Handle("POST /control/faults", &standin.faults)
	mux.HandleFunc("POST /control/vms", standin.setVM)
	mux.HandleFunc("GET /control/counts", standin.counts)
	return mux
}

func (standin *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		now := standin.faults.get()
		time.Sleep(now.Delay.Duration())
		if now.Down {
			http.Error(writer, "the stand-in is set to be down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (standin *Platform) rows(writer http.ResponseWriter, request *http.Request) {
	row, _ := standin.Read(request.Context(), request.FormValue("key"))
	writeJSON(writer, row)
}

func (standin *Platform) scan(writer http.ResponseWriter, request *http.Request) {
	limit, err := strconv.Atoi(request.FormValue("limit"))
	if err != nil {
		http.Error(writer, "limit is not a number", http.StatusBadRequest)
		return
	}
	rows, _ := standin.Scan(request.Context(), request.FormValue("prefix"), request.FormValue("after"), limit)
	writeJSON(writer, rows)
}

func (standin *Platform) vms(writer http.ResponseWriter, request *http.Request) {
	vms, _ := standin.VMs(request.Context(), request.FormValue("data-centre"))
	writeJSON(writer, vms)
}

func (standin *Platform) commit(writer http.ResponseWriter, request *http.Request) {
	var body table.CommitRequest
	if !readJSON(writer, request, &body) {
		return
	}
	reply := table.CommitReply{}
	err := standin.Commit(context.WithoutCancel(request.Context()), body.Writes...)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		reply.Conflict = conflict.Key
	}
	before := standin.faults.update(func(now *PlatformFaults) {
		if now.LoseReplies > 0 && touches(body.Writes, now.LoseKey) {
			now.LoseReplies--
		}
	})
	if before.LoseReplies > 0 && touches(body.Writes, before.LoseKey) {
		sever()
	}
	writeJSON(writer, reply)
}

func touches(writes []table.Write, prefix string) bool {
	for _, write := range writes {
		if strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

func (standin *Platform) setVM(writer http.ResponseWriter, request *http.Request) {
	var vm greengageroute.VM
	if readJSON(writer, request, &vm) {
		standin.SetVM(vm)
	}
}

func (standin *Platform) addIdle(writer http.ResponseWriter, request *http.Request) {
	var vm greengageroute.VM
	if readJSON(writer, request, &vm) {
		standin.AddRentable(vm)
	}
}

func (standin *Platform) take(writer http.ResponseWriter, request *http.Request) {
	var body table.TakeRequest
	if readJSON(writer, request, &body) {
		_ = standin.Take(request.Context(), body.DataCentre, body.Domain, body.VMs) // cannot fail
		writeJSON(writer, table.CommitReply{})
	}
}

func (standin *Platform) giveBack(writer http.ResponseWriter, request *http.Request) {
	var body table.GiveBackRequest
	if readJSON(writer, request, &body) {
		_ = standin.GiveBack(request.Context(), body.VMs...) // cannot fail
		writeJSON(writer, table.CommitReply{})
	}
}

func (standin *Platform) counts(writer http.ResponseWriter, _ *http.Request) {
	reads, writes := standin.Counts()
	writeJSON(writer, PlatformCounts{Reads: reads, Writes: writes})
}
