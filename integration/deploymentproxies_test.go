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
	proxySet struct {
		t *testing.T

		mu        sync.Mutex
		addresses map[string]string    // listed address by real address, of entries
		targets   map[string]*tcpProxy // by id
	}

	// links are what connects one entry with the rest.
	entryProxies struct {
		callers, store, peers *tcpProxy
		gossip                *gossipProxy
	}

	// peerRelay carries the datagrams to one entry, loses some, and has their
	// senders answered through proxies too.
	gossipProxy struct {
		set         *proxySet
		socket      *net.UDPConn
		upstream    *net.UDPAddr
		lossPercent atomic.Int64 // of a hundred
	}
)

func newProxySet(deployment *deployment) *proxySet {
	set := &proxySet{t: deployment.t, addresses: map[string]string{}, targets: map[string]*tcpProxy{}}
	deployment.store.RewriteValue = set.rewriteEntryAddress
	deployment.peers.ProxyAddress = func(id, address string) string {
		proxy := newTCPProxy(set.t, address)
		set.mu.Lock()
		defer set.mu.Unlock()
		set.targets[id] = proxy
		return proxy.address()
	}
	return set
}

// front opens the proxies of an entry that listens for others at the address.
func (set *proxySet) addEntry(entry *entryProcess, peerAddress, storeAddress string) *entryProxies {
	t := set.t
	proxyAddress := freePort(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp4", address) })
	proxies := &entryProxies{callers: newTCPProxy(t, entry.callerAddress), store: newTCPProxy(t, storeAddress), peers: newTCPProxyAt(t, proxyAddress, peerAddress)}
	listenAddress, err := net.ResolveUDPAddr("udp4", proxyAddress)
	if err != nil {
		t.Fatal(err)
	}
	upstream, err := net.ResolveUDPAddr("udp4", peerAddress)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp4", listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	proxies.gossip = &gossipProxy{set: set, socket: socket, upstream: upstream}
	set.mu.Lock()
	set.addresses[peerAddress] = proxyAddress
	set.mu.Unlock()
	go proxies.gossip.forward()
	return proxies
}

func (set *proxySet) proxyAddress(address string) string {
	set.mu.Lock()
	defer set.mu.Unlock()
	if proxied, known := set.addresses[address]; known {
		return proxied
	}
	return address
}

// rewrite has entries list the addresses of their proxies.
func (set *proxySet) rewriteEntryAddress(table, _ string, value []byte) []byte {
	var row struct {
		Address string `json:"address"`
	}
	if table != "entries" || json.Unmarshal(value, &row) != nil {
		return value
	}
	return bytes.ReplaceAll(value, []byte(row.Address), []byte(set.proxyAddress(row.Address)))
}

func (proxy *gossipProxy) forward() {
	buffer := make([]byte, 4<<10)
	for {
		count, _, err := proxy.socket.ReadFromUDP(buffer)
		if err != nil {
			return // closed at the end of the test
		}
		message, err := mesh.Decode(buffer[:count])
		if err != nil || rand.Int64N(100) < proxy.lossPercent.Load() {
			continue
		}
		message.Address = proxy.set.proxyAddress(message.Address)
		datagram, err := message.Encode()
		if err != nil {
			proxy.set.t.Error(err)
			return
		}
		// An entry that is stopped just now misses the datagram.
		_, _ = proxy.socket.WriteToUDP(datagram, proxy.upstream)
	}
}
