package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// faultyServers is the number of the six model servers that break streams off, one in spoiledEvery.
	faultyServers = 3
	// streams is the number of streams that each caller asks for, events that of the events of each.
	streams = 150
	events  = 5
	// streamLimit is how long callers wait for a stream.
	streamLimit = 5 * time.Second
)

// continuations are the requests that a sound server went on with to their end.
type continuations struct {
	mu       sync.Mutex
	asked    int
	finished map[string]string
}

// isNextSpoiled counts the streams of the faulty servers, and reports whether this one is to be broken off.
func (l *continuations) isNextSpoiled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	return l.asked%spoiledEvery == 0
}

func (l *continuations) finish(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished[id] = server
}

// serveStream returns how a model server answers.
func (l *continuations) serveStream(f *fleet, isFaulty bool) func(*backend, net.Conn, *http.Request, []byte) bool {
	return func(b *backend, c net.Conn, r *http.Request, _ []byte) bool {
		id, last := r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id")
		f.record.note("runner %s: runs %s, last event %q", b.id, id, last)
		if isFaulty && last == "" && l.isNextSpoiled() {
			f.record.note("runner %s: breaks %s off behind its last event", b.id, id)
			b.breakBehindLastEvent(c, r)
			return false
		}
		if !b.stream(c, r, events, 30*time.Millisecond) {
			return false
		}
		if !isFaulty && last != "" {
			f.record.note("runner %s: has gone on with %s to its end", b.id, id)
			l.finish(id, b.id)
		}
		return true
	}
}

// breakBehindLastEvent writes all events of a stream, but not its end; the caller of it closes the connection.
func (b *backend) breakBehindLastEvent(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, b.head(r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
	for n := 1; n <= events; n++ {
		time.Sleep(30 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	time.Sleep(30 * time.Millisecond)
}

// playTail lets some model servers break some streams off between their last event and their end.
func playTail(f *fleet, trouble bool) (verdict, error) {
	if err := f.serveManifest(); err != nil {
		return verdict{}, err
	}
	list, err := workers(f, func(*backend, *http.Request) bool { return true })
	if err != nil {
		return verdict{}, err
	}
	l := &continuations{finished: map[string]string{}}
	for n, b := range list[:modelServers] {
		b.serve = l.serveStream(f, trouble && n < faultyServers)
	}
	c := &callers{f: f, kept: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 10}}
	if err := c.warmUp(); err != nil {
		return verdict{}, err
	}
	begin := time.Now()
	for _, m := range f.entries {
		for range 3 {
			c.wg.Go(func() {
				for range streams {
					header := consultHeader("5c1e07a2:512," + newID() + ":400")
					if a := c.send(m, http.MethodPost, "/consult/x", "prompt", streamLimit, header); a.err != nil {
						header["Last-Event-Id"] = fmt.Sprint(events)
						c.send(m, http.MethodPost, "/consult/again", "prompt", streamLimit, header)
					}
				}
			})
		}
	}
	c.wg.Wait()
	return l.judge(f, c.between(begin, time.Now())), nil
}

// judge counts the streams that a sound server has gone on with to the end and whose callers saw their connection close before it.
func (l *continuations) judge(f *fleet, list []attempt) verdict {
	asked, cut, again := 0, 0, 0
	for _, a := range list {
		if a.path == "/consult/again" {
			if a.status != http.StatusOK || a.err != nil {
				again++
			}
			continue
		}
		asked++
		if server := l.finished[a.id]; a.err != nil && server != "" {
			cut++
			f.record.note("LOST: %s at %s, which %s has answered to its end: %v", a.id, a.entry, server, a.err)
		}
	}
	return verdict{broken: cut > 3, text: fmt.Sprintf("of %d streams on kept connections, %d were passed on to a sound server, which answered to the "+
		"end, and their connection was closed without it; %d of their callers who then sent it again with their last event got no answer", asked, cut, again)}
}
