package tunneler

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/detector"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// MaxTunnels bounds the tunnels that an instance relays at once: each one takes two descriptors and about 30 KB.
	MaxTunnels = 512
	// connectTimeout bounds the connection to the server. The instance that asks does not wait for longer.
	connectTimeout = 120 * timer.Millisecond
	// peerTimeout is the silence of the other instance's machine after which a tunnel is probed, peerProbes times in the same
	// time again; without an answer, the tunnel ends.
	peerTimeout = 3 * time.Second
	peerProbes  = 3
	// drainPollInterval is the time between looks at whether all tunnels have ended during a stop.
	drainPollInterval = 50 * timer.Millisecond
)

// HandlerDeps are the dependencies of a handler.
type HandlerDeps struct {
	Telemetry observer.Telemetry
	// Dial opens a connection to a server directly. It must not lead through another instance, or tunnels could loop.
	Dial func(context.Context, string) (net.Conn, error)
	// IsServer reports whether an address is that of a known backend server; no other address is connected to.
	IsServer func(string) bool
	// ReachesAnother reports whether this instance reaches another server than the given one. Only then does it tell others that
	// the server is out of reach.
	ReachesAnother func(context.Context, string) bool
	// RestLeft returns for how long a server gets nothing from this instance, because it asked for that; OnRest is called when
	// another instance reports that it did.
	RestLeft func(string) timer.Millis
	OnRest   func(address string, rest timer.Millis)
	// IsCutOff reports whether this instance does not reach the servers itself.
	IsCutOff func() bool
}

// Handler relays the connections of other instances to backend servers.
type Handler struct {
	deps HandlerDeps
	mu   sync.Mutex
	// tunnels are the tunnels that are open, and opening is how many are being opened.
	tunnels  map[*tunnel]bool
	opening  int
	draining bool
}

// NewHandler returns a handler without tunnels.
func NewHandler(deps HandlerDeps) *Handler {
	return &Handler{deps: deps, tunnels: map[*tunnel]bool{}}
}

// ServeHTTP connects to the server that a CONNECT request names and relays the connection until either end closes it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, restPath) {
		h.serveRest(w, r)
		return
	}
	if r.Method != http.MethodConnect || !h.deps.IsServer(r.Host) {
		http.Error(w, "only known backend servers are connected to", http.StatusForbidden)
		return
	}
	if left := h.deps.RestLeft(r.Host); left > 0 {
		w.Header().Set(headerRest, strconv.FormatInt(int64(left), 10))
		http.Error(w, "the backend server rests", http.StatusServiceUnavailable)
		return
	}
	if !h.reserve() {
		http.Error(w, "no connection is relayed", http.StatusServiceUnavailable)
		return
	}
	t, err := h.open(w, r)
	h.register(t)
	if err != nil {
		h.deps.Telemetry.Counter("tunnels.failed").Inc(1)
		h.deps.Telemetry.Log.Debug("tunnel not opened", "server", r.Host, "from", r.RemoteAddr, "error", err)
		return
	}
	defer h.remove(t)
	h.deps.Telemetry.Counter("tunnels.opened").Inc(1)
	t.run()
}

// reserve reports whether another tunnel may be opened, and counts it.
func (h *Handler) reserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining || h.deps.IsCutOff() || len(h.tunnels)+h.opening >= MaxTunnels {
		return false
	}
	h.opening++
	return true
}

// register replaces a reservation by an open tunnel; nil if it could not be opened.
func (h *Handler) register(t *tunnel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.opening--
	if t == nil {
		return
	}
	h.tunnels[t] = true
	if h.draining {
		t.announceDraining()
	}
}

func (h *Handler) remove(t *tunnel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.tunnels, t)
}

// open connects to the server and takes the connection of the other instance over from net/http.
func (h *Handler) open(w http.ResponseWriter, r *http.Request) (*tunnel, error) {
	ctx, cancel := context.WithTimeout(r.Context(), connectTimeout.Duration())
	defer cancel()
	server, err := h.deps.Dial(ctx, r.Host)
	if err != nil {
		h.writeFailure(w, r, err)
		return nil, err
	}
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		return nil, err
	}
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: peerTimeout, Interval: peerTimeout / peerProbes, Count: peerProbes}
	if prober, ok := peer.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		err = prober.SetKeepAliveConfig(keepAlive)
	}
	t := &tunnel{address: r.Host, server: detector.NewConn(server), peer: peer, fromPeer: buffered.Reader}
	if err := errors.Join(err, peer.SetDeadline(time.Time{}), t.accept()); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// writeFailure tells the other instance that the server is out of reach, or that this instance cannot say so.
func (h *Handler) writeFailure(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusServiceUnavailable
	if h.deps.ReachesAnother(r.Context(), r.Host) {
		status = http.StatusBadGateway
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		w.Header().Set(headerFailure, failureRefused)
	}
	http.Error(w, err.Error(), status)
}

// Drain refuses new tunnels and waits until the open ones have ended or the context ends, then closes them.
func (h *Handler) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	for t := range h.tunnels {
		t.announceDraining()
	}
	h.mu.Unlock()
	for h.Open() > 0 && h.deps.Telemetry.Clock.Sleep(ctx, drainPollInterval) == nil {
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for t := range h.tunnels {
		t.close()
	}
}

// Open returns the number of open tunnels.
func (h *Handler) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.tunnels) + h.opening
}

// tunnel copies bytes between the connection to a server and that to another instance.
type tunnel struct {
	// address is that of the server.
	address string
	server  *detector.Conn
	peer    net.Conn
	// fromPeer reads from peer and what net/http had read ahead.
	fromPeer io.Reader
	// mu keeps frames apart.
	mu sync.Mutex
}

// accept tells the other instance that the connection to the server is open.
func (t *tunnel) accept() error {
	_, err := io.WriteString(t.peer, "HTTP/1.1 200 OK\r\n\r\n")
	return err
}

func (t *tunnel) close() {
	_ = t.server.Close()
	_ = t.peer.Close()
}

// announceDraining tells the other instance to send no further request through the tunnel. A peer that reads nothing must
// not delay the stop.
func (t *tunnel) announceDraining() {
	go t.runDrainingNotice()
}

func (t *tunnel) runDrainingNotice() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if writeFrame(t.peer, frameDraining) != nil {
		t.close()
	}
}

// run copies until either connection ends.
func (t *tunnel) run() {
	defer t.close()
	go t.runUpstream()
	t.runDownstream()
}

// runUpstream copies to the server. The other instance closes its connection to end an exchange, which must end the
// server's work at once.
func (t *tunnel) runUpstream() {
	_, _ = io.Copy(t.server, t.fromPeer)
	if t.server.WriteError() == nil {
		t.close()
	}
	// Otherwise the server may have answered before its connection ended.
}

// runDownstream copies what the server sends, in frames.
func (t *tunnel) runDownstream() {
	b := make([]byte, frameHeaderBytes+maxFrameData)
	for {
		n, err := t.server.Read(b[frameHeaderBytes:])
		if n > 0 {
			putHeader(b, frameData, n)
			if t.write(b[:frameHeaderBytes+n]) != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			// This instance has ended the tunnel, which says nothing of the server.
			return
		}
		last := frameReset
		if err == io.EOF {
			last = frameEnd
		}
		putHeader(b, last, 0)
		_ = t.write(b[:frameHeaderBytes])
		return
	}
}

func (t *tunnel) write(frame []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.peer.Write(frame)
	return err
}
