package peer

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// endlessHandler replies with a long list of members, and to forwarded requests with a header
// without end.
type endlessHandler struct{ written atomic.Int64 }

func (handler *endlessHandler) Handle(context.Context, Message) Message {
	return Message{From: MemberInfo{Name: "b"}, MemberUpdates: []MemberInfo{{Name: strings.Repeat("x", 2<<20)}}}
}

func (handler *endlessHandler) Forward(_ context.Context, _ Forward, _ func(ForwardHeader) error, body io.Writer) {
	// A map with one entry, a byte string of 1 TB.
	next := []byte{0xa1, 0x03, 0x5b, 0, 0, 1, 0, 0, 0, 0, 0}
	for {
		count, err := body.Write(next)
		handler.written.Add(int64(count))
		if err != nil {
			return
		}
		next = make([]byte, 64<<10)
	}
}

// listen opens the node of an entry with a certificate of its own.
func listen(t *testing.T, directory, name string, authority KeyPair, handler Handler) *Node {
	t.Helper()
	pair, err := NewEntryKeys(authority, name)
	if err != nil {
		t.Fatal(err)
	}
	paths := greengageroute.KeyPaths{Authority: filepath.Join(directory, "authority.pem"), Certificate: filepath.Join(directory, name+".pem"), Key: filepath.Join(directory, name+".key")}
	for path, text := range map[string][]byte{paths.Authority: authority.Certificate, paths.Certificate: pair.Certificate, paths.Key: pair.Key} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	keys, err := LoadKeys(paths)
	if err != nil {
		t.Fatal(err)
	}
	node, err := Listen("127.0.0.1:0", keys, handler, func() {})
	if err != nil {
		t.Fatal(err)
	}
	go node.Run(t.Context())
	return node
}

// TestAnswersOfEntriesWithoutEnd guards against another entry whose replies, or whose headers
// before forwarded answers, use up this entry's memory.
func TestAnswersOfEntriesWithoutEnd(t *testing.T) {
	authority, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	handler := &endlessHandler{}
	directory := t.TempDir()
	sound, faulty := listen(t, directory, "a", authority, handler), listen(t, directory, "b", authority, handler)
	message := func(edit func(*Message)) Message {
		message := Message{From: MemberInfo{Name: "a", Address: sound.Address()}}
		edit(&message)
		return message
	}
	for _, test := range []struct {
		name    string
		call    func(context.Context) error
		refused bool
	}{
		{"a document", func(ctx context.Context) error {
			_, err := sound.Call(ctx, faulty.Address(), message(func(message *Message) { message.FetchFleet = &FetchFleet{} }))
			return err
		}, false},
		{"a reply to a ping", func(ctx context.Context) error {
			_, err := sound.Call(ctx, faulty.Address(), message(func(message *Message) { message.Ping = &Ping{} }))
			return err
		}, true},
		{"a header", func(ctx context.Context) error {
			_, _, err := sound.Forward(ctx, faulty.Address(), message(func(message *Message) { message.Forward = &Forward{} }))
			return err
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := test.call(ctx); (err != nil) != test.refused || ctx.Err() != nil {
				t.Errorf("got error %v (%v), want one: %t", err, ctx.Err(), test.refused)
			}
		})
	}
	if written := handler.written.Load(); written > maxReplyBytes {
		t.Errorf("%d bytes of a header were taken, want at most %d", written, maxReplyBytes)
	}
}
