// Package peer speaks to the other entries: over QUIC with mutual TLS, one
// stream a call, messages in CBOR. It keeps the membership, and carries
// configuration, fleets, verdicts and suspected requests between entries.
package peer

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// maxMessageBytes bounds one message; a configuration's files all together
	// are the largest.
	maxMessageBytes = 16 << 20
)

// States of a member, in the order in which they override one another at the
// same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

type (
	// State is what is believed of a member.
	State uint8

	// MemberInfo describes a member as rumours carry it.
	MemberInfo struct {
		Name        string `cbor:"1,keyasint"`
		Address     string `cbor:"2,keyasint"` // IP:port of its QUIC socket
		DataCentre  string `cbor:"3,keyasint"`
		Incarnation uint64 `cbor:"4,keyasint"` // grows when the member refutes a rumour
		State       State  `cbor:"5,keyasint"`
	}

	// Forward asks an entry of another data centre to answer a chat completion.
	// The reply is a ForwardHead and then the answer's body.
	Forward struct {
		Workspace   string `cbor:"1,keyasint"` // authenticated by the asking entry
		Body        []byte `cbor:"2,keyasint"`
		LastEventID string `cbor:"3,keyasint,omitempty"`
	}

	// ForwardHeader precedes a forwarded answer's body.
	ForwardHeader struct {
		Status      int    `cbor:"1,keyasint"`
		ContentType string `cbor:"2,keyasint,omitempty"`
		Refusal     []byte `cbor:"3,keyasint,omitempty"` // in JSON, in place of a body
	}

	// Revisions says which documents a member has.
	Revisions struct {
		Config uint64 `cbor:"1,keyasint"`
		Fleet  uint64 `cbor:"2,keyasint"` // of its own data centre
	}

	// Message is a call or a reply; exactly one of the pointers is set.
	Message struct {
		From          MemberInfo   `cbor:"1,keyasint"`
		Revisions     Revisions    `cbor:"2,keyasint"`
		MemberUpdates []MemberInfo `cbor:"3,keyasint,omitempty"`

		Ping        *Ping        `cbor:"4,keyasint,omitempty"`
		Pong        *Pong        `cbor:"5,keyasint,omitempty"`
		PingFor     *PingFor     `cbor:"6,keyasint,omitempty"`
		PushUpdate  *PushUpdate  `cbor:"7,keyasint,omitempty"`
		FetchConfig *FetchConfig `cbor:"8,keyasint,omitempty"`
		ConfigFiles *ConfigFiles `cbor:"9,keyasint,omitempty"`
		FetchFleet  *FetchFleet  `cbor:"10,keyasint,omitempty"`
		Fleet       *Fleet       `cbor:"11,keyasint,omitempty"`
		Forward     *Forward     `cbor:"12,keyasint,omitempty"`
	}

	// Ping asks whether a member lives, and for all members if it joins.
	Ping struct {
		Join bool `cbor:"1,keyasint,omitempty"`
	}

	// Pong answers a ping with the good news on the groups of the data centre.
	// Good news moves only in replies: the asker counts its age from before it
	// asked, so that no delay on the way can make it look fresher.
	Pong struct {
		FleetRevision uint64         `cbor:"1,keyasint,omitempty"` // revision whose order of groups Good follows
		Healthy       []HealthyGroup `cbor:"2,keyasint,omitempty"`
	}

	// HealthyGroup is one group found whole, by its place in the fleet.
	HealthyGroup struct {
		_       struct{} `cbor:",toarray"`
		Index   uint16
		AgeMs   uint16
		Streams uint16
	}

	// PingFor asks a member to ping another that does not answer the asker.
	PingFor struct {
		Address string `cbor:"1,keyasint"`
	}

	// PushUpdate is pushed at once: groups that are out of service, requests that
	// groups died under, VMs that are leaving, and, by the revisions, new documents.
	PushUpdate struct {
		Unhealthy  []UnhealthyGroup `cbor:"1,keyasint,omitempty"`
		Crashes    []CrashReport    `cbor:"2,keyasint,omitempty"`
		LeavingVMs []string         `cbor:"3,keyasint,omitempty"` // VMs
	}

	// UnhealthyGroup is a group found out of service.
	UnhealthyGroup struct {
		Group      string `cbor:"1,keyasint"`
		Generation uint64 `cbor:"2,keyasint"`
		Reason     string `cbor:"3,keyasint"`
	}

	// CrashReport says that a group died while it ran a request.
	CrashReport struct {
		Digest string `cbor:"1,keyasint"`
		Group  string `cbor:"2,keyasint"` // with its assignment number
	}

	// FetchConfig asks for the files accepted after a revision.
	FetchConfig struct {
		After uint64 `cbor:"1,keyasint"`
	}

	// ConfigFiles carries the files accepted after the revision asked for.
	ConfigFiles struct {
		Revision uint64                       `cbor:"1,keyasint"`
		Files    []greengageroute.FileVersion `cbor:"2,keyasint"`
	}

	// FetchFleet asks for the fleet of the member's data centre.
	FetchFleet struct{}

	// Fleet carries a fleet.
	Fleet struct {
		Fleet greengageroute.Fleet `cbor:"1,keyasint"`
	}
)

var decodeMode = mustDecodeMode(cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 10})

func mustDecodeMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// String returns the word shown to operators.
func (state State) String() string {
	switch state {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "left"
	}
}

// Age returns the age of the good news.
func (group HealthyGroup) Age() time.Duration { return time.Duration(group.AgeMs) * time.Millisecond }

func encode(message Message) ([]byte, error) {
	bytes, err := cbor.Marshal(message)
	return bytes, trace.Wrap(err, "encoding a peer message")
}

// Decode reads one message. Input that is too long or malformed is an error.
func Decode(bytes []byte) (Message, error) {
	var message Message
	if err := decodeMode.Unmarshal(bytes, &message); err != nil {
		return message, trace.BadParameter("the peer message is malformed (%v); run the same version on every entry", err)
	}
	return message, nil
}

func readMessage(reader io.Reader) (Message, error) {
	bytes, err := io.ReadAll(io.LimitReader(reader, maxMessageBytes+1))
	if err != nil {
		return Message{}, trace.Wrap(err)
	}
	if len(bytes) > maxMessageBytes {
		return Message{}, trace.LimitExceeded("the peer message has more than %d bytes", maxMessageBytes)
	}
	return Decode(bytes)
}
