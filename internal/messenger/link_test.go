package messenger

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// pipeListener is a listener that accepts in-memory pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// All hosts lose power, and an entry instance is back before the control instances: its SYN packets to hosts that are
// still down get lost. The dialer must not wait for their retransmission after 1 s.
func TestDialerConnectsSoonAfterUnreachableHostReturns(t *testing.T) {
	handler := LinkHandler{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()), NewGreeting: func() Greeting { return Greeting{Instance: "n"} },
		OnOpen: func(*Link) {}, OnClose: func(*Link) {}, OnPacket: func(*Link, Packet) {},
	}
	p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(p) }()
	t.Cleanup(func() { _ = server.Close() })

	var hostUp atomic.Bool
	opened := make(chan time.Time, 1)
	handler.OnOpen = func(*Link) { opened <- time.Now() }
	handler.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		if !hostUp.Load() {
			// The SYN is lost; the same attempt would send the next one 1 s later.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		clientEnd, serverEnd := net.Pipe()
		p.conns <- serverEnd
		return clientEnd, nil
	}
	d := NewDialer(handler)
	t.Cleanup(func() { _ = d.Stop() })
	d.SetAddresses([]string{"control:1"})
	time.Sleep(20 * time.Millisecond)
	hostUp.Store(true)
	start := time.Now()
	select {
	case openedAt := <-opened:
		if elapsed := openedAt.Sub(start); elapsed > 500*time.Millisecond {
			t.Fatalf("the link was opened %s after the host was back, want at most 500ms", elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no link was opened within 5s")
	}
}
