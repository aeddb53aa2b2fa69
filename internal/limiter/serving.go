package limiter

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
)

// retrySeconds is when a caller may try again that was refused for want of memory.
const retrySeconds = 1

// Attach lets a server tell its connections what it does with them; it must accept them from a Listener. The handler and the hooks of
// the server must be set before.
func Attach(server *http.Server) {
	server.ConnContext = WithConn
	server.Handler = openRequests(server.Handler)
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := plainConn(conn).(*Conn); ok {
			c.recordState(state)
		}
		if next != nil {
			next(conn, state)
		}
	}
}

// WithHandshakes returns a configuration of a server that tells its connections when their handshakes begin.
func WithHandshakes(cfg *tls.Config) *tls.Config {
	watched := cfg.Clone()
	watched.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		if c, ok := hello.Conn.(*Conn); ok {
			c.greet()
		}
		if cfg.GetConfigForClient != nil {
			return cfg.GetConfigForClient(hello)
		}
		return nil, nil
	}
	return watched
}

// openRequests returns a handler that takes what the head of a request holds before it is served.
func openRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if err := c.open(headCost(r.Header), r.ContentLength); err != nil {
			Refuse(w, err)
			return
		}
		if c.retiring.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength == 0 {
			Serving(r.Context())
		}
		defer c.serving.Store(false)
		h.ServeHTTP(w, r)
	})
}

// Refuse answers a request that was not read because of ErrExhausted, and aborts any other.
func Refuse(w http.ResponseWriter, err error) {
	if !errors.Is(err, ErrExhausted) {
		// The caller has left, or had to give way.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(retrySeconds))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

type connKey struct{}

// plainConn returns the connection below the encryption.
func plainConn(conn net.Conn) net.Conn {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return encrypted.NetConn()
	}
	return conn
}

// WithConn returns a context that holds a caller's connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	plain := plainConn(conn)
	if c, ok := plain.(*Conn); ok && plain != conn {
		c.isEncrypted.Store(true)
	}
	return context.WithValue(ctx, connKey{}, plain)
}

// Serving records that the request of a context was read completely and is served until done is called, or its handler returns.
func Serving(ctx context.Context) (done func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok || !c.serving.CompareAndSwap(false, true) {
		return func() {}
	}
	c.served.Add(1)
	if c.lease != nil {
		// One that was evicted notices when it writes.
		_ = c.lease.Complete()
	}
	return func() { c.serving.Store(false) }
}

// CloseConn closes the connection that the request of a context came on.
func CloseConn(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = c.Close()
	}
}
