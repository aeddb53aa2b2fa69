package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	processCount     = 9
	faultRunDuration = 8 * time.Second
)

// processFleet is a fleet of nine serve processes, three in each data centre.
type processFleet struct {
	t                *testing.T
	binary           string
	folder           string
	callerAddresses  []string
	controlAddresses []string
	commands         []*exec.Cmd
}

func dataCentreOf(n int) string {
	return []string{"almaty-a", "astana-a", "shymkent-a"}[n%3]
}

func newProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	p := &processFleet{t: t, folder: t.TempDir(), commands: make([]*exec.Cmd, processCount)}
	p.binary = filepath.Join(p.folder, "eelgrasshook")
	if out, err := exec.Command("go", "build", "-o", p.binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	addresses, err := ReserveAddresses(2 * processCount)
	if err != nil {
		t.Fatal(err)
	}
	p.callerAddresses, p.controlAddresses = addresses[:processCount], addresses[processCount:]
	if err := os.WriteFile(filepath.Join(p.folder, "session.secret"), []byte(strings.Repeat("secret of the test ", 3)), 0o600); err != nil {
		t.Fatal(err)
	}
	for n := range processCount {
		p.writeSettings(n)
		p.start(n)
	}
	t.Cleanup(p.killAll)
	return p
}

func (p *processFleet) writeSettings(n int) {
	p.t.Helper()
	text := fmt.Sprintf("[instance]\nname = i%d\ndata-centre = %s\n[listen]\ncallers = %s\ncontrol = %s\n[peers]\nseeds = %s\nsilence = 2s\n"+
		"[session]\nsecret-file = session.secret\n[stop]\nreadiness-wait = 200ms\n[log]\nlevel = error\n[limits]\nretry-share = 100%%\n",
		n, dataCentreOf(n), p.callerAddresses[n], p.controlAddresses[n], strings.Join(p.controlAddresses[:3], ", "))
	if n < 5 {
		if err := os.Mkdir(filepath.Join(p.folder, fmt.Sprint("data", n)), 0o700); err != nil {
			p.t.Fatal(err)
		}
		text += fmt.Sprintf("[data]\nfolder = data%d\n", n)
	}
	if err := os.WriteFile(p.settingsPath(n), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processFleet) settingsPath(n int) string {
	return filepath.Join(p.folder, fmt.Sprintf("i%d.ini", n))
}

func (p *processFleet) start(n int) {
	p.t.Helper()
	cmd := exec.Command(p.binary, "serve", "--settings", p.settingsPath(n))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.commands[n] = cmd
}

// signalAndWait sends a signal and waits until the process exits.
func (p *processFleet) signalAndWait(n int, signal syscall.Signal) {
	p.t.Helper()
	if err := p.commands[n].Process.Signal(signal); err != nil {
		p.t.Error(err)
	}
	err := p.commands[n].Wait()
	if signal == syscall.SIGTERM && err != nil {
		p.t.Errorf("instance %d did not stop cleanly: %v", n, err)
	}
}

func (p *processFleet) killAll() {
	for n, cmd := range p.commands {
		if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			p.t.Errorf("instance %d: %v", n, err)
		}
		// Wait always returns an error for a killed process.
		_ = cmd.Wait()
	}
}

func (p *processFleet) operator(n int) *operator.Client {
	return operator.NewClient(p.controlAddresses[n])
}

// waitFor fails the test if the condition does not hold in time.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	f := &Fleet{}
	if err := f.WaitFor(what, condition); err != nil {
		t.Fatal(err)
	}
}

func (p *processFleet) bootstrap(document string) {
	p.t.Helper()
	ctx := context.Background()
	waitFor(p.t, "the meeting of the instances", func() bool {
		s, err := p.operator(0).Status(ctx)
		return err == nil && len(s.Peers) == processCount-1
	})
	if err := p.operator(0).Bootstrap(ctx); err != nil {
		p.t.Fatal(err)
	}
	c := operator.Change{ID: "first", Environment: "production", Author: "test", Text: document}
	if _, err := p.operator(8).Apply(ctx, c); err != nil {
		p.t.Fatal(err)
	}
	waitFor(p.t, "three voters, and the document on every instance", func() bool {
		s, err := p.operator(0).Status(ctx)
		return err == nil && len(s.Record.Voters) == 3 && p.allReady()
	})
}

