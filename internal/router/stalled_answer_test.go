package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/retrier"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// answerPieces are the two halves of an answer by kind; a server that pauses does so between them.
var answerPieces = map[string][2]string{
	"chat": {`{"choices":[{"index":0,"message":{"role":"assistant",`,
		`"content":"x"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`},
	"stream": {"id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n",
		"id: 2\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"},
	"service": {"begin", "-end"},
}

// startPausingServer starts a backend server that pauses between the halves of its answer; a resumed stream gets the second half at
// once. It counts the requests and the answers that were completed.
func startPausingServer(t *testing.T, kind string, pause time.Duration, requests *atomic.Int32) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if kind == "stream" {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		halves := answerPieces[kind]
		if r.Header.Get(dispatcher.HeaderLastEventID) == "" {
			if _, err := io.WriteString(w, halves[0]); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, halves[1])
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newStalledRequest returns a request of the kind that lasts at most limit.
func newStalledRequest(e *testEnv, kind string, limit timer.Millis) *receiver.Request {
	now := e.clock.Now()
	r := &receiver.Request{ID: "r", Environment: "e", Workspace: e.doc.Workspaces[0], Kind: receiver.KindChat, Method: http.MethodPost,
		Path: "/v1/chat/completions", Body: []byte(`{"model":"m","messages":[]}`), Model: testModel, Idempotent: true, Stream: kind == "stream",
		ReceivedAt: now, Deadline: now + limit}
	if kind == "service" {
		r.Kind, r.Method, r.Path, r.Body, r.Model, r.Service = receiver.KindService, http.MethodGet, "/s/x", nil, "", "s"
	}
	return r
}

// stalledCase is a fleet in which the first server of a request pauses.
type stalledCase struct {
	// others is the number of other servers, of which the reports say how many requests of other instances they run.
	others, running int
	budget          *retrier.Budget
	isSpent         bool
	// othersFail makes the other servers fail just before.
	othersFail bool
	leaves     bool
}

// startServers starts the servers of the fleet, the one that pauses first, which count their requests.
func (tt stalledCase) startServers(t *testing.T, e *testEnv, kind string, pause time.Duration, first, later *atomic.Int32) []registrar.BackendServer {
	t.Helper()
	var rows []registrar.BackendServer
	for i := range 1 + tt.others {
		requests, duration, running := first, pause, 0
		if i > 0 {
			requests, duration, running = later, 0, tt.running
		}
		row := registrar.BackendServer{
			Announcement: registrar.Announcement{Name: fmt.Sprint("i-", i), Kind: registrar.KindEngine, EngineNames: []string{"e-cheap"},
				Capacity: 4, Address: startPausingServer(t, kind, duration, requests)},
			State: registrar.StateServing, Traffic: &registrar.Traffic{}, LastSeen: e.clock.Now(),
		}
		row.Load.Running = running
		for range 10 {
			if i > 0 && tt.othersFail {
				row.Traffic.RecordFailure(e.clock.Now())
			}
		}
		if kind == "service" {
			row.Kind, row.EngineNames, row.Service = registrar.KindService, nil, "s"
		}
		rows = append(rows, row)
	}
	return rows
}

// play sends one request of the kind and checks its answer, and whether it has left the server that pauses.
func (tt stalledCase) play(t *testing.T, kind string) {
	t.Helper()
	const stall, pause, limit = 100 * timer.Millisecond, 2 * time.Second, 20 * timer.Second
	e := newTestEnv(t, 1<<30)
	e.doc.Services = []parser.Service{{Name: "s", Timeout: limit}}
	for tt.isSpent && tt.budget.TryRetry() {
		continue
	}
	var first, later atomic.Int32
	rows := tt.startServers(t, e, kind, pause, &first, &later)
	// The first attempt goes to the server that pauses; the others appear right after it.
	views := 0
	e.router.deps.View = func(string) *indexer.View {
		views++
		if first.Load() == 0 {
			return indexer.NewView(int64(views), e.doc, rows[:1:1], 0)
		}
		// The servers go on to report their load.
		reported := slices.Clone(rows)
		for i := range reported {
			reported[i].LastSeen = e.clock.Now()
		}
		return indexer.NewView(int64(views), e.doc, reported, 0)
	}
	d := dispatcher.NewDispatcher(stall)
	defer d.Close()
	e.router.deps.Send, e.router.deps.RetryBudget = d.Send, tt.budget
	rec := httptest.NewRecorder()
	if err := e.router.Serve(context.Background(), newStalledRequest(e, kind, limit), receiver.NewReply(rec, timer.Second)); err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	isWhole := strings.Contains(rec.Body.String(), "x")
	if kind == "service" {
		isWhole = rec.Body.String() == answerPieces[kind][0]+answerPieces[kind][1]
	}
	if !isWhole {
		t.Errorf("got the answer %q", rec.Body)
	}
	if left := later.Load() > 0; left != tt.leaves || first.Load() != 1 || later.Load() > 1 {
		t.Errorf("%d requests at the first server, %d at others; want another one: %t", first.Load(), later.Load(), tt.leaves)
	}
	for i := range rows {
		if n := rows[i].Traffic.InFlight.Load(); n != 0 {
			t.Errorf("server %d has %d requests in flight at the end", i, n)
		}
	}
}

// Guards against a working answer that is lost for its silence because it was left before another server had taken the request.
func TestSilentAnswerIsLeftOnlyForAPlaceElsewhere(t *testing.T) {
	tests := map[string]stalledCase{
		"no other server":               {0, 0, retrier.NewBudget(1), false, false, false},
		"the other server is full":      {1, 4, retrier.NewBudget(1), false, false, false},
		"the retry budget is spent":     {1, 0, retrier.NewBudget(0), true, false, false},
		"the other server fails":        {1, 0, retrier.NewBudget(1), false, true, false},
		"the other server has room":     {1, 0, retrier.NewBudget(1), false, false, true},
		"one of two servers has room":   {2, 0, retrier.NewBudget(1), false, false, true},
		"room is there, few were spent": {1, 3, retrier.NewBudget(0), false, false, true},
	}
	for name, tt := range tests {
		for kind := range answerPieces {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				tt.play(t, kind)
			})
		}
	}
}
