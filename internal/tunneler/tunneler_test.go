package tunneler

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// listen starts a server that handles each connection with serve.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// startGateway starts a handler that connects to the given server only.
func startGateway(t *testing.T, server string) (*Handler, string) {
	t.Helper()
	h := NewHandler(HandlerDeps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), RestLeft: func(string) timer.Millis { return 0 }, Dial: dialTCP,
		IsServer: func(address string) bool { return address == server }, IsCutOff: func() bool { return false },
		ReachesAnother: func(context.Context, string) bool { return true }})
	gateway := httptest.NewServer(h)
	t.Cleanup(gateway.Close)
	return h, gateway.Listener.Addr().String()
}

// Guards against a broken connection, on either side of the instance that relays it, that looks like the regular end of an
// answer.
func TestEndOfTunnel(t *testing.T) {
	const text = "an answer that ends with its connection"
	tests := map[string]struct {
		end  func(server net.Conn, h *Handler)
		want error
	}{
		"the server closes":         {func(server net.Conn, _ *Handler) { _ = server.Close() }, io.EOF},
		"the server resets":         {func(server net.Conn, _ *Handler) { reset(server) }, errServerReset},
		"the instance goes down":    {func(_ net.Conn, h *Handler) { closePeers(h) }, ErrCut},
		"the instance is shut down": {func(_ net.Conn, h *Handler) { drainAtOnce(h) }, ErrCut},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h *Handler
			read := make(chan struct{})
			server := listen(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, text)
				<-read
				tt.end(conn, h)
			})
			h, gateway := startGateway(t, server)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c, err := Dial(ctx, dialTCP, gateway, server)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			got := make([]byte, len(text))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
				t.Fatalf("got %q, %v", got, err)
			}
			close(read)
			if _, err := c.Read(got); !errors.Is(err, tt.want) || tt.want != io.EOF && errors.Is(err, io.EOF) {
				t.Fatalf("the tunnel ended with %v, want %v", err, tt.want)
			}
			if !c.IsExpired() && tt.want != ErrCut {
				t.Fatal("the connection could be used again")
			}
		})
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// closePeers closes the connections to the other instances, as the death of the process would.
func closePeers(h *Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for t := range h.tunnels {
		_ = t.peer.Close()
	}
}

func drainAtOnce(h *Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.Drain(ctx)
}

// Guards against an instance that connects to any address, hides why it does not reach a server, or takes tunnels that it
// Load: a server that answers a long upload at once and ends its connection in the middle of it, again and again. Guards against a reset
// that the writer of the upload is told of alone, so that the answer seems to end regularly.
func TestEndOfTunnelDuringAnUpload(t *testing.T) {
	const text, rounds = "an answer that ends with its connection", 40
	tests := map[string]struct {
		end  func(server net.Conn)
		want error
	}{
		"the server resets": {func(server net.Conn) { reset(server) }, errServerReset},
		"the server closes": {func(server net.Conn) {
			_ = server.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, server)
		}, io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := listen(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				_, _ = io.ReadFull(conn, make([]byte, 1<<10))
				_, _ = io.WriteString(conn, text)
				time.Sleep(20 * time.Millisecond)
				tt.end(conn)
			})
			_, gateway := startGateway(t, server)
			for range rounds {
				c, err := Dial(t.Context(), dialTCP, gateway, server)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = c.Write(make([]byte, 4<<20)) }()
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				got, err := io.ReadAll(c)
				_ = c.Close()
				if err == nil {
					err = io.EOF
				}
				if string(got) != text || !errors.Is(err, tt.want) {
					t.Fatalf("got %q, %v, want %v", got, err, tt.want)
				}
			}
		})
	}
}

// cannot serve.
func TestGatewayRefusals(t *testing.T) {
	down, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := down.Addr().String()
	_ = down.Close()
	tests := map[string]struct {
		address string
		prepare func(h *Handler)
		want    error
	}{
		"unknown address":    {"127.0.0.1:1", func(*Handler) {}, ErrUnwilling},
		"server is down":     {server, func(*Handler) {}, ErrRefused},
		"server is dark":     {server, func(h *Handler) { h.deps.Dial = dialNever }, ErrUnreachable},
		"reaches no other":   {server, func(h *Handler) { h.deps.ReachesAnother = func(context.Context, string) bool { return false } }, ErrUnwilling},
		"cut off itself":     {server, func(h *Handler) { h.deps.IsCutOff = func() bool { return true } }, ErrUnwilling},
		"stops":              {server, drainAtOnce, ErrUnwilling},
		"too many tunnels":   {server, func(h *Handler) { h.opening = MaxTunnels }, ErrUnwilling},
		"header with spaces": {"127.0.0.1:1 x", func(*Handler) {}, ErrUnwilling},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, gateway := startGateway(t, server)
			tt.prepare(h)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if c, err := Dial(ctx, dialTCP, gateway, tt.address); !errors.Is(err, tt.want) {
				t.Fatalf("got %v, %v, want %v", c, err, tt.want)
			}
		})
	}
}

func dialNever(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against reads that time out and lose a part of what the server sends: responses are read in steps with deadlines.
func TestReadGoesOnAfterTimeout(t *testing.T) {
	server := listen(t, func(conn net.Conn) {
		for _, part := range strings.Split("a slow answer", "") {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, part)
		}
		_ = conn.Close()
	})
	_, gateway := startGateway(t, server)
	c, err := Dial(context.Background(), dialTCP, gateway, server)
	if err != nil {
		t.Fatal(err)
	}
	var got []byte
	b := make([]byte, 16)
	for {
		if err := c.SetReadDeadline(time.Now().Add(2 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Read(b)
		got = append(got, b[:n]...)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		if err != nil {
			if err != io.EOF || string(got) != "a slow answer" {
				t.Fatalf("got %q, %v", got, err)
			}
			return
		}
	}
}

// Guards against a server that goes on working for an instance that has closed its end of the tunnel.
func TestCloseReachesTheServer(t *testing.T) {
	ended := make(chan struct{})
	server := listen(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	h, gateway := startGateway(t, server)
	c, err := Dial(context.Background(), dialTCP, gateway, server)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server's connection is still open")
	}
	for deadline := time.Now().Add(2 * time.Second); h.Open() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the tunnel is still counted")
		}
	}
}

// Guards against requests on tunnels of an instance that stops.
func TestTunnelExpiresWhenTheGatewayStops(t *testing.T) {
	server := listen(t, func(conn net.Conn) {
		_, _ = io.Copy(conn, conn)
	})
	h, gateway := startGateway(t, server)
	c, err := Dial(context.Background(), dialTCP, gateway, server)
	if err != nil {
		t.Fatal(err)
	}
	if c.IsExpired() {
		t.Fatal("a new tunnel is expired")
	}
	drained := make(chan struct{})
	go func() {
		h.Drain(context.Background())
		close(drained)
	}()
	time.Sleep(20 * time.Millisecond)
	// What is in flight still arrives.
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil || !c.IsExpired() {
		t.Fatalf("got %v, expired %t, want an expired tunnel that still works", err, c.IsExpired())
	}
	_ = c.Close()
	<-drained
}
