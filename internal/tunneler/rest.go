package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// headerRest carries for how long a server asked to be left alone, in milliseconds.
	headerRest = "Tunnel-Rest-Ms"
	// maxRest bounds what another instance may claim that a server asked for.
	maxRest = 10 * timer.Minute
	// reportTimeout bounds a report to a relaying instance.
	reportTimeout = 300 * timer.Millisecond
)

// RestingError is the error of an instance that relays no connection to a server which has asked its machine for a rest.
type RestingError struct {
	Left timer.Millis
}

// Error returns the time that is left.
func (e *RestingError) Error() string {
	return fmt.Sprintf("the server rests for %v at the relaying instance", e.Left)
}

// parseRest parses headerRest; it returns 0 if there is none, or an invalid one.
func parseRest(h http.Header) timer.Millis {
	n, err := strconv.ParseInt(h.Get(headerRest), 10, 64)
	if err != nil || n <= 0 {
		return 0
	}
	return min(timer.Millis(n), maxRest)
}

// ReportRest tells a relaying instance that a server behind it has asked to be left alone: the server means the machine that its
// connections come from.
func ReportRest(ctx context.Context, dial func(context.Context, string) (net.Conn, error), relay, address string, rest timer.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	conn, err := dial(ctx, relay)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(reportTimeout.Duration())); err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+relay+"/rests/"+address, nil)
	if err != nil {
		return err
	}
	r.Header.Set(headerRest, strconv.FormatInt(int64(rest), 10))
	if err := r.Write(conn); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("relay %s: status %d", relay, res.StatusCode)
	}
	return res.Body.Close()
}

// restPath is the path prefix of reports, which the address of the server follows.
const restPath = "/rests/"

// serveRest handles a report.
func (h *Handler) serveRest(w http.ResponseWriter, r *http.Request) {
	address, rest := r.URL.Path[len(restPath):], parseRest(r.Header)
	if _, err := netip.ParseAddrPort(address); err != nil || rest == 0 || !h.deps.IsServer(address) {
		http.Error(w, "no known backend server, or no time", http.StatusBadRequest)
		return
	}
	h.deps.OnRest(address, rest)
	w.WriteHeader(http.StatusNoContent)
}

// DrainServer tells the other instances to send no further request to a server through the open tunnels.
func (h *Handler) DrainServer(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for t := range h.tunnels {
		if t.address == address {
			t.announceDraining()
		}
	}
}
