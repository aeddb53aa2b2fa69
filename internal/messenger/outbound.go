package messenger

import (
	"time"

	"github.com/gorilla/websocket"
	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	linkPath            = "/link"
	handshakeTimeout    = 2 * time.Second
	writeTimeout        = 5 * time.Second
	maxQueuedMessages   = 1024
	minReconnectBackoff = 100 * timer.Millisecond
	maxReconnectBackoff = 2 * timer.Second
)

// outboundLink sends messages to one address and reconnects with exponential backoff.
type outboundLink struct {
	mesh    *Mesh
	address string
	queue   chan []byte
	tomb    tomb.Tomb
}

func newOutboundLink(m *Mesh, address string) *outboundLink {
	l := &outboundLink{mesh: m, address: address, queue: make(chan []byte, maxQueuedMessages)}
	l.tomb.Go(l.run)
	return l
}

// send queues a message. If the queue is full, the message is dropped; senders must expect lost messages anyway.
func (l *outboundLink) send(raw []byte) {
	select {
	case l.queue <- raw:
	default:
		l.mesh.deps.Telemetry.Counter("links.dropped").Inc(1)
	}
}

func (l *outboundLink) stop() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

func (l *outboundLink) run() error {
	backoff := minReconnectBackoff
	for l.tomb.Alive() {
		connected, err := l.connectAndSend()
		if connected {
			backoff = minReconnectBackoff
		}
		if err != nil {
			l.mesh.deps.Telemetry.Log.Debug("outgoing link failed", "address", l.address, "error", err)
		}
		select {
		case <-l.mesh.deps.Telemetry.Clock.After(backoff):
		case <-l.tomb.Dying():
		}
		backoff = min(2*backoff, maxReconnectBackoff)
	}
	return nil
}

// connectAndSend connects, sends a hello and writes queued messages until the connection breaks or the link is stopped;
// connected reports whether the hello was sent.
func (l *outboundLink) connectAndSend() (connected bool, err error) {
	dialer := websocket.Dialer{HandshakeTimeout: handshakeTimeout, TLSClientConfig: l.mesh.deps.TLS}
	scheme := "ws://"
	if l.mesh.deps.TLS != nil {
		scheme = "wss://"
	}
	conn, res, err := dialer.DialContext(l.tomb.Context(nil), scheme+l.address+linkPath, nil) //nolint:staticcheck // The tomb takes nil for a background context.
	if err != nil {
		return false, trace.Wrap(err)
	}
	_ = res.Body.Close()
	defer func() { _ = conn.Close() }()
	hello, err := encode(l.mesh.withSender(Envelope{Hello: &l.mesh.deps.Self}))
	if err != nil {
		return false, err
	}
	if err := l.write(conn, hello); err != nil {
		return false, err
	}
	l.mesh.deps.OnConnect(l.address)
	for {
		select {
		case raw := <-l.queue:
			if err := l.write(conn, raw); err != nil {
				return true, err
			}
		case <-l.tomb.Dying():
			return true, nil
		}
	}
}

func (l *outboundLink) write(conn *websocket.Conn, raw []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	l.mesh.countSent(len(raw))
	return trace.Wrap(conn.WriteMessage(websocket.BinaryMessage, raw))
}
