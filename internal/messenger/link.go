package messenger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// heartbeatTimeout is the silence after which a link counts as broken; it allows for two lost heartbeats.
	heartbeatTimeout = 2500 * time.Millisecond
	// heartbeatInterval is the time between the heartbeats of an idle link.
	heartbeatInterval = 800 * timer.Millisecond
	// dialTimeout bounds the WebSocket handshake; the farthest instances are tens of milliseconds away.
	dialTimeout = time.Second
	// connectTimeout bounds the TCP connection alone. A SYN to an unreachable host is sent again only after 1 s, so a new
	// attempt reaches the host sooner once it is back.
	connectTimeout = 200 * time.Millisecond
	// minRedialBackoff is the delay before the first redial; it doubles with each failure in a row up to maxRedialBackoff.
	minRedialBackoff = 50 * timer.Millisecond
	maxRedialBackoff = 250 * timer.Millisecond
	// connBufferBytes is the size of a link's read and write buffers, in bytes; most messages are smaller.
	connBufferBytes = 1024
	// maxQueuedPackets is the number of packets that a link queues; when the queue is full, the link is closed.
	maxQueuedPackets = 512
)

// Link is a bidirectional link between two instances; both ends send packets and heartbeats.
type Link struct {
	conn      *websocket.Conn
	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	// peerGreeting is the first greeting of the other end.
	peerGreeting Greeting
}

// PeerGreeting returns the greeting that the other end sent when the link was opened.
func (l *Link) PeerGreeting() Greeting {
	return l.peerGreeting
}

func newLink(conn *websocket.Conn) *Link {
	return &Link{conn: conn, queue: make(chan []byte, maxQueuedPackets), done: make(chan struct{})}
}

// Send queues a packet. If the queue is full, Send closes the link, and the whole state is sent again on the next one.
func (l *Link) Send(p Packet) {
	raw, err := cbor.Marshal(p)
	if err != nil {
		l.Close()
		return
	}
	select {
	case l.queue <- raw:
	case <-l.done:
	default:
		l.Close()
	}
}

// Close closes the link and drops the queued packets.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// Closed returns a channel that is closed once the link is closed.
func (l *Link) Closed() <-chan struct{} {
	return l.done
}

