package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

const (
	macBytes         = 16
	maxEventIDBytes  = 512
	minEventKeyBytes = 32
)

type (
	// EventKey authenticates event ids. All entries share it.
	EventKey []byte

	// EventPosition says where in which answer an event stands. It is what an event id
	// encodes, so that any entry can go on from there.
	EventPosition struct {
		_      struct{} `cbor:",toarray"`
		Digest []byte   // of the request
		Seed   uint64
		Offset int // of the token that the event carried
	}
)

// ID returns the event's id.
func (key EventKey) ID(position EventPosition) string {
	body, err := cbor.Marshal(position)
	if err != nil {
		return "" // an EventPosition always encodes
	}
	return base64.RawURLEncoding.EncodeToString(append(body, key.mac(body)...))
}

// Parse returns the event of an id made under the same key.
func (key EventKey) Parse(id string) (EventPosition, error) {
	var position EventPosition
	if len(id) > maxEventIDBytes {
		return position, trace.BadParameter("the Last-Event-ID is too long; send an id as it was received")
	}
	raw, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil || len(raw) <= macBytes {
		return position, trace.BadParameter("the Last-Event-ID is malformed; send an id as it was received")
	}
	body, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(mac, key.mac(body)) {
		return position, trace.BadParameter("the Last-Event-ID was not made by this system; send an id as it was received")
	}
	if err := cbor.Unmarshal(body, &position); err != nil || position.Offset < 0 {
		return position, trace.BadParameter("the Last-Event-ID is malformed; send an id as it was received")
	}
	return position, nil
}

func (key EventKey) mac(body []byte) []byte {
	sum := hmac.New(sha256.New, key)
	sum.Write(body)
	return sum.Sum(nil)[:macBytes]
}

// ReadEventKey reads the key from a file of at least 32 bytes.
func ReadEventKey(path string) (EventKey, error) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading the event key")
	}
	if len(key) < minEventKeyBytes {
		return nil, trace.BadParameter("event key %q has fewer than %d bytes; run \"greengageroute keys\" to make one", path, minEventKeyBytes)
	}
	return key, nil
}
