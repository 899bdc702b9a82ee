package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/caller"
	gencaller "greengageroute.example/greengageroute/gen/caller"
	callerserver "greengageroute.example/greengageroute/gen/http/caller/server"
	operatorserver "greengageroute.example/greengageroute/gen/http/operator/server"
	genoperator "greengageroute.example/greengageroute/gen/operator"
	"greengageroute.example/greengageroute/operator"
	"greengageroute.example/greengageroute/peer"
	"greengageroute.example/greengageroute/table"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// adminPath is the path of the operators' service.
	adminPath = "/admin/"
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (entry *Entry) actions(ctx context.Context) *table.Actions {
	return table.NewActions(table.NewBatcher(ctx, entry.table))
}

// handler returns the handler of the caller and operator services and of the
// counters.
func (entry *Entry) handler() http.Handler {
	mux := goahttp.NewMuxer()
	callers := gencaller.NewEndpoints(entry.callerService)
	callerserver.New(callers, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, entry.countEncodeFailure, caller.FormatError).Mount(mux)
	admin := operator.New(entry, entry.configs, entry.fleets, entry.settings.OperatorTokenHash, entry.counters)
	operators := genoperator.NewEndpoints(admin)
	operatorserver.New(operators, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, entry.countEncodeFailure, caller.FormatError).Mount(mux)
	mux.Handle(http.MethodGet, "/debug/vars", func(writer http.ResponseWriter, request *http.Request) {
		var header *string
		if value := request.Header.Get("Authorization"); value != "" {
			header = &value
		}
		if _, err := admin.Authorize(header, greengageroute.ScopeRead, ""); err != nil {
			http.Error(writer, err.Error(), http.StatusUnauthorized)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, entry.counters.String())
	})
	return caller.WithExchange(entry.budget, caller.WithBufferedBody(adminPath, mux))
}

// countEncodeFailure counts a response that could not be written because the caller
// disconnected.
func (entry *Entry) countEncodeFailure(context.Context, http.ResponseWriter, error) {
	entry.counters.Add(CountCallersDisconnected, 1)
}

// ConfigAccepted implements operator.State.
func (entry *Entry) ConfigAccepted(config *greengageroute.Config) {
	entry.adoptConfig(context.Background(), config, scopeAll)
}

// Status implements operator.State.
func (entry *Entry) Status() *genoperator.SystemStatus {
	status := &genoperator.SystemStatus{
		Entry: entry.settings.Name, Revision: entry.Config().Revision(),
		Entries: []*genoperator.EntryStatus{{
			Name: entry.settings.Name, DataCentre: entry.settings.DataCentre, State: peer.Alive.String(), Revision: entry.Config().Revision(),
		}},
		Groups: []*genoperator.GroupStatus{},
	}
	for _, other := range entry.members.All() {
		status.Entries = append(status.Entries, &genoperator.EntryStatus{
			Name: other.Name, DataCentre: other.DataCentre, State: other.State.String(), Revision: other.Revisions.Config,
		})
	}
	slices.SortFunc(status.Entries, func(a, b *genoperator.EntryStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, group := range entry.Fleet().Groups {
		state, reason := entry.groupStatus(group)
		status.Groups = append(status.Groups, &genoperator.GroupStatus{
			Name: group.Name, Model: group.Model, Vms: group.VMs(), State: state, Reason: reason,
		})
	}
	return status
}

// UnreachableDataCentres implements operator.State: it pings a few entries of each
// other data centre now and returns the data centres in which none responds.
func (entry *Entry) UnreachableDataCentres(ctx context.Context) []string {
	reachable := entry.members.ReachableDataCentres(ctx)
	reachable.Add(entry.settings.DataCentre)
	return slices.DeleteFunc(entry.Config().DataCentres(), reachable.Has)
}
