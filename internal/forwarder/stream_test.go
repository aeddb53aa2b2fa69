package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func stream(resumable bool) matcher.Route {
	return matcher.Route{Kind: matcher.KindStream, Resumable: resumable, Sticky: true, GapTarget: 300, Target: timer.Second}
}

// resumer answers with events 1 to 4, from the one after the last that the caller has; the first answer breaks within
// the third event.
func resumer(broke *atomic.Bool) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		say(w, streamHead(r.Header.Get("Id"), ""))
		first := 1
		if last := r.Header.Get("Last"); last != "" {
			first = int(last[0]-'0') + 1
		}
		for n := first; n <= 4; n++ {
			if n == 3 && broke.CompareAndSwap(false, true) {
				say(w, chunk(event(n)[:5]))
				return false
			}
			say(w, chunk(event(n)))
		}
		return say(w, streamEnd)
	}
}

func TestAStreamGoesOnElsewhereWithoutASeam(t *testing.T) {
	var broke atomic.Bool
	w := newWorld(t, stream(true), map[string]*backend{"s1": {answer: resumer(&broke)}, "s2": {answer: resumer(&broke)}})
	rec, broken := w.serve(Request{TokensIn: 300})
	want := event(1) + event(2) + event(3) + event(4)
	if broken || rec.Body.String() != want {
		t.Fatalf("broken off %t, got %q, want %q", broken, rec.Body, want)
	}
}

func TestAStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	var broke atomic.Bool
	w := newWorld(t, stream(false), map[string]*backend{"s1": {answer: resumer(&broke)}, "s2": {answer: resumer(&broke)}})
	rec, broken := w.serve(Request{TokensIn: 300})
	if !broken || rec.Body.String() != event(1)+event(2) || w.total() != 1 {
		t.Fatalf("broken off %t after %q, %d requests sent", broken, rec.Body, w.total())
	}
}

func TestCascade(t *testing.T) {
	tests := map[string]struct {
		confidence string
		waiting    float64
		running    int64
		models     string
		last       string
	}{
		"a sure answer of the smallest model is taken":     {"80", 0, 0, "small", ""},
		"a doubtful answer is dropped for the largest":     {"10", 0, 0, "small large", ""},
		"a nearly sure one is dropped for the next larger": {"50", 0, 0, "small middle", ""},
		"a full queue makes doubt acceptable":              {"40", 800, 0, "small", ""},
		// The pattern: an instance stopped, and its callers go on with their streams at another one.
		"a stream that its caller resumes is asked like a fresh one": {"10", 0, 0, "small large", "3"},
		// The pattern: a pool lost servers, and streams crowd those that are left.
		"crowded servers make doubt acceptable": {"30", 0, testSlots - 1, "small", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answer := func(_ int, r *http.Request, w io.Writer) bool {
				confidence := "Confidence: 99\r\n"
				if r.Header.Get("Model") == "small" {
					confidence = "Confidence: " + tt.confidence + "\r\n"
				}
				return say(w, streamHead(r.Header.Get("Id"), confidence)) && say(w, chunk(event(1))) && say(w, streamEnd)
			}
			b := &backend{answer: answer}
			route := stream(true)
			route.Models = []string{"small", "middle", "large"}
			w := newWorld(t, route, map[string]*backend{"s1": b})
			w.f.known["s1"].work.hear([]float64{tt.waiting}, w.f.deps.Common.Clock.Now())
			w.f.known["s1"].running.Add(tt.running)
			if rec, broken := w.serve(Request{AnyModel: true, TokensIn: 300, LastEvent: tt.last}); broken || rec.Body.String() != event(1) {
				t.Fatalf("broken off %t, got %q", broken, rec.Body)
			}
			var models []string
			for _, r := range b.requests() {
				models = append(models, r.Header.Get("Model"))
			}
			if got := strings.Join(models, " "); got != tt.models {
				t.Fatalf("asked %q, want %q", got, tt.models)
			}
		})
	}
}

// The pattern: labels wait at one server whose more urgent prompts go before them, while another server is idle.
func TestALabelThatOthersOvertakeMovesToAnIdleServer(t *testing.T) {
	busy := &backend{}
	idle := &backend{answer: func(_ int, r *http.Request, w io.Writer) bool {
		return say(w, streamHead(r.Header.Get("Id"), "")) && say(w, chunk(event(1))) && say(w, streamEnd)
	}}
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	route := stream(true)
	route.Target = 400
	w := newWorld(t, route, map[string]*backend{"s1": busy, "s2": idle})
	busy.answer = func(int, *http.Request, io.Writer) bool {
		// The server answers others all the while, so it does not look dead.
		for range 40 {
			w.f.known["s1"].lastByte.Store(int64(w.f.deps.Common.Clock.Now()))
			select {
			case <-release:
				return false
			case <-time.After(50 * time.Millisecond):
			}
		}
		return false
	}
	w.f.known["s2"].work.hear([]float64{50}, w.f.deps.Common.Clock.Now())
	begun := time.Now()
	rec, broken := w.serve(Request{TokensIn: 300})
	if broken || rec.Body.String() != event(1) {
		t.Fatalf("broken off %t, got %q", broken, rec.Body)
	}
	if took := time.Since(begun); took > 1500*time.Millisecond {
		t.Fatalf("the label waited %s, its target is 400 ms", took)
	}
}

