// Package peer connects the entries to one another: over QUIC with mutual TLS, one
// stream per call, with messages encoded in CBOR. It maintains the membership and
// carries configurations, fleets, probe results, reports of requests that crashed
// groups, and forwarded chat completions.
package peer

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// maxDocumentBytes limits a reply with a document; the largest holds all files of a
	// configuration.
	maxDocumentBytes = 16 << 20
	// maxReplyBytes limits another reply; the largest lists all members.
	maxReplyBytes = 1 << 20
	// maxCallBytes limits a call; the largest forwards a request with a body of 4 MB.
	maxCallBytes = 5 << 20
	// maxForwardHeaderBytes limits what precedes the body of a forwarded answer.
	maxForwardHeaderBytes = 64 << 10
)

// States of a member. At the same incarnation, a later state overrides an earlier
// one.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

type (
	// State is the state of a member as far as an entry knows.
	State uint8

	// MemberInfo is a gossip update: the identity and state of a member.
	MemberInfo struct {
		Name        string `cbor:"1,keyasint"`
		Address     string `cbor:"2,keyasint"` // IP:port of its QUIC socket
		DataCentre  string `cbor:"3,keyasint"`
		Incarnation uint64 `cbor:"4,keyasint"` // incremented by the member to refute an update
		State       State  `cbor:"5,keyasint"`
	}

	// Forward asks an entry of another data centre to serve a chat completion.
	// The reply is a ForwardHeader followed by the body of the answer.
	Forward struct {
		Workspace   string `cbor:"1,keyasint"` // authenticated by the sending entry
		Body        []byte `cbor:"2,keyasint"`
		LastEventID string `cbor:"3,keyasint,omitempty"`
	}

	// ForwardHeader precedes the body of a forwarded answer.
	ForwardHeader struct {
		Status      int    `cbor:"1,keyasint"`
		ContentType string `cbor:"2,keyasint,omitempty"`
		Refusal     []byte `cbor:"3,keyasint,omitempty"` // JSON, sent instead of a body
	}

	// Revisions are the revisions of the documents that a member has.
	Revisions struct {
		Config uint64 `cbor:"1,keyasint"`
		Fleet  uint64 `cbor:"2,keyasint"` // of its own data centre
	}

	// Message is a call or a reply. At most one of the pointers is set.
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

	// Ping checks that a member is alive. With Join, the reply lists all members.
	Ping struct {
		Join bool `cbor:"1,keyasint,omitempty"`
	}

	// Pong is the reply to a ping, with the healthy probe results of the data
	// centre's groups. Healthy results are sent only in replies: the receiver
	// counts their age from the time before it sent the ping, so that no network
	// delay makes a result look fresher than it is.
	Pong struct {
		FleetRevision uint64         `cbor:"1,keyasint,omitempty"` // revision whose order of groups Healthy refers to
		Healthy       []HealthyGroup `cbor:"2,keyasint,omitempty"`
		// Quarantined are the causes of crashes that the sender refuses.
		Quarantined []greengageroute.QuarantineVerdict `cbor:"3,keyasint,omitempty"`
	}

	// HealthyGroup is a healthy probe result of a group. Index is the group's
	// position in the fleet, Streams the number of streams that the probe reported.
	HealthyGroup struct {
		_       struct{} `cbor:",toarray"`
		Index   uint16
		AgeMs   uint16
		Streams uint16
	}

	// PingFor asks a member to ping another that does not respond to the sender.
	PingFor struct {
		Address string `cbor:"1,keyasint"`
	}

	// PushUpdate is sent without waiting for the next ping. It carries groups that
	// are out of service, requests that crashed groups and VMs that are leaving.
	// An empty one announces new documents by the revisions of its message.
	PushUpdate struct {
		Unhealthy  []UnhealthyGroup `cbor:"1,keyasint,omitempty"`
		LeavingVMs []string         `cbor:"3,keyasint,omitempty"`
		// Crashes are requests that groups ran when they crashed.
		Crashes []greengageroute.CrashReport `cbor:"4,keyasint,omitempty"`
		// Sound are causes that other entries suspect and the sender found sound.
		Sound []greengageroute.CrashCause `cbor:"5,keyasint,omitempty"`
	}

	// UnhealthyGroup is a group that a probe or a request found out of service.
	UnhealthyGroup struct {
		Group      string `cbor:"1,keyasint"`
		Generation uint64 `cbor:"2,keyasint"`
		Reason     string `cbor:"3,keyasint"`
	}

	// FetchConfig requests the files accepted after a revision.
	FetchConfig struct {
		After uint64 `cbor:"1,keyasint"`
	}

	// ConfigFiles is the reply to FetchConfig: the files accepted after the
	// requested revision, and the current revision.
	ConfigFiles struct {
		Revision uint64                       `cbor:"1,keyasint"`
		Files    []greengageroute.FileVersion `cbor:"2,keyasint"`
	}

	// FetchFleet requests the fleet of the receiver's data centre.
	FetchFleet struct{}

	// Fleet is the reply to FetchFleet.
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

// String returns the name of the state that operators see.
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

// Age returns how old the probe result was when it was sent.
func (group HealthyGroup) Age() time.Duration { return time.Duration(group.AgeMs) * time.Millisecond }

func encode(message Message) ([]byte, error) {
	bytes, err := cbor.Marshal(message)
	return bytes, trace.Wrap(err, "encoding a peer message")
}

// Decode decodes one message. Malformed input, and input that exceeds the limits of
// nesting and of elements, is an error.
func Decode(bytes []byte) (Message, error) {
	var message Message
	if err := decodeMode.Unmarshal(bytes, &message); err != nil {
		return message, trace.BadParameter("malformed peer message (%v); run the same version on every entry", err)
	}
	return message, nil
}

// replyLimit returns the longest reply to the message.
func (message Message) replyLimit() int {
	if message.FetchConfig != nil || message.FetchFleet != nil {
		return maxDocumentBytes
	}
	return maxReplyBytes
}

func readMessage(reader io.Reader, limit int) (Message, error) {
	bytes, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return Message{}, trace.Wrap(err)
	}
	if len(bytes) > limit {
		return Message{}, trace.LimitExceeded("peer message is longer than %d bytes", limit)
	}
	return Decode(bytes)
}
