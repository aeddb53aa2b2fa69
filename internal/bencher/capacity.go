package bencher

import (
	"fmt"
	"strings"
)

// Target is the fleet size and load that the capacity page computes for, with the limits for each instance.
type Target struct {
	Instances         float64
	Runners           float64
	DataCentres       float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	ChangesPerDay     float64
	CorePercent       float64
	MemoryMB          float64
	KBPerSecond       float64
}

// UsersTarget returns the users' target for about two years from now.
func UsersTarget() Target {
	return Target{
		Instances: 980, Runners: 6900, DataCentres: 15, RequestsPerSecond: 11_000, TokensPerSecond: 4_100_000, ChangesPerDay: 41_000,
		CorePercent: 4.5, MemoryMB: 64, KBPerSecond: 14,
	}
}

// FleetSlopes holds the costs per unit that come from the commands bench fleet and bench requests.
type FleetSlopes struct {
	// LinkKB is the memory that each further instance of the fleet needs, in kilobytes.
	LinkKB float64
	// RequestMicros and ChunkMicros are the CPU time of an instance for a request and for a chunk, in microseconds.
	RequestMicros float64
	ChunkMicros   float64
}

// Row is a row of the capacity table: the cost per unit times a count, compared with a limit.
type Row struct {
	Role        string
	Description string
	Slope       float64
	SlopeUnit   string
	Count       float64
	CountUnit   string
	// Scale converts slope times count to the unit of the limit.
	Scale     float64
	Unit      string
	Limit     float64
	Mechanism string
}

// Value returns the need of the role at the target, in the unit of the limit.
func (r Row) Value() float64 {
	return r.Slope * r.Count * r.Scale
}

const (
	secondsPerDay         = 86_400
	heartbeatsPerSecond   = 1 / 0.7
	viewRebuildsPerSecond = 2
	voterCount            = 5
	digestBytes           = 12
	restartsPerDay        = 95.0 + 620
)

// CapacityRows computes the rows of the capacity table for a target.
func CapacityRows(t Target, s Slopes, f FleetSlopes) []Row {
	instancesPerDC := t.Instances / t.DataCentres
	runnersPerDC := t.Runners / t.DataCentres
	changesPerSecond := t.ChangesPerDay / secondsPerDay
	heartbeatRate := (instancesPerDC + voterCount) * heartbeatsPerSecond
	return []Row{
		{"entry instance", "signs of life to the own data centre and the voters", s.HeartbeatBytes, "B", heartbeatRate, "messages/s", 1e-3, "KB/s", t.KBPerSecond, "beats (coordinator), built"},
		{"entry instance", "announcements as they are handed on today", s.AnnouncementBytes, "B", t.Runners, "messages/s", 1e-3, "KB/s", t.KBPerSecond, "does not carry: digests of the own data centre by its relays"},
		{"entry instance", "announcements as digests of the own data centre", digestBytes, "B", runnersPerDC, "runners/s", 1e-3, "KB/s", t.KBPerSecond, "digests by relays, not built"},
		{"entry instance", "taking every announcement in", s.AnnounceMicros, "us", t.Runners, "messages/s", 1e-4, "% core", t.CorePercent, "server table (registrar), built"},
		{"entry instance", "rebuilding the view, all runners", s.RebuildRowMicros, "us", t.Runners * viewRebuildsPerSecond, "rows/s", 1e-4, "% core", t.CorePercent, "view (indexer), built"},
		{"entry instance", "rebuilding the view, own data centre", s.RebuildRowMicros, "us", runnersPerDC * viewRebuildsPerSecond, "rows/s", 1e-4, "% core", t.CorePercent, "digests by relays, not built"},
		{"entry instance", "reading accepted documents", s.ParseMicros, "us", changesPerSecond, "changes/s", 1e-4, "% core", t.CorePercent, "feed (coordinator), built"},
		{"entry instance", "server table and view, all runners", s.RowBytes, "B", t.Runners, "rows", 1e-6, "MB", t.MemoryMB, "server table (registrar), built"},
		{"entry instance", "links to every instance", f.LinkKB, "KB", t.Instances, "links", 1e-3, "MB", t.MemoryMB, "does not carry: links to the own data centre and two relays"},
		{"entry instance", "links to the own data centre", f.LinkKB, "KB", instancesPerDC, "links", 1e-3, "MB", t.MemoryMB, "relays, not built"},
		{"entry instance", "placing requests among all runners of a version", s.PlaceRowNanos, "ns", t.RequestsPerSecond / t.Instances * t.Runners / 21, "rows/s", 1e-7, "% core", t.CorePercent, "placer, built"},
		{"leader", "whole documents for instances that start again", s.DocumentBytes, "B", restartsPerDay / secondsPerDay, "documents/s", 1e-3, "KB/s", t.KBPerSecond, "feed (coordinator), built"},
		{"leader", "feeding differences to relays", s.DifferenceBytes, "B", changesPerSecond * 2 * t.DataCentres, "differences/s", 1e-3, "KB/s", t.KBPerSecond, "relays (coordinator), built"},
		{"leader", "hearing what is in force from every instance", s.HeartbeatBytes, "B", changesPerSecond * t.Instances, "messages/s", 1e-3, "KB/s", t.KBPerSecond, "does not carry: relays gather the acknowledgements of their data centre"},
		{"relay", "feeding differences to its data centre", s.DifferenceBytes, "B", changesPerSecond * instancesPerDC, "differences/s", 1e-3, "KB/s", t.KBPerSecond, "relays (coordinator), built"},
		{"voter", "committing changes, one sync each", s.CommitMicros, "us", changesPerSecond, "changes/s", 1e-4, "% of time", 100, "record (recorder), built"},
		{"voter", "committing claims and their ends, 5% of requests, one sync each", s.CommitMicros, "us", 2 * 0.05 * t.RequestsPerSecond, "entries/s", 1e-4, "% of time", 100, "batched syncs (recorder), built"},
		{"spare", "receiving changes as a learner would", s.DocumentBytes, "B", changesPerSecond, "entries/s", 1e-3, "KB/s", t.KBPerSecond, "replication (replicator), built"},
		{"entry instance, traffic", "requests", f.RequestMicros, "us", t.RequestsPerSecond / t.Instances, "requests/s", 1e-4, "% core", 100, "filters, built"},
		{"entry instance, traffic", "chunks, one for each token", f.ChunkMicros, "us", t.TokensPerSecond / t.Instances, "chunks/s", 1e-4, "% core", 100, "filters, built"},
	}
}

// FormatTable formats the rows as a Markdown table.
func FormatTable(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | slope | times | gives | limit | head-room | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %.4g %s | %.4g %s | %.3g %s | %.4g | %.3g | %s |\n",
			r.Role, r.Description, r.Slope, r.SlopeUnit, r.Count, r.CountUnit, r.Value(), r.Unit, r.Limit, r.Limit/r.Value(), r.Mechanism)
	}
	return b.String()
}
