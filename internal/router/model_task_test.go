package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pinner"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/retrier"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// testEnv is a router with two versions of one model, each on one server, without a network.
type testEnv struct {
	router *Router
	doc    *parser.Document
	clock  timer.Clock
	// views counts the reads of the view; the cheap version is withdrawn from read withdrawnAt on.
	views, withdrawnAt int
	sentTo             []string
	// sentToWithdrawn is true if a server got the request after a read of the view had shown its version as withdrawn.
	sentToWithdrawn bool
}

const testModel = "m"

func newTestEnv(t *testing.T, withdrawnAt int) *testEnv {
	t.Helper()
	version := func(name string, price float64) parser.Version {
		return parser.Version{Name: name, Model: testModel, EngineName: "e-" + name, OutputPrice: price, Quality: decoder.Share(0.9), WhenWithdrawn: "move"}
	}
	e := &testEnv{withdrawnAt: withdrawnAt, clock: timer.NewSystemClock(), doc: &parser.Document{
		Environment: parser.Environment{Name: "e", QualityTarget: 0.8},
		Models:      []parser.Model{{Name: testModel, Cascade: []string{"cheap", "costly"}}},
		Versions:    []parser.Version{version("cheap", 1), version("costly", 9)},
		Workspaces:  []parser.Workspace{{Name: "w", Models: []string{testModel}, MaxInFlight: 4, MaxWaiting: 4, Weight: 1}},
	}}
	telemetry := observer.NewDiscard(e.clock)
	pins, err := pinner.NewPinner([]byte("a secret for tests, long enough."))
	if err != nil {
		t.Fatal(err)
	}
	explanations, err := explainer.NewExplainer(e.clock.Now, 10)
	if err != nil {
		t.Fatal(err)
	}
	quarantine, err := quarantiner.NewQuarantine()
	if err != nil {
		t.Fatal(err)
	}
	e.router = NewRouter(Deps{
		Telemetry: telemetry, View: e.view, Admitter: admitter.NewAdmitter(telemetry, admitter.Limits{MaxInFlight: 4, MaxWait: timer.Second}),
		Selector: selector.NewSelector(selector.Deps{Telemetry: telemetry, Pins: pins, EstimateQuality: selector.PriorQuality,
			ShouldExplore: func() bool { return false }, IsHalted: func(string) bool { return false }}),
		Placer: placer.NewPlacer(placer.Deps{Now: e.clock.Now}), Send: e.send, Biller: biller.NewBiller(nil), RetryBudget: retrier.NewBudget(1),
		Explainer: explanations, OnAnswer: func(*receiver.Request, selector.Selection) {}, OnFault: func(*receiver.Request, selector.Selection) {},
		Quarantine: quarantine, RefusesConnection: func(string) bool { return false },
		Limits: Limits{MaxAttempts: 3, MaxEventBytes: 1 << 16, MaxAnswerBytes: 1 << 20},
	})
	return e
}

func (e *testEnv) view(string) *indexer.View {
	e.views++
	doc := *e.doc
	if e.views >= e.withdrawnAt {
		doc.Versions = slices.Clone(doc.Versions)
		doc.Versions[0].Withdrawn = true
	}
	var rows []registrar.BackendServer
	for _, v := range doc.Versions {
		rows = append(rows, registrar.BackendServer{
			Announcement: registrar.Announcement{Name: v.Name, Kind: registrar.KindEngine, EngineNames: []string{v.EngineName}, Capacity: 4, Address: v.Name},
			State:        registrar.StateServing, Traffic: &registrar.Traffic{},
		})
	}
	return indexer.NewView(int64(e.views), &doc, rows, 0)
}

func (e *testEnv) send(_ context.Context, c dispatcher.Call) (*dispatcher.Response, error) {
	e.sentTo = append(e.sentTo, c.Address)
	e.sentToWithdrawn = e.sentToWithdrawn || c.Address == "cheap" && e.views >= e.withdrawnAt
	body := `{"choices":[{"index":0,"message":{"role":"assistant","content":"x"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`
	return &dispatcher.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// A version is withdrawn between any two steps of a request: the request must go to the other version, and the withdrawn
// one must get nothing after its withdrawal.
func TestVersionWithdrawnDuringRequestIsReplaced(t *testing.T) {
	const viewReads = 8
	for withdrawnAt := 1; withdrawnAt <= viewReads; withdrawnAt++ {
		t.Run(fmt.Sprintf("at view %d", withdrawnAt), func(t *testing.T) {
			e := newTestEnv(t, withdrawnAt)
			now := e.clock.Now()
			req := &receiver.Request{ID: "r", Environment: "e", Workspace: e.doc.Workspaces[0], Kind: receiver.KindChat, Method: http.MethodPost,
				Path: "/v1/chat/completions", Body: []byte(`{"model":"m","messages":[]}`), Model: testModel, Idempotent: true,
				ReceivedAt: now, Deadline: now + 5*timer.Second}
			rec := httptest.NewRecorder()
			if err := e.router.Serve(context.Background(), req, receiver.NewReply(rec, timer.Second)); err != nil {
				t.Fatalf("got %v (%v), want an answer", err, errors.Unwrap(err))
			}
			if len(e.sentTo) != 1 || e.sentToWithdrawn {
				t.Fatalf("sent to %v, to a withdrawn version: %t", e.sentTo, e.sentToWithdrawn)
			}
		})
	}
}
