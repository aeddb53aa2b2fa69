package replayer

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Line is one line of a trace; exactly one field is set.
type Line struct {
	Head    *Head    `json:"head,omitempty"`
	Server  *Server  `json:"server,omitempty"`
	Truth   *Truth   `json:"truth,omitempty"`
	Request *Request `json:"request,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Head holds the name of the trace and its environment document.
type Head struct {
	Name     string `json:"name"`
	Document string `json:"document"`
}

// Server is one engine of the trace.
type Server struct {
	Name        string   `json:"name"`
	DataCentre  string   `json:"data-centre"`
	EngineNames []string `json:"engine-names"`
	Capacity    int      `json:"capacity"`
	// FirstToken is the time to the first token for a cached prompt prefix, in milliseconds.
	FirstToken timer.Millis `json:"first-token"`
	// PrefillPerK is the time in milliseconds for 1,000 prompt tokens that are not cached.
	PrefillPerK timer.Millis `json:"prefill-per-k"`
	// TokenMicros is the time for each generated token without load, in microseconds.
	TokenMicros int64 `json:"token-us"`
}

// Truth is the true share of good answers of a version for a class of requests.
type Truth struct {
	Version string  `json:"version"`
	Class   string  `json:"class"`
	Quality float64 `json:"quality"`
}

// Request is one arrival; a version answers it well when its true quality is above Difficulty.
type Request struct {
	At           timer.Millis `json:"at"`
	ID           string       `json:"id"`
	DataCentre   string       `json:"data-centre"`
	Workspace    string       `json:"workspace"`
	Class        string       `json:"class"`
	Session      string       `json:"session,omitempty"`
	PromptTokens int          `json:"prompt-tokens"`
	Tokens       int          `json:"tokens"`
	Difficulty   float64      `json:"difficulty"`
}

// Fault is a fault or change at a server, at a version or in the document.
type Fault struct {
	At       timer.Millis `json:"at"`
	Kind     string       `json:"what"`
	Server   string       `json:"server,omitempty"`
	Version  string       `json:"version,omitempty"`
	Quality  float64      `json:"quality,omitempty"`
	Document string       `json:"document,omitempty"`
}

// Kinds of faults, the values of Fault.Kind.
const (
	FaultCrash    = "crash"
	FaultLeave    = "leave"
	FaultReturn   = "return"
	FaultQuality  = "quality"
	FaultDocument = "document"
)

// Trace is a complete trace.
type Trace struct {
	Head     Head
	Servers  []Server
	Truths   []Truth
	Requests []Request
	Faults   []Fault
}

const maxLineBytes = 1 << 20

// ReadTrace reads a trace of JSON lines; the error names the invalid line or the missing parts.
func ReadTrace(r io.Reader) (*Trace, error) {
	t := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		var l Line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, trace.BadParameter("line %d: %v", n, err)
		}
		if !t.add(l) {
			return nil, trace.BadParameter("line %d: none of head, server, truth, request and fault", n)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	if t.Head.Document == "" || len(t.Requests) == 0 || len(t.Servers) == 0 {
		return nil, trace.BadParameter("the trace needs a head with a document, servers and requests")
	}
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return int(a.At - b.At) })
	return t, nil
}

func (t *Trace) add(l Line) bool {
	switch {
	case l.Head != nil:
		t.Head = *l.Head
	case l.Server != nil:
		t.Servers = append(t.Servers, *l.Server)
	case l.Truth != nil:
		t.Truths = append(t.Truths, *l.Truth)
	case l.Request != nil:
		t.Requests = append(t.Requests, *l.Request)
	case l.Fault != nil:
		t.Faults = append(t.Faults, *l.Fault)
	default:
		return false
	}
	return true
}

// Write writes the trace as JSON lines; the error is that of w.
func (t *Trace) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	lines := []Line{{Head: &t.Head}}
	for i := range t.Servers {
		lines = append(lines, Line{Server: &t.Servers[i]})
	}
	for i := range t.Truths {
		lines = append(lines, Line{Truth: &t.Truths[i]})
	}
	for i := range t.Faults {
		lines = append(lines, Line{Fault: &t.Faults[i]})
	}
	for i := range t.Requests {
		lines = append(lines, Line{Request: &t.Requests[i]})
	}
	for _, l := range lines {
		if err := e.Encode(l); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
