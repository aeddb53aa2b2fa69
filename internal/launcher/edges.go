package launcher

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/administrator"
	"github.com/eelgrasshook/eelgrasshook/internal/certifier"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// idleTimeout ends a caller's connection that carries no request.
const idleTimeout = 2 * time.Minute

// listener is one HTTP server with the goroutine that runs it.
type listener struct {
	server *http.Server
	socket net.Listener
	tomb   tomb.Tomb
}

// newListener takes the address at once, so that others can be told of it; it serves once it is started.
func (i *Instance) newListener(address decoder.Address) (*listener, error) {
	return listenOn(address, i.settings)
}

func listenOn(address decoder.Address, s configurer.Settings) (*listener, error) {
	socket, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: s.Limits.HeaderWait.Duration(),
		MaxHeaderBytes:    int(s.Limits.MaxHeader),
		IdleTimeout:       idleTimeout,
	}
	return &listener{server: server, socket: socket}, nil
}

func (l *listener) address() string {
	return l.socket.Addr().String()
}

func (l *listener) start() {
	socket := l.socket
	if l.server.TLSConfig != nil {
		socket = tls.NewListener(socket, l.server.TLSConfig)
	}
	l.tomb.Go(func() error { return l.run(socket) })
}

func (l *listener) run(socket net.Listener) error {
	if err := l.server.Serve(socket); err != nil && err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

// stop lets requests in progress finish until the context ends, then breaks them off.
func (l *listener) stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return trace.NewAggregate(err, l.server.Close())
	}
	return l.tomb.Wait()
}

func (l *listener) kill() error {
	return trace.NewAggregate(l.server.Close(), l.tomb.Wait())
}

func (i *Instance) buildListeners() error {
	var err error
	if i.control, err = i.newListener(i.settings.Listen.Control); err != nil {
		return err
	}
	if i.callers, err = i.newListener(i.settings.Listen.Callers); err != nil {
		return err
	}
	return i.buildLinks()
}

func (i *Instance) buildLinks() error {
	s := i.settings
	if s.Listen.Links == "" {
		return nil
	}
	var err error
	if i.links, err = i.newListener(s.Listen.Links); err != nil || s.Links.Certificate == "" {
		return err
	}
	i.linkTLS, err = certifier.LinkConfig(s.Links.Certificate, s.Links.Key, s.Links.Authority)
	i.links.server.TLSConfig = i.linkTLS
	return err
}

func (i *Instance) closeSockets() error {
	var errs []error
	for _, l := range []*listener{i.control, i.callers, i.links} {
		if l != nil {
			errs = append(errs, l.socket.Close())
		}
	}
	return trace.NewAggregate(errs...)
}

func (i *Instance) buildEdges() error {
	s := i.settings
	i.callers.server.Handler = receiver.NewEdge(receiver.Deps{
		Common: i.common,
		Limits: receiver.Limits{MaxBody: int64(s.Limits.MaxBody), Deadline: s.Limits.Deadline, CallerStall: s.Limits.CallerStall},
		Set:    i.controller.Set,
		Serve:  i.router.Serve,
		Ready:  i.notReady,
		Accept: i.notAccepting,
	})
	i.control.server.Handler = i.newAdministrator()
	if i.links != nil {
		i.links.server.Handler = i.coordinator.Mesh()
	}
	if s.TLS.Certificate == "" {
		return nil
	}
	files := certifier.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CheckEvery: s.TLS.CheckEvery}
	c, err := certifier.NewCertifier(i.common, files)
	if err != nil {
		return err
	}
	i.certifier = c
	i.callers.server.TLSConfig = c.Config()
	return nil
}

func (i *Instance) newAdministrator() *administrator.Edge {
	return administrator.NewEdge(administrator.Deps{
		Common:    i.common,
		Links:     i.linksAtControl(),
		Announce:  i.coordinator.Announce,
		Change:    i.coordinator.Change,
		Bootstrap: i.coordinator.Bootstrap,
		Trail:     i.coordinator.Trail,
		Text:      i.coordinator.Text,
		Waiting:   i.coordinator.Waiting,
		Ratings:   i.coordinator.Ratings,
		Drain:     i.controller.Drain,
		Status:    i.Status,
		Document:  i.document,
		Explain:   i.explainer.Explain,
		Bills:     i.store.bills.Bills,
		Ready:     i.notReady,
	})
}

// linksAtControl returns the handler of links at the control address, nil when they have an address of their own.
func (i *Instance) linksAtControl() http.Handler {
	if i.links != nil {
		return nil
	}
	return i.coordinator.Mesh()
}

func (i *Instance) document(environment string) (int64, string) {
	view := i.controller.View(environment)
	if view == nil {
		return 0, ""
	}
	return view.Revision, view.Document.String()
}

// Status describes the instance for operators.
func (i *Instance) Status(ctx context.Context) administrator.Status {
	set := i.controller.Set()
	running, waiting := i.admitter.InFlight()
	s := administrator.Status{
		Instance: i.settings.Instance.Name, DataCentre: i.settings.Instance.DataCentre, Revisions: map[string]int64{},
		State: "serving", Mode: set.Mode, Running: running, Waiting: waiting, Peers: i.coordinator.Peers(),
		Servers: []administrator.ServerStatus{}, Degraded: []administrator.Degraded{}, InDoubt: i.coordinator.InDoubt(ctx),
	}
	if record, ok := i.coordinator.RecordStatus(); ok {
		s.Record = administrator.NewRecordStatus(record)
	}
	rows, err := i.controller.Servers(ctx)
	if err != nil {
		i.common.Log.Warn("backend servers not listed", "error", err)
	}
	for _, b := range rows {
		s.Servers = append(s.Servers, administrator.NewServerStatus(b))
	}
	for name, view := range set.Views {
		s.Revisions[name] = view.Revision
	}
	return i.describeState(s, set)
}

// describeState says what is not as it should be, and since when.
func (i *Instance) describeState(s administrator.Status, set *indexer.Set) administrator.Status {
	degrade := func(since timer.Millis, format string, args ...any) {
		s.Degraded = append(s.Degraded, administrator.Degraded{What: fmt.Sprintf(format, args...), Since: since})
	}
	if set.Mode != indexer.ModeConnected {
		s.State = string(set.Mode)
		degrade(set.Since, "the record's quorum cannot be reached")
	}
	if i.stopping.Load() {
		s.State = "stopping"
		degrade(i.stoppingSince(), "the instance is stopping")
	}
	for _, p := range s.Peers {
		judged := p.DataCentre == s.DataCentre || s.Record != nil && s.Record.Leads
		if silence := i.common.Clock.Now() - p.HeardAt; judged && silence > i.settings.Peers.Silence && !p.Stopping {
			degrade(p.HeardAt, "instance %s in %s is not heard of", p.Name, p.DataCentre)
		}
	}
	for name, view := range set.Views {
		for _, v := range view.Document.Versions {
			if !v.Withdrawn && len(view.Engines(v)) == 0 {
				degrade(view.Since, "no backend server runs version %s of environment %s", v.Name, name)
			}
		}
	}
	return s
}