func (l *Link) runWriter(clock timer.Clock) {
	defer l.Close()
	for {
		var err error
		select {
		case raw := <-l.queue:
			if err = l.conn.SetWriteDeadline(time.Now().Add(heartbeatTimeout)); err == nil {
				err = l.conn.WriteMessage(websocket.BinaryMessage, raw)
			}
		case <-clock.After(heartbeatInterval):
			err = l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(heartbeatTimeout))
		case <-l.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// decoding accepts text with bytes that are no text: a name that some process has made up must not break the link that carries
// it, again and again.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// read passes packets to handle until the link breaks.
func (l *Link) read(handle func(Packet)) error {
	defer l.Close()
	extendDeadline := func() error { return l.conn.SetReadDeadline(time.Now().Add(heartbeatTimeout)) }
	l.conn.SetReadLimit(maxEnvelopeBytes)
	// Both ends send pings, so there is no need for pongs.
	l.conn.SetPingHandler(func(string) error { return extendDeadline() })
	for {
		if err := extendDeadline(); err != nil {
			return trace.Wrap(err)
		}
		_, raw, err := l.conn.ReadMessage()
		if err != nil {
			return trace.Wrap(err)
		}
		var p Packet
		if err := decoding.Unmarshal(raw, &p); err != nil {
			return trace.Wrap(err, "packet of %s", l.peerGreeting.Instance)
		}
		handle(p)
	}
}

// LinkHandler holds the callbacks for one side of its links; they run on the goroutine that serves the link.
type LinkHandler struct {
	Telemetry observer.Telemetry
	// OnOpen is called when the other end's greeting arrives, and OnClose once the link is closed.
	OnOpen  func(*Link)
	OnClose func(*Link)
	// OnPacket handles a packet from the other end, the greeting included.
	OnPacket func(*Link, Packet)
	// NewGreeting returns the greeting of this end.
	NewGreeting func() Greeting
	// DialContext opens a connection to an address; nil means plain TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// serve runs the link on a new connection until it breaks.
func (h LinkHandler) serve(conn *websocket.Conn) error {
	l := newLink(conn)
	greeting := h.NewGreeting()
	l.Send(Packet{Greeting: &greeting})
	go l.runWriter(h.Telemetry.Clock)
	opened := false
	err := l.read(func(p Packet) {
		if !opened && p.Greeting != nil {
			opened = true
			l.peerGreeting = *p.Greeting
			h.OnOpen(l)
		}
		if opened {
			h.OnPacket(l, p)
		}
	})
	if opened {
		h.OnClose(l)
	}
	return err
}

// ServeHTTP accepts a link from another instance and serves it until it breaks.
func (h LinkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: dialTimeout, ReadBufferSize: connBufferBytes,
		WriteBufferSize: connBufferBytes}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		h.Telemetry.Log.Debug("cannot upgrade connection to a link", "from", r.RemoteAddr, "error", err)
		return
	}
	if err := h.serve(conn); err != nil {
		h.Telemetry.Log.Debug("incoming link closed", "from", r.RemoteAddr, "error", err)
	}
}

// Dialer maintains a link to each of a changing set of addresses.
type Dialer struct {
	handler LinkHandler
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	tomb    tomb.Tomb
}

// NewDialer returns a dialer without addresses.
func NewDialer(handler LinkHandler) *Dialer {
	d := &Dialer{handler: handler, cancels: map[string]context.CancelFunc{}}
	// This goroutine keeps the tomb alive while there are no links.
	d.tomb.Go(d.run)
	return d
}

func (d *Dialer) run() error {
	<-d.tomb.Dying()
	return nil
}

// SetAddresses sets the addresses to link to; links to other addresses are closed.
func (d *Dialer) SetAddresses(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isWanted := map[string]bool{}
	for _, a := range addresses {
		isWanted[a] = true
		if d.cancels[a] != nil || !d.tomb.Alive() {
			continue
		}
		ctx, cancel := context.WithCancel(d.tomb.Context(context.Background()))
		d.cancels[a] = cancel
		d.tomb.Go(func() error { return d.runLink(ctx, a) })
	}
	for a, cancel := range d.cancels {
		if !isWanted[a] {
			cancel()
			delete(d.cancels, a)
		}
	}
}

func (d *Dialer) runLink(ctx context.Context, address string) error {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		connected, err := d.dial(ctx, address)
		if err != nil {
			d.handler.Telemetry.Log.Debug("outgoing link failed", "address", address, "error", err)
		}
		if connected {
			backoff = minRedialBackoff
		}
		if err := d.handler.Telemetry.Clock.Sleep(ctx, backoff); err != nil {
			return nil
		}
		backoff = min(2*backoff, maxRedialBackoff)
	}
	return nil
}

// dial opens a link and runs it until it breaks; connected reports whether it was opened.
func (d *Dialer) dial(ctx context.Context, address string) (connected bool, err error) {
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, ReadBufferSize: connBufferBytes,
		WriteBufferSize: connBufferBytes, NetDialContext: d.dialWithTimeout}
	conn, res, err := dialer.DialContext(ctx, "ws://"+address+linkPath, nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	_ = res.Body.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return true, d.handler.serve(conn)
}

// dialWithTimeout opens the connection for a link within connectTimeout.
func (d *Dialer) dialWithTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if d.handler.DialContext != nil {
		return d.handler.DialContext(ctx, network, address)
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

// Stop closes every link.
func (d *Dialer) Stop() error {
	d.tomb.Kill(nil)
	return d.tomb.Wait()
}
