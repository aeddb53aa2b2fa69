package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// pausingPolicy is a document with one route of streams that may be resumed; the second figure is its time limit.
const pausingPolicy = `{"version":%d,"routes":[
{"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":%d,"target_latency_ms":1000,"gap_target_ms":300,"priority":0,"service":"desk","max_attempts":3,"auth_exempt":true,"resumable":true}],
"services":[{"name":"desk","health_path":"/health","max_conns":1000}],"limits":{"max_body_bytes":1000},"tenants":[]}`

// pausingServer streams pausingEvents events with a pause in each new stream, and refuses what exceeds its slots.
type pausingServer struct {
	slots, running atomic.Int64
	pause          time.Duration
}

const pausingEvents = 6

func (s *pausingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	defer s.running.Add(-1)
	if s.running.Add(1) > s.slots.Load() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	isNew := err != nil
	for n := last + 1; n <= pausingEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		wait := 20 * time.Millisecond
		if isNew && n == 2 {
			wait = s.pause
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
}

// Guards against streams of sound servers that are cut around changes of the document, while the servers pause and are nearly full.
func TestNewDocumentsCutNoStreamsOfPausingServers(t *testing.T) {
	const (
		servers, entries = 4, 2
		load             = 6 * time.Second
	)
	d := newDeployment(t)
	defer d.stop()
	document := func(version int) string { return fmt.Sprintf(pausingPolicy, version, 15000+version) }
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", document(3))
	for i := range servers {
		s := &pausingServer{pause: 1200 * time.Millisecond}
		s.slots.Store(6)
		backend := httptest.NewServer(s)
		defer backend.Close()
		defer d.announceSlots(fmt.Sprint("i-", i), backend.Listener.Addr().String(), "a", 6)()
	}
	var addrs []string
	for n := range entries {
		ports, err := reserver.ReservePorts(2)
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", ports[0]))
		e := d.startEntry(fmt.Sprint("p", n+1), addrs[n], fmt.Sprintf("127.0.0.1:%d", ports[1]))
		defer func() { _ = e.Stop() }()
		d.waitForStatus(http.StatusOK, http.MethodPost, "http://"+addrs[n]+"/stream/x", "")
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	var counts [streamCut + 1]atomic.Int64
	for n := range 10 * entries {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				counts[readStream(addrs[n%entries], fmt.Sprintf("id-%d-%d", n, i))].Add(1)
			}
		})
	}
	changesEnd := time.Now().Add(load)
	for version := 4; time.Now().Before(changesEnd); version++ {
		d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[version%3]+"/config", document(version))
		time.Sleep(400 * time.Millisecond)
	}
	close(done)
	wg.Wait()
	whole, refused, cut := counts[streamWhole].Load(), counts[streamRefused].Load(), counts[streamCut].Load()
	t.Logf("streams: %d whole, %d refused, %d cut", whole, refused, cut)
	if cut > 0 || whole == 0 {
		t.Errorf("%d streams were cut, %d were whole", cut, whole)
	}
}

// streamOutcome is how a stream ended for its caller.
type streamOutcome uint8

const (
	streamWhole streamOutcome = iota
	streamRefused
	streamCut
)

// readStream reads one stream to its end.
func readStream(addr, id string) streamOutcome {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/stream/x", strings.NewReader(""))
	if err != nil {
		return streamCut
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", id)
	res, err := (&http.Client{Timeout: 20 * time.Second}).Do(r)
	if err != nil {
		return streamCut
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	switch {
	case res.StatusCode != http.StatusOK:
		return streamRefused
	case err != nil || strings.Count(string(text), "data: piece") != pausingEvents:
		return streamCut
	}
	return streamWhole
}
