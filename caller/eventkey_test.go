package caller

import (
	"bytes"
	"testing"
)

func TestEventIDs(t *testing.T) {
	key, other := EventKey(bytes.Repeat([]byte{1}, minEventKeyBytes)), EventKey(bytes.Repeat([]byte{2}, minEventKeyBytes))
	position := EventPosition{Digest: requestDigest("workspace", "body"), Seed: 41, Offset: 7}
	id := key.ID(position)
	if found, err := key.Parse(id); err != nil || found.Offset != 7 || found.Seed != 41 || !bytes.Equal(found.Digest, position.Digest) {
		t.Errorf("parsed position is %+v (%v), want %+v", found, err, position)
	}
	for _, test := range []struct {
		name string
		key  EventKey
		id   string
	}{
		{"another key", other, id},
		{"cut", key, id[:len(id)-1]},
		{"changed", key, "B" + id[1:]},
		{"empty", key, ""},
		{"not base64", key, "***"},
	} {
		if _, err := test.key.Parse(test.id); err == nil {
			t.Errorf("%s: the id was accepted, want an error", test.name)
		}
	}
}

func FuzzEventID(f *testing.F) {
	key := EventKey(bytes.Repeat([]byte{1}, minEventKeyBytes))
	f.Add(key.ID(EventPosition{Digest: []byte("d"), Seed: 1, Offset: 2}))
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, id string) {
		if position, err := key.Parse(id); err == nil && key.ID(position) != id {
			t.Errorf("id %q was accepted but its position encodes to another id", id)
		}
	})
}