func (p *processFleet) allReady() bool {
	for _, address := range p.callerAddresses {
		res, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		if res.Body.Close() != nil || res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (p *processFleet) leader() int {
	for n := range processCount {
		s, err := p.operator(n).Status(context.Background())
		if err == nil && s.Record != nil && s.Record.IsLeader {
			return n
		}
	}
	return 0
}

// startStandIns starts 20 simulated engines and 3 simulated services; each announces itself to only two instances.
func startStandIns(t *testing.T, p *processFleet) (engines []*imitator.Engine, desks []*imitator.Service) {
	t.Helper()
	telemetry := observer.NewTelemetry("stand-in", os.Stderr, "error", false)
	hostConfig := func(n int, a registrar.Announcement) imitator.HostConfig {
		a.DataCentre, a.Incarnation, a.Capacity = dataCentreOf(n), time.Now().UnixMilli(), 32
		return imitator.HostConfig{Listen: anyLoopbackPort, AnnounceTo: []string{p.controlAddresses[n%processCount], p.controlAddresses[(n+4)%processCount]}, Announcement: a}
	}
	for n := range 20 {
		name := "fit-s-3"
		if n >= 14 {
			name = "fit-l-2"
		}
		a := registrar.Announcement{Name: fmt.Sprint("engine-", n), Kind: registrar.KindEngine, EngineNames: []string{name}}
		e := imitator.NewEngine(telemetry, imitator.EngineConfig{Host: hostConfig(n, a), FirstToken: 10, BetweenTokens: 2 * timer.Millisecond})
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		engines = append(engines, e)
		t.Cleanup(func() { _ = e.Crash() })
	}
	for n := range 3 {
		a := registrar.Announcement{Name: fmt.Sprint("desk-", n), Kind: registrar.KindService, Service: "coat-desk"}
		s := imitator.NewService(telemetry, imitator.ServiceConfig{Host: hostConfig(n, a), Delay: 5 * timer.Millisecond})
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		desks = append(desks, s)
		t.Cleanup(func() { _ = s.Crash() })
	}
	return engines, desks
}

// testRequest is a model request or an order, which is resent with the same key until it is answered.
type testRequest struct {
	workspace string
	key       string
	isOrder   bool
}

// sender sends requests one after another and resends each to other instances with the same key until it is answered.
type sender struct {
	p        *processFleet
	index    int
	deadline time.Time
	mu       *sync.Mutex
	answered *[]testRequest
	inDoubt  *int
}

func (s *sender) run(t *testing.T) {
	for turn := 0; time.Now().Before(s.deadline); turn++ {
		req := testRequest{workspace: "fit-questions", key: fmt.Sprintf("k-%d-%d", s.index, turn), isOrder: s.index%4 == 0}
		if req.isOrder {
			req.workspace = "adoption-app"
		}
		answered, inDoubt := s.sendUntilAnswered(t, req)
		s.mu.Lock()
		if answered {
			*s.answered = append(*s.answered, req)
		}
		if inDoubt {
			*s.inDoubt++
		}
		s.mu.Unlock()
	}
}

// sendUntilAnswered reports whether the request was answered or refused with type in-doubt, which means that the order
// may have run.
func (s *sender) sendUntilAnswered(t *testing.T, req testRequest) (answered, inDoubt bool) {
	deadline := time.Now().Add(20 * time.Second)
	for try := 0; time.Now().Before(deadline); try++ {
		c := caller.NewCaller(s.p.callerAddresses[(s.index+try)%processCount], "key-"+req.workspace)
		err := s.send(t, c, req)
		c.Close()
		if err == nil {
			return true, false
		}
		var refused *caller.Error
		if errors.As(err, &refused) && refused.Type == "in-doubt" {
			return false, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%s was never answered", req.key)
	return false, false
}

func (s *sender) send(t *testing.T, c *caller.Caller, req testRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if req.isOrder {
		_, err := c.CallService(ctx, http.MethodPost, "/services/coat-desk/orders", req.key, []byte(req.key))
		return err
	}
	marker := imitator.MarkerPrefix + req.key
	a, err := c.Chat(ctx, caller.Prompt{Model: "fitting-model", Text: marker, MaxTokens: 20, Stream: true, IdempotencyKey: req.key})
	if err == nil {
		checkAnswer(t, a, marker, 20)
	}
	return err
}

func TestNineProcessesUnderFaults(t *testing.T) {
	document, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		t.Fatal(err)
	}
	p := newProcessFleet(t)
	p.bootstrap(string(document))
	engines, desks := startStandIns(t, p)
	waitFor(t, "the announcements on every instance", func() bool {
		for n := range processCount {
			s, err := p.operator(n).Status(context.Background())
			if err != nil || len(s.BackendServers) != len(engines)+len(desks) {
				return false
			}
		}
		return true
	})
	answered, inDoubt := p.sendUnderFaults(t, engines)
	t.Logf("%d requests answered, %d orders in doubt", len(answered), inDoubt)
	if len(answered) < 200 {
		t.Errorf("only %d requests were answered", len(answered))
	}
	checkRunsAndBills(t, p, desks, answered)
}

// sendUnderFaults sends requests while instances are killed, stopped and restarted and engines crash. It returns the
// answered requests and the number of orders in doubt.
func (p *processFleet) sendUnderFaults(t *testing.T, engines []*imitator.Engine) ([]testRequest, int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answered []testRequest
	inDoubt := 0
	deadline := time.Now().Add(faultRunDuration)
	for n := range 16 {
		s := &sender{p: p, index: n, deadline: deadline, mu: &mu, answered: &answered, inDoubt: &inDoubt}
		wg.Go(func() { s.run(t) })
	}
	leader := p.leader()
	steps := []func(){
		func() { p.signalAndWait(leader, syscall.SIGKILL) },
		func() { crashEngines(t, engines[0], engines[1], engines[14]) },
		func() { p.signalAndWait(7, syscall.SIGTERM) },
		func() { p.start(leader) },
		func() { p.signalAndWait(6, syscall.SIGKILL); p.start(6) },
		func() { p.start(7) },
	}
	for _, step := range steps {
		step()
		time.Sleep(faultRunDuration / time.Duration(len(steps)+1))
	}
	wg.Wait()
	return answered, inDoubt
}

func crashEngines(t *testing.T, engines ...*imitator.Engine) {
	t.Helper()
	for _, e := range engines {
		if err := e.Crash(); err != nil {
			t.Error(err)
		}
	}
}

func checkRunsAndBills(t *testing.T, p *processFleet, desks []*imitator.Service, answered []testRequest) {
	t.Helper()
	runs := map[string]int{}
	for _, d := range desks {
		for _, r := range d.Runs() {
			runs[r.IdempotencyKey]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			t.Errorf("order %s ran %d times", key, n)
		}
	}
	waitFor(t, "the readiness of every instance", p.allReady)
	var bills []biller.Bill
	for n := range processCount {
		list, err := p.operator(n).Bills(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		bills = append(bills, list...)
	}
	billed := map[string]bool{}
	for _, b := range bills {
		billed[b.Workspace+"/"+b.Key] = true
	}
	missing := 0
	for _, req := range answered {
		if !billed[req.workspace+"/"+req.key] {
			missing++
		}
		if req.isOrder && runs[req.key] != 1 {
			t.Errorf("order %s was answered but ran %d times", req.key, runs[req.key])
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d answered requests have no bill", missing, len(answered))
	}
	if _, conflicts := biller.Totals(bills); conflicts > 0 {
		t.Errorf("%d keys were billed for different requests", conflicts)
	}
}
