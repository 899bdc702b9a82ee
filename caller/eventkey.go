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
	// EventKey signs and verifies event ids. All entries share the same key.
	EventKey []byte

	// EventPosition identifies an event of an answer. An event id encodes it, so
	// that any entry can resume the answer after the event. It is encoded as an
	// array by the order of its fields.
	EventPosition struct {
		_      struct{} `cbor:",toarray"`
		Digest []byte   // of the request
		Seed   uint64
		Offset int // of the token that the event carried
	}
)

// ID returns the signed id of the event at a position.
func (key EventKey) ID(position EventPosition) string {
	body, err := cbor.Marshal(position)
	if err != nil {
		return "" // an EventPosition always encodes
	}
	return base64.RawURLEncoding.EncodeToString(append(body, key.mac(body)...))
}

// Parse verifies an id that was made with the same key and returns its position.
func (key EventKey) Parse(id string) (EventPosition, error) {
	var position EventPosition
	if len(id) > maxEventIDBytes {
		return position, trace.BadParameter("the Last-Event-ID is too long; send the id unchanged, as it was received")
	}
	raw, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil || len(raw) <= macBytes {
		return position, trace.BadParameter("the Last-Event-ID is malformed; send the id unchanged, as it was received")
	}
	body, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(mac, key.mac(body)) {
		return position, trace.BadParameter("the Last-Event-ID was not made by this system; send the id unchanged, as it was received")
	}
	if err := cbor.Unmarshal(body, &position); err != nil || position.Offset < 0 {
		return position, trace.BadParameter("the Last-Event-ID is malformed; send the id unchanged, as it was received")
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
