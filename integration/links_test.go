package integration

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"greengageroute.example/greengageroute/mesh"
)

type (
	// proxies stand between all processes of a site, so that their connections can
	// be broken from outside.
	proxies struct {
		t *testing.T

		mu      sync.Mutex
		fronts  map[string]string    // listed address by real address, of entries
		targets map[string]*tcpRelay // by id
	}

	// links are what connects one entry with the rest.
	links struct {
		callers, store, peers *tcpRelay
		news                  *peerRelay
	}

	// peerRelay carries the datagrams to one entry, loses some, and has their
	// senders answered through proxies too.
	peerRelay struct {
		proxies *proxies
		socket  *net.UDPConn
		to      *net.UDPAddr
		loss    atomic.Int64 // of a hundred
	}
)

func newProxies(site *site) *proxies {
	proxies := &proxies{t: site.t, fronts: map[string]string{}, targets: map[string]*tcpRelay{}}
	site.store.RewriteValue = proxies.rewrite
	site.peers.ProxyAddress = func(id, address string) string {
		relay := newTCPRelay(proxies.t, address)
		proxies.mu.Lock()
		defer proxies.mu.Unlock()
		proxies.targets[id] = relay
		return relay.address()
	}
	return proxies
}

// front opens the proxies of an entry that listens for others at the address.
func (proxies *proxies) front(entry *siteEntry, peer, store string) *links {
	t := proxies.t
	at := freePort(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp4", address) })
	links := &links{callers: newTCPRelay(t, entry.callers), store: newTCPRelay(t, store), peers: relayAt(t, at, peer)}
	place, err := net.ResolveUDPAddr("udp4", at)
	if err != nil {
		t.Fatal(err)
	}
	to, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp4", place)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	links.news = &peerRelay{proxies: proxies, socket: socket, to: to}
	proxies.mu.Lock()
	proxies.fronts[peer] = at
	proxies.mu.Unlock()
	go links.news.carry()
	return links
}

func (proxies *proxies) frontOf(address string) string {
	proxies.mu.Lock()
	defer proxies.mu.Unlock()
	if front, known := proxies.fronts[address]; known {
		return front
	}
	return address
}

// rewrite has entries list the addresses of their proxies.
func (proxies *proxies) rewrite(table, _ string, value []byte) []byte {
	var row struct {
		Address string `json:"address"`
	}
	if table != "entries" || json.Unmarshal(value, &row) != nil {
		return value
	}
	return bytes.ReplaceAll(value, []byte(row.Address), []byte(proxies.frontOf(row.Address)))
}

func (relay *peerRelay) carry() {
	buffer := make([]byte, 4<<10)
	for {
		count, _, err := relay.socket.ReadFromUDP(buffer)
		if err != nil {
			return // closed at the end of the test
		}
		message, err := mesh.Decode(buffer[:count])
		if err != nil || rand.Int64N(100) < relay.loss.Load() {
			continue
		}
		message.Address = relay.proxies.frontOf(message.Address)
		datagram, err := message.Encode()
		if err != nil {
			relay.proxies.t.Error(err)
			return
		}
		// An entry that is stopped just now misses the datagram.
		_, _ = relay.socket.WriteToUDP(datagram, relay.to)
	}
}
