package messenger

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Deps holds the dependencies of a mesh.
type Deps struct {
	Telemetry observer.Telemetry
	Self      Peer
	// TLS is the client side of mutual TLS on outgoing links; nil means no TLS.
	TLS *tls.Config
	// Handle processes one message from another instance; replies to calls go to the caller of Call instead.
	Handle func(Envelope)
	// OnConnect is called when an outgoing link to an address is established.
	OnConnect func(address string)
	// ShouldDrop reports whether messages from or to an instance are dropped, for tests of partitions; nil drops none.
	ShouldDrop func(instance string, incoming bool) bool
	// Delay returns the one-way delay to an instance in milliseconds, for measurements; nil means no delay.
	Delay func(instance string) timer.Millis
}

// Mesh manages the links of one instance to the others; each direction has a link of its own.
type Mesh struct {
	deps         Deps
	mu           sync.Mutex
	links        map[string]*outboundLink
	addresses    map[string]string
	conns        map[*websocket.Conn]bool
	pendingCalls map[uint64]chan Envelope
	lastCallID   atomic.Uint64
	closed       bool
	handlers     sync.WaitGroup
	bytesOut     metrics.Counter
	bytesIn      metrics.Counter
	messagesOut  metrics.Counter
}

// NewMesh returns a mesh without links.
func NewMesh(deps Deps) *Mesh {
	return &Mesh{
		deps: deps, links: map[string]*outboundLink{}, addresses: map[string]string{}, conns: map[*websocket.Conn]bool{}, pendingCalls: map[uint64]chan Envelope{},
		bytesOut: deps.Telemetry.Counter("links.bytes-out"), bytesIn: deps.Telemetry.Counter("links.bytes-in"), messagesOut: deps.Telemetry.Counter("links.messages-out"),
	}
}

func (m *Mesh) countSent(n int) {
	m.bytesOut.Inc(int64(n))
	m.messagesOut.Inc(1)
}

// Connect opens a link to the address, unless there is one, and reconnects it whenever it breaks.
func (m *Mesh) Connect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || address == m.deps.Self.Address || m.links[address] != nil {
		return
	}
	m.links[address] = newOutboundLink(m, address)
}

// SetAddress records the address of an instance and opens a link to it.
func (m *Mesh) SetAddress(instance, address string) {
	m.mu.Lock()
	m.addresses[instance] = address
	m.mu.Unlock()
	m.Connect(address)
}

// Disconnect closes the link to an address.
func (m *Mesh) Disconnect(address string) error {
	m.mu.Lock()
	l := m.links[address]
	delete(m.links, address)
	m.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.stop()
}

// Send queues a message to an instance. It reports false if there is no link to the instance or the message cannot be
// encoded; a full queue still drops the message.
func (m *Mesh) Send(instance string, e Envelope) bool {
	m.mu.Lock()
	l := m.links[m.addresses[instance]]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	if m.deps.ShouldDrop != nil && m.deps.ShouldDrop(instance, false) {
		return true
	}
	raw, err := encode(m.withSender(e))
	if err != nil {
		m.deps.Telemetry.Log.Error("cannot encode message", "to", instance, "error", err)
		return false
	}
	if m.deps.Delay == nil {
		l.send(raw)
		return true
	}
	time.AfterFunc(m.deps.Delay(instance).Duration(), func() { l.send(raw) })
	return true
}

// withSender returns the envelope with the protocol version and this instance's name.
func (m *Mesh) withSender(e Envelope) Envelope {
	e.Version = ProtocolVersion
	e.From = m.deps.Self.Name
	return e
}

// Call sends a request to an instance and waits for the reply; it fails if there is no link or the context ends first.
func (m *Mesh) Call(ctx context.Context, instance string, e Envelope) (Envelope, error) {
	e.CallID = m.lastCallID.Add(1)
	replies := make(chan Envelope, 1)
	m.mu.Lock()
	m.pendingCalls[e.CallID] = replies
	m.mu.Unlock()
	defer m.removeCall(e.CallID)
	if !m.Send(instance, e) {
		return Envelope{}, trace.ConnectionProblem(nil, "there is no link to instance %s", instance)
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return Envelope{}, trace.ConnectionProblem(ctx.Err(), "instance %s did not answer in time", instance)
	}
}

func (m *Mesh) removeCall(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingCalls, id)
}

// ServeHTTP accepts a link from another instance and reads its messages until it breaks.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		m.deps.Telemetry.Log.Debug("cannot upgrade connection to a link", "from", r.RemoteAddr, "error", err)
		return
	}
	if !m.addConn(conn) {
		_ = conn.Close()
		return
	}
	defer m.closeConn(conn)
	conn.SetReadLimit(maxEnvelopeBytes)
	for {
		kind, raw, err := conn.ReadMessage()
		if err != nil {
			return
		}
		if kind != websocket.BinaryMessage || !m.receive(raw) {
			m.deps.Telemetry.Log.Warn("link closed: message cannot be decoded", "from", r.RemoteAddr)
			return
		}
	}
}

func (m *Mesh) addConn(conn *websocket.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.conns[conn] = true
	m.handlers.Add(1)
	return true
}

func (m *Mesh) closeConn(conn *websocket.Conn) {
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
	_ = conn.Close()
	m.handlers.Done()
}

// receive handles one message and reports whether it could be decoded; the sender may be one protocol version older or
// newer.
func (m *Mesh) receive(raw []byte) bool {
	e, err := decode(raw)
	if err != nil || e.Version < ProtocolVersion-1 || e.Version > ProtocolVersion+1 {
		return false
	}
	m.bytesIn.Inc(int64(len(raw)))
	if m.deps.ShouldDrop != nil && m.deps.ShouldDrop(e.From, true) {
		return true
	}
	if !e.isReply() {
		m.deps.Handle(e)
		return true
	}
	m.mu.Lock()
	replies := m.pendingCalls[e.CallID]
	m.mu.Unlock()
	if replies != nil {
		select {
		case replies <- e:
		default:
		}
	}
	return true
}

// Stop closes every link and waits for the handlers of incoming links.
func (m *Mesh) Stop() error {
	m.mu.Lock()
	m.closed = true
	links := m.links
	m.links = map[string]*outboundLink{}
	for conn := range m.conns {
		_ = conn.Close()
	}
	m.mu.Unlock()
	var errs []error
	for _, l := range links {
		errs = append(errs, l.stop())
	}
	m.handlers.Wait()
	return trace.NewAggregate(errs...)
}
