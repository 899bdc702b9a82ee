package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

const (
	idleTimeout = 60 * time.Second
	// keepAliveInterval is well below the idle timeout, so that connections stay
	// open and an update is pushed without a handshake.
	keepAliveInterval       = 25 * time.Second
	streamTimeout           = 5 * time.Second
	maxStreamsPerConnection = 64

	codeClosed    quic.ApplicationErrorCode = 0
	codeReplaced  quic.ApplicationErrorCode = 1
	codeMalformed quic.StreamErrorCode      = 1
)

type (
	// Handler handles the calls of other entries.
	Handler interface {
		// Handle returns the reply to a message.
		Handle(ctx context.Context, message Message) Message
		// Forward serves a forwarded request. It calls writeHeader before it writes
		// to body.
		Forward(ctx context.Context, request Forward, writeHeader func(ForwardHeader) error, body io.Writer)
	}

	// Node is the QUIC socket of an entry and its connections. A connection carries
	// calls in both directions, whichever end dialled it.
	Node struct {
		transport   *quic.Transport
		listener    *quic.Listener
		keys        *Keys
		handler     Handler
		onMalformed func()

		mu             sync.Mutex
		connections    map[string]*quic.Conn
		closedSent     uint64 // bytes over connections that are closed
		closedReceived uint64
	}
)

// Listen opens the socket at an address IP:port. It calls onMalformed for each
// message that is malformed or names a sender other than its certificate does.
func Listen(address string, keys *Keys, handler Handler, onMalformed func()) (*Node, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.BadParameter("%q is not an IP address and port", address)
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listening at %s", address)
	}
	config, err := keys.serverTLSConfig()
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	node := &Node{
		transport: &quic.Transport{Conn: socket}, keys: keys, handler: handler, onMalformed: onMalformed,
		connections: map[string]*quic.Conn{},
	}
	node.listener, err = node.transport.Listen(config, quicConfig())
	return node, trace.Wrap(err, "listening at %s", address)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAliveInterval, MaxIncomingStreams: maxStreamsPerConnection, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: 16 << 10, InitialConnectionReceiveWindow: 64 << 10,
		HandshakeIdleTimeout: 2 * time.Second, DisablePathMTUDiscovery: true,
	}
}

// Address returns the address that the socket is bound to.
func (node *Node) Address() string { return node.transport.Conn.LocalAddr().String() }

// Run accepts connections until the context ends, then closes all connections
// and the socket.
func (node *Node) Run(ctx context.Context) {
	defer node.close()
	for {
		connection, err := node.listener.Accept(ctx)
		if err != nil {
			return
		}
		go node.serveConnection(ctx, connection)
	}
}

func (node *Node) close() {
	node.mu.Lock()
	for _, connection := range node.connections {
		_ = connection.CloseWithError(codeClosed, "")
	}
	node.mu.Unlock()
	_ = node.listener.Close()
	_ = node.transport.Close()
	_ = node.transport.Conn.Close()
}

// serveConnection handles the calls that arrive over a connection until it is
// closed.
func (node *Node) serveConnection(ctx context.Context, connection *quic.Conn) {
	defer node.unregister(connection)
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		go node.serveStream(ctx, connection, stream)
	}
}

func (node *Node) serveStream(ctx context.Context, connection *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(streamTimeout))
	message, err := readMessage(stream, maxCallBytes)
	if err != nil || message.From.Name != commonName(connection) {
		node.onMalformed()
		stream.CancelRead(codeMalformed)
		stream.CancelWrite(codeMalformed)
		return
	}
	node.register(message.From.Address, connection)
	if message.Forward != nil {
		_ = stream.SetDeadline(time.Time{})
		node.handler.Forward(stream.Context(), *message.Forward, func(header ForwardHeader) error { return cbor.NewEncoder(stream).Encode(header) }, stream)
		return
	}
	reply, err := encode(node.handler.Handle(ctx, message))
	if err != nil {
		stream.CancelWrite(codeMalformed)
		return
	}
	// If the reply is lost, the call times out at the sender.
	_, _ = stream.Write(reply)
}

func commonName(connection *quic.Conn) string {
	return connection.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
}

