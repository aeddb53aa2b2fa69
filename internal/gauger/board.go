package gauger

import (
	"maps"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// minPublished is the number of readings from which an estimate is told to the instances.
	minPublished = 3
	// minChange is the change of an estimate that the instances are told of, as a divisor of the estimate.
	minChange = 8
	// maxReported bounds the readings of one report.
	maxReported = 64
)

// Report holds the readings that one instance has taken from the answers of a server since its last report.
type Report struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Percents    []int  `cbor:"3,keyasint,omitempty"`
	// Load is the number of requests at the server by the last answer, and Age the time since then, in milliseconds.
	Load int          `cbor:"4,keyasint,omitempty"`
	Age  timer.Millis `cbor:"5,keyasint,omitempty"`
}

// Load is the number of requests at a server, as it said with its last answer to any instance.
type Load struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Load        int    `cbor:"3,keyasint,omitempty"`
}

// Gauge is the estimate of how long work takes on a server's machine, in percent of the usual time.
type Gauge struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Percent     int    `cbor:"3,keyasint"`
}

// Board collects the readings of all instances at the control instance that keeps them; it is used by one goroutine.
type Board struct {
	servers map[string]*entry
}

type entry struct {
	incarnation int64
	readings    Readings
	published   int
	// load is the last load, as of loadAt; isLoadNew means that TakeLoads has not returned it.
	load      int
	loadAt    timer.Millis
	isLoadNew bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{servers: map[string]*entry{}}
}

// Add adds a report, and returns the estimate of the machine's speed and true if the instances must know it.
func (b *Board) Add(r Report, now timer.Millis) (Gauge, bool) {
	e := b.servers[r.Server]
	if e == nil || r.Incarnation > e.incarnation {
		e = &entry{incarnation: r.Incarnation}
		b.servers[r.Server] = e
	}
	if r.Incarnation < e.incarnation {
		return Gauge{}, false
	}
	if at := now - max(0, r.Age); at >= e.loadAt {
		e.load, e.loadAt, e.isLoadNew = max(0, r.Load), at, true
	}
	for _, percent := range r.Percents[:min(len(r.Percents), maxReported)] {
		e.readings.Add(percent)
	}
	percent, count := e.readings.Median()
	isKnown := e.published > 0
	if count < minPublished || isKnown && max(percent-e.published, e.published-percent)*minChange < e.published {
		return Gauge{}, false
	}
	e.published = percent
	return Gauge{Server: r.Server, Incarnation: r.Incarnation, Percent: percent}, true
}

// Gauges returns the estimates that were told, sorted by server.
func (b *Board) Gauges() []Gauge {
	var list []Gauge
	for name, e := range b.servers {
		if e.published > 0 {
			list = append(list, Gauge{Server: name, Incarnation: e.incarnation, Percent: e.published})
		}
	}
	slices.SortFunc(list, func(a, b Gauge) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// TakeLoads returns the loads that came since the last call, sorted by server.
func (b *Board) TakeLoads() []Load {
	var list []Load
	for name, e := range b.servers {
		if e.isLoadNew {
			e.isLoadNew = false
			list = append(list, Load{Server: name, Incarnation: e.incarnation, Load: e.load})
		}
	}
	slices.SortFunc(list, func(a, b Load) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Retain forgets all servers but the given ones.
func (b *Board) Retain(isKnown func(server string) bool) {
	maps.DeleteFunc(b.servers, func(name string, _ *entry) bool { return !isKnown(name) })
}
