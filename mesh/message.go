// Package mesh exchanges datagrams between entries: what each has under way, who
// holds the planner's lease, and which targets were found dead. Nothing here has
// to be agreed on or kept; a lost datagram is replaced by the next one.
package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

// maxDatagram fits into one packet of every common network.
const maxDatagram = 1400

type (
	// Message is what one entry tells another.
	Message struct {
		From       string           `cbor:"1,keyasint"`
		Address    string           `cbor:"2,keyasint"` // IP:port for messages
		DataCentre string           `cbor:"3,keyasint"`
		Sequence   uint64           `cbor:"4,keyasint"` // within the sender's life
		Loads      []Load           `cbor:"5,keyasint,omitempty"`
		Lost       []TargetInstance `cbor:"6,keyasint,omitempty"`
		Lease      LeaseUpdate      `cbor:"7,keyasint,omitempty"`
		HasTraffic bool             `cbor:"8,keyasint,omitempty"` // requests have come
		Leaving    bool             `cbor:"9,keyasint,omitempty"`
		Crashes    []CrashReport    `cbor:"10,keyasint,omitempty"`
		Capacity   float64          `cbor:"11,keyasint,omitempty"` // cores of the sender's VM
		// LiveEntries is how many entries a relay's word is for; 0 from others.
		LiveEntries int `cbor:"12,keyasint,omitempty"`
		// AllEntries tells that the loads are those of all entries, the receiver included.
		AllEntries bool `cbor:"13,keyasint,omitempty"`
		// Relays are the relays of the sender's data centre, the first first: others
		// hear only one of them.
		Relays []RelayInfo `cbor:"14,keyasint,omitempty"`
		// ReadsStore tells that the sender reads the store itself.
		ReadsStore bool `cbor:"15,keyasint,omitempty"`
		// Readers are the addresses of the entries of the sender's data centre that
		// others may ask for what the store holds, where these aren't the relays.
		Readers []string `cbor:"16,keyasint,omitempty"`
		// Slow are targets that said that they are slow.
		Slow []TargetInstance `cbor:"17,keyasint,omitempty"`
	}

	// RelayInfo names a relay.
	RelayInfo struct {
		_       struct{} `cbor:",toarray"`
		Name    string
		Address string // IP:port for messages
	}

	// Load is what the sender has under way at one target.
	Load struct {
		Target        string `cbor:"1,keyasint"`
		Running       int    `cbor:"2,keyasint"`
		PrefillTokens int    `cbor:"3,keyasint,omitempty"` // prompt tokens not yet read
		IdleMillis    int64  `cbor:"4,keyasint,omitempty"` // milliseconds since the target last sent anything
	}

	// TargetInstance is a target between one start and the next.
	TargetInstance struct {
		ID             string `cbor:"1,keyasint"`
		StartUnixMilli int64  `cbor:"2,keyasint"`
	}

	// CrashReport is a request that a target died under.
	CrashReport struct {
		Digest  string `cbor:"1,keyasint"`
		CrashID string `cbor:"2,keyasint"` // the target and its start
	}

	// LeaseUpdate is the planner's lease as the sender last wrote it.
	LeaseUpdate struct {
		Holder   string `cbor:"1,keyasint,omitempty"`
		Fence    uint64 `cbor:"2,keyasint,omitempty"`
		Renewals uint64 `cbor:"3,keyasint,omitempty"`
	}
)

// Row returns the news as the row that the sender wrote.
func (news LeaseUpdate) Row() greengageroute.LeaseRow {
	return greengageroute.LeaseRow{Holder: news.Holder, Fence: news.Fence, Renewals: news.Renewals}
}

// withoutLoads returns what a message says of its sender, without the loads if
// they are not the sender's own.
func (message Message) senderState(digest bool) Message {
	if digest {
		message.Loads, message.LiveEntries, message.AllEntries, message.Relays, message.Readers = nil, 0, false, nil, nil
	}
	return message
}

// Encode returns the datagram; lists are cut to what fits.
func (message Message) Encode() ([]byte, error) {
	for {
		datagram, err := cbor.Marshal(message)
		if err != nil {
			return nil, trace.Wrap(err, "encoding a message")
		}
		if len(datagram) <= maxDatagram || len(message.Loads) == 0 {
			return datagram, nil
		}
		message.Loads = message.Loads[:len(message.Loads)*3/4]
	}
}

// Decode decodes a datagram.
func Decode(datagram []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(datagram, &message); err != nil {
		return message, trace.BadParameter("a datagram can't be decoded (%v); ignore it", err)
	}
	if message.From == "" || message.Address == "" {
		return message, trace.BadParameter("a datagram names no sender; ignore it")
	}
	return message, nil
}