// The pattern: a prompt of tens of thousands of tokens goes to the large model, which reads it for most of the target.
func TestALongPromptIsNotMovedWhileItIsRead(t *testing.T) {
	const reading = 500 * time.Millisecond
	answer := func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(reading)
		return say(w, streamHead(r.Header.Get("Id"), "")) && say(w, chunk(event(1))) && say(w, streamEnd)
	}
	route := stream(true)
	route.Target = 400
	w := newWorld(t, route, map[string]*backend{"s1": {answer: answer}, "s2": {answer: answer}})
	w.f.paces.rows[""] = 0.01
	rec, broken := w.serve(Request{TokensIn: 30_000})
	if broken || rec.Body.String() != event(1) || w.total() != 1 {
		t.Fatalf("broken off %t, got %q, %d requests sent", broken, rec.Body, w.total())
	}
}

// The pattern: short prompts arrive while another instance has sent a long one to one of two servers.
func TestShortPromptsAvoidAServerThatReadsALongOne(t *testing.T) {
	answer := func(_ int, r *http.Request, w io.Writer) bool {
		return say(w, streamHead(r.Header.Get("Id"), "")) && say(w, chunk(event(1))) && say(w, streamEnd)
	}
	long, free := &backend{answer: answer}, &backend{answer: answer}
	w := newWorld(t, stream(true), map[string]*backend{"s1": long, "s2": free})
	for range 10 {
		w.f.known["s1"].work.hear([]float64{0, 0, 0, 600}, w.f.deps.Common.Clock.Now())
		w.serve(Request{TokensIn: 100})
	}
	if n := len(long.requests()); n > 0 {
		t.Fatalf("%d of 10 short prompts went to the server that reads a long one", n)
	}
}

func TestWholeEvents(t *testing.T) {
	tests := map[string]struct {
		text  string
		whole int
		id    string
	}{
		"nothing":         {"", 0, ""},
		"half an event":   {"id: 1\ndata: x\n", 0, ""},
		"one and a half":  {"id: 1\ndata: x\n\nid: 2\n", 15, "1"},
		"carriage return": {"id: 7\r\ndata: x\r\n\r\n", 18, "7"},
		"id within data":  {"id: 3\ndata: id: 9\n\n", 19, "3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := wholeEvents([]byte(tt.text))
			if n != tt.whole || lastEventID([]byte(tt.text[:n])) != tt.id {
				t.Fatalf("got %d and %q, want %d and %q", n, lastEventID([]byte(tt.text[:n])), tt.whole, tt.id)
			}
		})
	}
}

// The pattern: the longest prompts, which the large model reads for the whole target; their callers would rather wait.
func TestALongPromptIsAskedAgainThoughItWillBeLate(t *testing.T) {
	answer := func(_ int, r *http.Request, w io.Writer) bool {
		confidence := "Confidence: 99\r\n"
		if r.Header.Get("Model") == "small" {
			confidence = "Confidence: 12\r\n"
		}
		return say(w, streamHead(r.Header.Get("Id"), confidence)) && say(w, chunk(event(1))) && say(w, streamEnd)
	}
	b := &backend{answer: answer}
	route := stream(true)
	route.Models = []string{"small", "large"}
	w := newWorld(t, route, map[string]*backend{"s1": b})
	w.f.paces.rows["large"] = 0.05
	w.serve(Request{AnyModel: true, TokensIn: 20_000})
	if n := len(b.requests()); n != 2 || b.requests()[1].Header.Get("Model") != "large" {
		t.Fatalf("%d requests sent, want one to each model", n)
	}
}

// The pattern: a prompt waits behind those that other instances have sent to the same server, which serves nobody else here.
func TestAPromptBehindOthersIsNoSignOfADeadServer(t *testing.T) {
	answer := func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep((deadAfter + 200*timer.Millisecond).Duration())
		return say(w, streamHead(r.Header.Get("Id"), "")) && say(w, chunk(event(1))) && say(w, streamEnd)
	}
	w := newWorld(t, stream(true), map[string]*backend{"s1": {answer: answer}, "s2": {answer: answer}})
	for _, s := range w.f.known {
		s.work.hear([]float64{800}, w.f.deps.Common.Clock.Now())
	}
	rec, broken := w.serve(Request{TokensIn: 300})
	if broken || rec.Body.String() != event(1) || w.total() != 1 {
		t.Fatalf("broken off %t, got %q, %d requests sent", broken, rec.Body, w.total())
	}
}
