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
	// lineSilence is the silence after which a line counts as dead: two signs of life may be lost.
	lineSilence = 2500 * time.Millisecond
	// lineBeat is the time between signs of life of a line without news.
	lineBeat = 800 * timer.Millisecond
	// lineDial bounds the making of a line; the farthest instances are tens of milliseconds away.
	lineDial = time.Second
	// lineConnect bounds its connection alone: an opening packet that a dark machine did not get is sent again only after a
	// second, so that a new attempt finds the machine sooner once it is back.
	lineConnect = 200 * time.Millisecond
	// lineFirstPause and lineMaxPause are the times before a line is made again, at first and after several failures in a row.
	lineFirstPause = 50 * timer.Millisecond
	lineMaxPause   = 250 * timer.Millisecond
	// lineBuffer is the size of a line's read and write buffers, in bytes; most messages are smaller.
	lineBuffer = 1024
	// lineQueue is how many messages may wait on a line before it counts as dead.
	lineQueue = 512
)

// Line is a connection between two instances on which both send packets and signs of life.
type Line struct {
	conn   *websocket.Conn
	out    chan []byte
	closed chan struct{}
	once   sync.Once
	// peer is what the other end said of itself first.
	peer Greeting
}

// Greeted returns what the other end said of itself when the line was made.
func (l *Line) Greeted() Greeting {
	return l.peer
}

func newLine(conn *websocket.Conn) *Line {
	return &Line{conn: conn, out: make(chan []byte, lineQueue), closed: make(chan struct{})}
}

// Send queues a packet; a line whose queue is full is closed, so that its state is sent anew on the next one.
func (l *Line) Send(p Packet) {
	raw, err := cbor.Marshal(p)
	if err != nil {
		l.Close()
		return
	}
	select {
	case l.out <- raw:
	case <-l.closed:
	default:
		l.Close()
	}
}

// Close drops the line.
func (l *Line) Close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// Closed is closed once the line is dropped.
func (l *Line) Closed() <-chan struct{} {
	return l.closed
}

func (l *Line) runWriter(clock timer.Clock) {
	defer l.Close()
	for {
		var err error
		select {
		case raw := <-l.out:
			if err = l.conn.SetWriteDeadline(time.Now().Add(lineSilence)); err == nil {
				err = l.conn.WriteMessage(websocket.BinaryMessage, raw)
			}
		case <-clock.After(lineBeat):
			err = l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(lineSilence))
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// read hands packets to take until the line breaks.
func (l *Line) read(take func(Packet)) error {
	defer l.Close()
	alive := func() error { return l.conn.SetReadDeadline(time.Now().Add(lineSilence)) }
	l.conn.SetReadLimit(maxEnvelopeBytes)
	// Both ends send signs of life, so that none has to be answered.
	l.conn.SetPingHandler(func(string) error { return alive() })
	for {
		if err := alive(); err != nil {
			return trace.Wrap(err)
		}
		_, raw, err := l.conn.ReadMessage()
		if err != nil {
			return trace.Wrap(err)
		}
		var p Packet
		if err := cbor.Unmarshal(raw, &p); err != nil {
			return trace.Wrap(err, "packet of %s", l.peer.Instance)
		}
		take(p)
	}
}

// Ends are what happens on a line's way; all run on the line's own goroutine.
type Ends struct {
	Common observer.Common
	// Opened is told of a line once the other end has greeted, and Closed once it is dropped.
	Opened func(*Line)
	Closed func(*Line)
	Take   func(*Line, Packet)
	// Greet returns what this end says of itself.
	Greet func() Greeting
	// Connect opens a connection to an address; nil means TCP.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
}

// serve runs a fresh connection until it breaks.
func (e Ends) serve(conn *websocket.Conn) error {
	l := newLine(conn)
	greeting := e.Greet()
	l.Send(Packet{Greeting: &greeting})
	go l.runWriter(e.Common.Clock)
	opened := false
	err := l.read(func(p Packet) {
		if !opened && p.Greeting != nil {
			opened = true
			l.peer = *p.Greeting
			e.Opened(l)
		}
		if opened {
			e.Take(l, p)
		}
	})
	if opened {
		e.Closed(l)
	}
	return err
}

// ServeHTTP takes in a line that another instance has made.
func (e Ends) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: lineDial, ReadBufferSize: lineBuffer, WriteBufferSize: lineBuffer}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		e.Common.Log.Debug("line refused", "from", r.RemoteAddr, "error", err)
		return
	}
	if err := e.serve(conn); err != nil {
		e.Common.Log.Debug("line ended", "from", r.RemoteAddr, "error", err)
	}
}

// Dialer keeps a line to each of a changing set of addresses.
type Dialer struct {
	ends  Ends
	mu    sync.Mutex
	stops map[string]context.CancelFunc
	tomb  tomb.Tomb
}

// NewDialer returns a dialer without lines.
func NewDialer(ends Ends) *Dialer {
	d := &Dialer{ends: ends, stops: map[string]context.CancelFunc{}}
	// The tomb stays alive while there are no lines.
	d.tomb.Go(d.run)
	return d
}

func (d *Dialer) run() error {
	<-d.tomb.Dying()
	return nil
}

// Keep makes lines to the addresses and drops those to others.
func (d *Dialer) Keep(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range addresses {
		wanted[a] = true
		if d.stops[a] != nil || !d.tomb.Alive() {
			continue
		}
		ctx, cancel := context.WithCancel(d.tomb.Context(context.Background()))
		d.stops[a] = cancel
		d.tomb.Go(func() error { return d.runLine(ctx, a) })
	}
	for a, stop := range d.stops {
		if !wanted[a] {
			stop()
			delete(d.stops, a)
		}
	}
}

func (d *Dialer) runLine(ctx context.Context, address string) error {
	pause := lineFirstPause
	for ctx.Err() == nil {
		made, err := d.dial(ctx, address)
		if err != nil {
			d.ends.Common.Log.Debug("line broke", "address", address, "error", err)
		}
		if made {
			pause = lineFirstPause
		}
		if err := d.ends.Common.Clock.Sleep(ctx, pause); err != nil {
			return nil
		}
		pause = min(2*pause, lineMaxPause)
	}
	return nil
}

// dial makes a line and runs it until it breaks; made says that there was one.
func (d *Dialer) dial(ctx context.Context, address string) (made bool, err error) {
	dialer := websocket.Dialer{HandshakeTimeout: lineDial, ReadBufferSize: lineBuffer, WriteBufferSize: lineBuffer, NetDialContext: d.connect}
	conn, res, err := dialer.DialContext(ctx, "ws://"+address+linkPath, nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	_ = res.Body.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return true, d.ends.serve(conn)
}

func (d *Dialer) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, lineConnect)
	defer cancel()
	if d.ends.Connect != nil {
		return d.ends.Connect(ctx, network, address)
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

// Stop drops every line.
func (d *Dialer) Stop() error {
	d.tomb.Kill(nil)
	return d.tomb.Wait()
}
