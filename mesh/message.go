// Package mesh exchanges datagrams between entries: the load that each entry has
// at targets, the planner's lease, and targets found unreachable. The data needs
// neither agreement nor storage: each datagram replaces a lost one before it.
package mesh

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// HolderSeparator separates the entry's name from its process instance in the name
	// of a lease's holder.
	HolderSeparator = "#"

	// maxDatagram is the largest datagram in bytes: it fits into one packet of every
	// common network.
	maxDatagram = 1400
	// minLoads is how many loads a message has that is full without them.
	minLoads = 10
)

type (
	// Message is the datagram that one entry sends to another. A relay also sends
	// two kinds that cover other entries: a summary of its data centre to the relays
	// of other data centres, and an announcement, a summary of all entries, to its
	// own data centre.
	Message struct {
		From        string           `cbor:"1,keyasint"`
		Address     string           `cbor:"2,keyasint"` // IP:port for messages
		DataCentre  string           `cbor:"3,keyasint"`
		Sequence    uint64           `cbor:"4,keyasint"`           // counted from the sender's start
		Unreachable []TargetInstance `cbor:"6,keyasint,omitempty"` // found unreachable
		Lease       LeaseUpdate      `cbor:"7,keyasint,omitempty"`
		HasTraffic  bool             `cbor:"8,keyasint,omitempty"` // the sender, or an entry that its summary covers, has received requests
		Leaving     bool             `cbor:"9,keyasint,omitempty"`
		Capacity    float64          `cbor:"11,keyasint,omitempty"` // cores of the sender's VM
		// LiveEntries is how many live entries a relay's summary covers. It is 0 in a
		// message that is only about its sender.
		LiveEntries int `cbor:"12,keyasint,omitempty"`
		// AllEntries marks an announcement: the loads are the sums over all entries,
		// the receiver included.
		AllEntries bool `cbor:"13,keyasint,omitempty"`
		// Relays are the relays of the sender's data centre in the order of their rank.
		// Entries that are no relays receive messages from only one relay and learn of
		// the others here.
		Relays []RelayInfo `cbor:"14,keyasint,omitempty"`
		// ReadsStore is set if the sender reads the store itself.
		ReadsStore bool `cbor:"15,keyasint,omitempty"`
		// Readers are the addresses of the entries of the sender's data centre that
		// others may ask for the store's rows. It is empty if the readers are the relays.
		Readers []string `cbor:"16,keyasint,omitempty"`
		// Slow are targets that reported themselves as slow.
		Slow []TargetInstance `cbor:"17,keyasint,omitempty"`
		// Loads are those of the targets with work in progress. If they don't fit into
		// one datagram, each message has those of a range of targets, and receivers keep
		// the others.
		Loads []Load    `cbor:"18,keyasint,omitempty"`
		Range LoadRange `cbor:"19,keyasint,omitempty"`
		// Crashes are requests during which targets crashed.
		Crashes []greengageroute.CrashReport `cbor:"20,keyasint,omitempty"`
		// Sound are causes that other entries suspect and that the sender, or an entry
		// that its summary covers, found sound.
		Sound []greengageroute.CrashCause `cbor:"21,keyasint,omitempty"`
		// Quarantined are the causes that the sender refuses. They are in one message of
		// each verdictInterval, for entries that didn't receive the reports of the crashes.
		Quarantined []greengageroute.QuarantineVerdict `cbor:"22,keyasint,omitempty"`
		// Limits are those of the targets in the range of the loads.
		Limits []TargetLimit `cbor:"23,keyasint,omitempty"`
		// ConfigVersion is the version of the config that the sender follows.
		ConfigVersion uint64 `cbor:"24,keyasint,omitempty"`
		// Isolated is set if most targets don't respond to the sender.
		Isolated bool `cbor:"25,keyasint,omitempty"`
		// TargetsLeaving are targets that say that they are leaving.
		TargetsLeaving []TargetInstance `cbor:"26,keyasint,omitempty"`
		// Responding are targets that were found unreachable and respond again.
		Responding []TargetInstance `cbor:"27,keyasint,omitempty"`
		// Lost are the pools whose targets don't respond to the sender; AnyPool if there are
		// too many.
		Lost []string `cbor:"28,keyasint,omitempty"`
		// Wanted are the pools that any entry of the sender's data centre has lost, and Helpers
		// entries that reach such pools. They are in summaries.
		Wanted  []string      `cbor:"29,keyasint,omitempty"`
		Helpers []PoolHelpers `cbor:"30,keyasint,omitempty"`
		// Cold are targets that said in a response that they are cold.
		Cold []ColdReport `cbor:"35,keyasint,omitempty"`
		// Suspected are heads of replicas that are silent and may have lost a member.
		Suspected []TargetInstance `cbor:"40,keyasint,omitempty"`
	}

	// LoadRange is the range of target ids whose loads a message has: from the first,
	// included, to the second, excluded. The zero range includes all targets.
	LoadRange struct {
		From   string `cbor:"1,keyasint,omitempty"`
		Before string `cbor:"2,keyasint,omitempty"` // empty: no limit
	}

	// RelayInfo names a relay.
	RelayInfo struct {
		_       struct{} `cbor:",toarray"`
		Name    string
		Address string // IP:port for messages
	}

	// Load is the work that the sender has in progress at one target.
	Load struct {
		_             struct{} `cbor:",toarray"`
		Target        string
		Running       int   // requests
		PrefillTokens int   // prompt tokens sent and not yet processed
		IdleMillis    int64 // since the target last sent anything
	}

	// TargetLimit is a limit that a target names, and the requests that the sender, or
	// the entries that its summary covers, sent to it lately.
	TargetLimit struct {
		_              struct{} `cbor:",toarray"`
		Target         string
		MilliPerSecond int64 // thousandths of a request a second; 0: the limit was lifted
		AgeMillis      int64 // since the target's last answer about the limit
		CentiSent      int64 // hundredths of a request, as counted by greengageroute.SendCount
	}

	// ColdReport tells that a target said in a response that it is cold.
	ColdReport struct {
		_               struct{} `cbor:",toarray"`
		Target          string
		StartUnixMilli  int64
		ID              int64 // of the report, among those about the target
		RemainingMillis int64 // at the time of sending
	}

	// TargetInstance is a target from one start to the next.
	TargetInstance = greengageroute.TargetInstance

	// LeaseUpdate is the planner's lease as the sender last wrote it. It has no holder once it
	// was released.
	LeaseUpdate struct {
		Holder   string `cbor:"1,keyasint,omitempty"`
		Fence    uint64 `cbor:"2,keyasint,omitempty"`
		Renewals uint64 `cbor:"3,keyasint,omitempty"`
		Era      uint64 `cbor:"4,keyasint,omitempty"` // of the store
	}
)

