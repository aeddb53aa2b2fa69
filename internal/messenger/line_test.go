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

// pipes is a listener whose connections are pipes.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// The pattern: all machines lose power; an entry instance is back before the control instances, whose machines do not
// answer yet, so that its opening packets get lost.
func TestALineIsMadeSoonAfterADarkMachineIsBack(t *testing.T) {
	ends := Ends{
		Common: observer.NewQuiet(timer.NewClock()), Greet: func() Greeting { return Greeting{Instance: "n"} },
		Opened: func(*Line) {}, Closed: func(*Line) {}, Take: func(*Line, Packet) {},
	}
	p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: ends}
	go func() { _ = server.Serve(p) }()
	t.Cleanup(func() { _ = server.Close() })

	var back atomic.Bool
	opened := make(chan time.Time, 1)
	ends.Opened = func(*Line) { opened <- time.Now() }
	ends.Connect = func(ctx context.Context, _, _ string) (net.Conn, error) {
		if !back.Load() {
			// The packet is lost; the next one of the same attempt would come a second later.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		p.conns <- far
		return near, nil
	}
	d := NewDialer(ends)
	t.Cleanup(func() { _ = d.Stop() })
	d.Keep([]string{"control:1"})
	time.Sleep(20 * time.Millisecond)
	back.Store(true)
	start := time.Now()
	select {
	case at := <-opened:
		if took := at.Sub(start); took > 500*time.Millisecond {
			t.Fatalf("the line was made %s after the machine was back", took)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no line was made")
	}
}
