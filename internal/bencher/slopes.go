package bencher

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Slopes holds costs per unit, as measured on this machine. A row is the entry of a backend server in the server table.
type Slopes struct {
	AnnounceMicros    float64
	RebuildRowMicros  float64
	RowBytes          float64
	PlaceRowNanos     float64
	AnnouncementBytes float64
	HeartbeatBytes    float64
	ParseMicros       float64
	CommitMicros      float64
	DocumentBytes     float64
	DifferenceBytes   float64
}

const (
	runnerCount    = 6900
	repetitions    = 20
	placementCount = 200
	commitCount    = 400
)

// MeasureSlopes measures the slopes that the capacity page needs, except those in FleetSlopes.
// The record of the measurement is written to folder.
func MeasureSlopes(ctx context.Context, document, folder string) (Slopes, error) {
	doc, err := parser.Parse("capacity", document)
	if err != nil {
		return Slopes{}, err
	}
	var s Slopes
	rows := s.measureTable(doc)
	s.measurePlacement(doc, rows)
	if err := s.measureSizes(doc, rows); err != nil {
		return s, err
	}
	s.measureParse(document)
	return s, s.measureCommits(ctx, document, folder)
}

func newAnnouncement(doc *parser.Document, n int, sequence int64) registrar.Announcement {
	v := doc.Versions[n%len(doc.Versions)]
	return registrar.Announcement{
		Name: fmt.Sprintf("runner-%05d", n), Incarnation: 1_780_000_000_000, Sequence: sequence, Address: fmt.Sprintf("10.%d.%d.7:9000", n/250, n%250),
		DataCentre: doc.DataCentres[n%len(doc.DataCentres)].Name, Kind: registrar.KindEngine, EngineNames: []string{v.EngineName},
		Capacity: 8, Load: registrar.Load{Running: n % 8},
	}
}

// measureTable announces a full fleet of runners, announces a tenth of them again, rebuilds the view and returns the
// rows of the table.
func (s *Slopes) measureTable(doc *parser.Document) []registrar.BackendServer {
	before := memoryInUse()
	table := registrar.NewTable(registrar.Timeouts{SilentAfter: 2500, RemoveAfter: timer.Hour})
	for n := range runnerCount {
		// The error is ignored because the cost is divided by the number of rows that the table accepted.
		_, _ = table.Announce(0, newAnnouncement(doc, n, 1))
	}
	rows := table.Rows()
	view := indexer.NewView(1, doc, rows, 0)
	s.RowBytes = (memoryInUse() - before) / float64(len(rows))
	start := time.Now()
	for n := range runnerCount / 10 {
		_, _ = table.Announce(1, newAnnouncement(doc, n, 2))
	}
	s.AnnounceMicros = toMicros(time.Since(start)) / (runnerCount / 10)
	start = time.Now()
	for range repetitions {
		view = view.WithServers(table.Rows(), 0)
	}
	s.RebuildRowMicros = toMicros(time.Since(start)) / repetitions / float64(len(rows))
	runtime.KeepAlive(view)
	return rows
}

func toMicros(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}

func (s *Slopes) measurePlacement(doc *parser.Document, rows []registrar.BackendServer) {
	p := placer.NewPlacer(placer.Deps{DataCentre: doc.DataCentres[0].Name, Now: func() timer.Millis { return 0 }, Seed: 1})
	view := indexer.NewView(1, doc, rows, 0)
	start := time.Now()
	for range placementCount {
		if placement, ok := p.Place(view, placer.Query{Servers: rows, Affinity: "session"}); ok {
			placement.Release()
		}
	}
	s.PlaceRowNanos = float64(time.Since(start).Nanoseconds()) / placementCount / float64(len(rows))
}

func (s *Slopes) measureSizes(doc *parser.Document, rows []registrar.BackendServer) error {
	a := rows[0].Announcement
	envelopes := []struct {
		size *float64
		e    messenger.Envelope
	}{
		{&s.AnnouncementBytes, messenger.Envelope{From: "almaty-a-17", Announcement: &a}},
		{&s.HeartbeatBytes, messenger.Envelope{From: "almaty-a-17", Heartbeat: &messenger.Heartbeat{Revisions: map[string]int64{"production": 90_000, "trial": 4000}, Leader: "almaty-a-1"}}},
	}
	for _, x := range envelopes {
		encoded, err := cbor.Marshal(x.e)
		if err != nil {
			return trace.Wrap(err)
		}
		*x.size = float64(len(encoded))
	}
	s.DocumentBytes = float64(len(doc.String()))
	v := doc.Versions[0]
	v.Withdrawn = true
	for _, d := range parser.Diff(doc, doc.WithVersion(v)) {
		s.DifferenceBytes += float64(len(d.String()))
	}
	return nil
}

func (s *Slopes) measureParse(document string) {
	start := time.Now()
	for range repetitions {
		// MeasureSlopes has parsed the document without error.
		_, _ = parser.Parse("capacity", document)
	}
	s.ParseMicros = toMicros(time.Since(start)) / repetitions
}

// measureCommits commits entries one after another to a record with a single voter on a real disk.
func (s *Slopes) measureCommits(ctx context.Context, document, folder string) error {
	disk, err := recorder.NewDisk(folder)
	if err != nil {
		return err
	}
	r, err := recorder.NewRecord(recorder.Deps{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()), Instance: "bench", Disk: disk,
		Send: func(replicator.Message) {}, OnChange: func(*applier.State) {},
	})
	if err != nil {
		return err
	}
	r.Start()
	if err := r.Bootstrap(ctx); err != nil {
		return trace.NewAggregate(err, r.Stop())
	}
	err = s.commitEntries(ctx, r, document)
	return trace.NewAggregate(err, r.Stop())
}

func (s *Slopes) commitEntries(ctx context.Context, r *recorder.Record, document string) error {
	doc, err := parser.Parse("capacity", document)
	if err != nil {
		return err
	}
	first := applier.Command{Change: &changer.Change{ID: "first", Environment: doc.Environment.Name, Author: "bench", Text: document}}
	for {
		if _, err = r.Propose(ctx, first); err == nil {
			break
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	for k := range commitCount {
		if _, err := r.Propose(ctx, applier.Command{ExpireClaims: &applier.ClaimExpiry{RunningCutoff: timer.Millis(k)}}); err != nil {
			return err
		}
	}
	s.CommitMicros = toMicros(time.Since(start)) / commitCount
	return nil
}