// Row returns the lease row that the sender wrote to the store.
func (update LeaseUpdate) Row() greengageroute.LeaseRow {
	return greengageroute.LeaseRow{Holder: update.Holder, Fence: update.Fence, Renewals: update.Renewals, Era: update.Era}
}

// isNewer reports whether an update is later than another one.
func (update LeaseUpdate) isNewer(than LeaseUpdate) bool {
	return update.Fence > than.Fence || update.Fence == than.Fence && update.Renewals > than.Renewals
}

// senderState returns the part of a message that is about its sender: a summary
// loses the fields that cover other entries.
func (message Message) senderState(isSummary bool) Message {
	if isSummary {
		message.Loads, message.Limits, message.LiveEntries, message.AllEntries, message.Relays, message.Readers = nil, nil, 0, false, nil, nil
		message.Wanted, message.Helpers = nil, nil
	}
	return message
}

// Encode returns the datagram. If the loads don't fit into it, it has those of the
// targets from the given id on. It returns the id with which the next message
// continues, empty after the last.
func (message Message) Encode(from string) (datagram []byte, next string, err error) {
	datagram, err = cbor.Marshal(message)
	if err != nil || len(datagram) <= maxDatagram || len(message.Loads)+len(message.Limits) == 0 {
		return datagram, "", trace.Wrap(err, "encoding a message to a peer")
	}
	targets := message.targets()
	start, _ := slices.BinarySearch(targets, from)
	if start == len(targets) {
		start, from = 0, ""
	}
	loads, limits := message.Loads, message.Limits
	for count := len(targets) - start; ; count = count * 9 / 10 {
		message.Range = LoadRange{From: from}
		if start+count < len(targets) {
			message.Range.Before = targets[start+count]
		}
		message.Loads = withinRange(loads, func(load Load) bool { return message.Range.includes(load.Target) })
		message.Limits = withinRange(limits, func(limit TargetLimit) bool { return message.Range.includes(limit.Target) })
		datagram, err = cbor.Marshal(message)
		if err != nil || len(datagram) <= maxDatagram || count <= minLoads {
			return datagram, message.Range.Before, trace.Wrap(err, "encoding a message to a peer")
		}
	}
}

// targets returns the ids of the targets that the message is about, sorted.
func (message Message) targets() []string {
	ids := greengageroute.Set[string]{}
	for _, load := range message.Loads {
		ids.Add(load.Target)
	}
	for _, limit := range message.Limits {
		ids.Add(limit.Target)
	}
	return ids.Sorted()
}

func withinRange[T any](values []T, includes func(value T) bool) []T {
	return slices.DeleteFunc(slices.Clone(values), func(value T) bool { return !includes(value) })
}

// includes reports whether a target is in the range.
func (ids LoadRange) includes(target string) bool {
	return target >= ids.From && (ids.Before == "" || target < ids.Before)
}

// withOtherRanges returns the message with the loads and limits outside its range, from
// the sender's previous message, which was received the given time ago.
func (message Message) withOtherRanges(previous Message, age time.Duration) Message {
	if message.Range == (LoadRange{}) || message.AllEntries != previous.AllEntries {
		return message
	}
	for _, load := range previous.Loads {
		if !message.Range.includes(load.Target) {
			load.IdleMillis += age.Milliseconds()
			message.Loads = append(message.Loads, load)
		}
	}
	for _, limit := range previous.Limits {
		if !message.Range.includes(limit.Target) {
			message.Limits = append(message.Limits, limit.agedBy(age))
		}
	}
	return message
}

// Decode decodes a datagram.
func Decode(datagram []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(datagram, &message); err != nil {
		return message, trace.BadParameter("the datagram isn't a valid message (%v); ignore it", err)
	}
	if message.From == "" || message.Address == "" {
		return message, trace.BadParameter("the message lacks its sender's name or address; ignore it")
	}
	return message, nil
}