// register keeps an incoming connection for calls to the same entry, unless there
// is a connection to it already.
func (node *Node) register(address string, connection *quic.Conn) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if _, known := node.connections[address]; !known {
		node.connections[address] = connection
	}
}

// Call sends a message to the entry at an address and returns its reply. If a call
// fails, its connection is closed and the next call dials a new one.
func (node *Node) Call(ctx context.Context, address string, message Message) (Message, error) {
	connection, err := node.connect(ctx, address)
	if err != nil {
		return Message{}, trace.Wrap(err, "connecting to entry %s", address)
	}
	reply, err := roundTrip(ctx, connection, message)
	if err != nil {
		node.discard(address, connection)
		return Message{}, trace.Wrap(err, "calling entry %s", address)
	}
	return reply, nil
}

// Forward sends a request to an entry of another data centre and returns the
// header and the body of its answer. The stream is cancelled when the context
// ends.
func (node *Node) Forward(ctx context.Context, address string, message Message) (ForwardHeader, io.Reader, error) {
	var header ForwardHeader
	openCtx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	connection, err := node.connect(openCtx, address)
	if err != nil {
		return header, nil, trace.Wrap(err, "connecting to entry %s", address)
	}
	stream, err := connection.OpenStreamSync(openCtx)
	if err != nil {
		return header, nil, trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	bytes, err := encode(message)
	if err == nil {
		_, err = stream.Write(bytes)
	}
	if err != nil {
		return header, nil, trace.Wrap(err, "forwarding to entry %s", address)
	}
	if err := stream.Close(); err != nil {
		return header, nil, trace.Wrap(err)
	}
	decoder := cbor.NewDecoder(io.LimitReader(stream, maxForwardHeaderBytes))
	if err := decoder.Decode(&header); err != nil {
		stream.CancelRead(0)
		return header, nil, trace.Wrap(err, "reading the response header of entry %s", address)
	}
	return header, io.MultiReader(decoder.Buffered(), stream), nil
}

func roundTrip(ctx context.Context, connection *quic.Conn, message Message) (Message, error) {
	bytes, err := encode(message)
	if err != nil {
		return Message{}, err
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return Message{}, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(streamTimeout)
	}
	_ = stream.SetDeadline(deadline)
	defer stream.CancelRead(0)
	if _, err := stream.Write(bytes); err != nil {
		return Message{}, err
	}
	if err := stream.Close(); err != nil {
		return Message{}, err
	}
	reply, err := readMessage(stream, message.replyLimit())
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return reply, err
}

func (node *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	node.mu.Lock()
	connection, known := node.connections[address]
	node.mu.Unlock()
	if known && connection.Context().Err() == nil {
		return connection, nil
	}
	config, err := node.keys.tlsConfig()
	if err != nil {
		return nil, err
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	connection, err = node.transport.Dial(ctx, resolved, config, quicConfig())
	if err != nil {
		return nil, err
	}
	node.mu.Lock()
	node.connections[address] = connection
	node.mu.Unlock()
	// Handles the calls that the other end makes over this connection.
	go node.serveConnection(connection.Context(), connection)
	return connection, nil
}

func (node *Node) discard(address string, connection *quic.Conn) {
	node.mu.Lock()
	if node.connections[address] == connection {
		delete(node.connections, address)
	}
	node.mu.Unlock()
	_ = connection.CloseWithError(codeReplaced, "")
}

func (node *Node) unregister(connection *quic.Conn) {
	stats := connection.ConnectionStats()
	node.mu.Lock()
	defer node.mu.Unlock()
	node.closedSent += stats.BytesSent
	node.closedReceived += stats.BytesReceived
	for address, other := range node.connections {
		if other == connection {
			delete(node.connections, address)
		}
	}
}

// Traffic returns the bytes sent and received over open and closed connections,
// without UDP and IP headers.
func (node *Node) Traffic() (sent, received uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	sent, received = node.closedSent, node.closedReceived
	for _, connection := range node.connections {
		stats := connection.ConnectionStats()
		sent += stats.BytesSent
		received += stats.BytesReceived
	}
	return sent, received
}
