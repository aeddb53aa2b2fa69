package steward

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against a stop that fails or hangs because the record, for instance on a hanging disk, does not answer in time.
func TestStopSucceedsWithoutAnAnswerOfTheRecord(t *testing.T) {
	const limit = 100 * time.Millisecond
	telemetry := observer.NewDiscard(timer.NewSystemClock())
	// A record that is not started answers no call.
	record, err := recorder.NewRecord(recorder.Deps{Telemetry: telemetry, Instance: "a", Disk: recorder.NewMemoryDisk().Disk()})
	if err != nil {
		t.Fatal(err)
	}
	s := NewSteward(Deps{Telemetry: telemetry, Record: record})
	s.Start()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	select {
	case err := <-stopped:
		if err != nil {
			t.Errorf("the stop failed: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the stop hangs")
	}
}

// Guards against a spare that joins the record while it stops: an instance that connects during the stop must be told of it.
func TestLinkOpenedDuringTheStopSaysSo(t *testing.T) {
	telemetry := observer.NewDiscard(timer.NewSystemClock())
	// The record is not started, so the stop lasts until its context ends.
	record, err := recorder.NewRecord(recorder.Deps{Telemetry: telemetry, Instance: "a", Disk: recorder.NewMemoryDisk().Disk()})
	if err != nil {
		t.Fatal(err)
	}
	s := NewSteward(Deps{Telemetry: telemetry, Record: record})
	server := httptest.NewServer(s.LinkHandler())
	defer server.Close()
	s.Start()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	for !s.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	opened := make(chan messenger.Greeting, 1)
	d := messenger.NewDialer(messenger.LinkHandler{
		Telemetry: telemetry, NewGreeting: func() messenger.Greeting { return messenger.Greeting{Instance: "b"} },
		OnOpen: func(l *messenger.Link) { opened <- l.PeerGreeting() }, OnClose: func(*messenger.Link) {}, OnPacket: func(*messenger.Link, messenger.Packet) {},
	})
	d.SetAddresses([]string{strings.TrimPrefix(server.URL, "http://")})
	select {
	case g := <-opened:
		if !g.Stopping {
			t.Error("the greeting does not say that the instance stops")
		}
	case <-time.After(5 * time.Second):
		t.Error("no link is opened")
	}
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	s.CloseLinks()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
}
