package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// headCallers is the size of the crowd, and headBytes the size of each head: as much as the manifest allows, but for the end.
	headCallers = 900
	headBytes   = 16000
	// entryMB is the memory of an entry machine on the grown sheet for Tazy Fit.
	entryMB = 184
)

// shortFields returns the start of a request whose head is legal in size, is made of very many short fields, and does not end.
func shortFields() string {
	var b strings.Builder
	b.WriteString("GET /lookup/x HTTP/1.1\r\nHost: h.example\r\n")
	for n := 0; b.Len() < headBytes; n++ {
		_, _ = fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return b.String()
}

// playHeads lets a crowd stop half-way within heads of many short fields at one entry instance.
func playHeads(f *fleet, trouble bool) (verdict, error) {
	if err := f.serveManifest(); err != nil {
		return verdict{}, err
	}
	if _, err := workers(f, func(*backend, *http.Request) bool { return true }); err != nil {
		return verdict{}, err
	}
	c := &callers{f: f}
	if err := c.warmUp(); err != nil {
		return verdict{}, err
	}
	target := f.entries[0]
	if trouble {
		text := shortFields()
		f.record.note("crowd: %d callers send %d bytes of a head and stop", headCallers, len(text))
		w := newCrowd(f.callersAt(target), headCallers, func(c net.Conn, stop <-chan struct{}) {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			ended := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, c)
				close(ended)
			}()
			select {
			case <-ended:
			case <-stop:
			}
		})
		defer w.end()
	}
	time.Sleep(15 * time.Second)
	key := map[string]string{"X-Key": apiKey}
	a := c.send(target, http.MethodGet, "/lookup/x", "", timeLimit, key)
	f.record.note("ordinary caller: %v", a)
	peak, err := peakMB(target)
	if err != nil {
		return verdict{}, err
	}
	text := fmt.Sprintf("the peak of the memory of %s was %d MB, its machine has %d", target.name, peak, entryMB)
	return verdict{broken: peak > entryMB, text: text}, nil
}

var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMB returns the peak of the resident memory of a process.
func peakMB(m *machine) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	line := peakLine.FindSubmatch(status)
	if line == nil {
		return 0, fmt.Errorf("no peak of the memory of %s", m.name)
	}
	kib, err := strconv.Atoi(string(line[1]))
	return kib >> 10, err
}
