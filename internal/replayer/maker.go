package replayer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Deployment describes one user's fleet and its usual traffic.
type Deployment struct {
	Name     string
	Document string
	// SmallEngines and LargeEngines are the numbers of engines for the cheapest and the costliest version.
	SmallEngines int
	LargeEngines int
	// RequestsPerSecond is the request rate of an ordinary day.
	RequestsPerSecond float64
	// Mix lists the classes of requests; their shares add up to 1.
	Mix []TrafficClass
}

// TrafficClass is one class of requests of one workspace.
type TrafficClass struct {
	Class     string
	Workspace string
	// Share is the part of all requests, from 0 to 1.
	Share float64
	// Session reports whether the requests belong to sessions.
	Session bool
	// PromptTokens and AnswerTokens are average token counts.
	PromptTokens int
	AnswerTokens int
	// SmallQuality and LargeQuality are the true shares of good answers.
	SmallQuality float64
	LargeQuality float64
}

// Scenarios returns the names of the scenarios of the shipped traces.
func Scenarios() []string {
	return []string{"ordinary-day", "evening-peak", "bad-version", "pool-lost", "partition", "hand-back"}
}

const (
	traceDuration    = 4 * timer.Minute
	peakFactor       = 2.2
	newVersionSuffix = "-next"
	badQuality       = 0.3
	engineCapacity   = 8
	// sessionCount is the number of sessions that the requests of a trace share.
	sessionCount = 40
	// slowServerFactor is how much slower than the others the first engine of each kind is in the slow-server scenario.
	slowServerFactor = 10
	// fullLoadFactor is the multiple of the ordinary request rate that fills the engines.
	fullLoadFactor = 6
)

// maker generates one trace.
type maker struct {
	d        Deployment
	doc      *parser.Document
	scenario string
	rand     *rand.Rand
	trace    *Trace
}

// MakeTrace generates the trace of a scenario; the same seed gives the same trace.
func MakeTrace(d Deployment, scenario string, seed uint64) (*Trace, error) {
	doc, err := parser.Parse(d.Name, d.Document)
	if err != nil {
		return nil, err
	}
	m := &maker{d: d, doc: doc, scenario: scenario, rand: rand.New(rand.NewPCG(seed, 41)), trace: &Trace{}}
	m.trace.Head = Head{Name: d.Name + "-" + scenario, Document: doc.String()}
	m.addServers()
	m.addTruths()
	m.addRequests()
	m.addFaults()
	return m.trace, nil
}

func (m *maker) versions() (small, large parser.Version) {
	cascade := m.doc.Models[0].Cascade
	small, _ = m.doc.Version(cascade[0])
	large, _ = m.doc.Version(cascade[len(cascade)-1])
	return small, large
}

func (m *maker) addServers() {
	small, large := m.versions()
	add := func(kind string, n int, v parser.Version, first timer.Millis, tokenMicros int64) {
		for i := range n {
			names := []string{v.EngineName}
			if m.scenario == "bad-version" && kind == "small" {
				names = append(names, v.EngineName+newVersionSuffix)
			}
			m.trace.Servers = append(m.trace.Servers, Server{
				Name: fmt.Sprintf("%s-%02d", kind, i+1), DataCentre: m.doc.DataCentres[i%len(m.doc.DataCentres)].Name,
				EngineNames: names, Capacity: engineCapacity, FirstToken: first, PrefillPerK: 4 * first, TokenMicros: tokenMicros,
			})
			if m.scenario == "slow-server" && i == 0 {
				s := &m.trace.Servers[len(m.trace.Servers)-1]
				s.FirstToken, s.PrefillPerK, s.TokenMicros = slowServerFactor*first, slowServerFactor*4*first, slowServerFactor*tokenMicros
			}
		}
	}
	add("small", m.d.SmallEngines, small, 60, 9_000)
	add("large", m.d.LargeEngines, large, 150, 20_000)
}

func (m *maker) addTruths() {
	small, large := m.versions()
	for _, x := range m.d.Mix {
		m.trace.Truths = append(m.trace.Truths,
			Truth{Version: small.Name, Class: x.Class, Quality: x.SmallQuality},
			Truth{Version: large.Name, Class: x.Class, Quality: x.LargeQuality},
			Truth{Version: small.Name + newVersionSuffix, Class: x.Class, Quality: x.SmallQuality})
	}
}

// overloadFactor returns N for the scenario overload-N, and 0 for other scenarios.
func overloadFactor(scenario string) float64 {
	text, ok := strings.CutPrefix(scenario, "overload-")
	if !ok {
		return 0
	}
	factor, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return factor
}

// requestRate returns the requests per second at a time of the trace; evening-peak rises to peakFactor and falls again.
func (m *maker) requestRate(at timer.Millis) float64 {
	if factor := overloadFactor(m.scenario); factor > 0 {
		return m.d.RequestsPerSecond * fullLoadFactor * factor
	}
	if m.scenario != "evening-peak" {
		return m.d.RequestsPerSecond
	}
	progress := float64(at) / float64(traceDuration)
	return m.d.RequestsPerSecond * (1 + (peakFactor-1)*4*progress*(1-progress))
}

func (m *maker) addRequests() {
	n := 0
	for at := timer.Millis(0); at < traceDuration; {
		at += timer.Millis(m.rand.ExpFloat64() * 1000 / m.requestRate(at))
		n++
		m.trace.Requests = append(m.trace.Requests, m.newRequest(n, at))
	}
}

func (m *maker) newRequest(n int, at timer.Millis) Request {
	x := m.pickClass()
	r := Request{
		At: at, ID: fmt.Sprintf("r%05d", n), DataCentre: m.doc.DataCentres[m.rand.IntN(len(m.doc.DataCentres))].Name,
		Workspace: x.Workspace, Class: x.Class, Difficulty: float64(int(m.rand.Float64()*10_000)) / 10_000,
		PromptTokens: x.PromptTokens/2 + m.rand.IntN(x.PromptTokens), Tokens: x.AnswerTokens/2 + m.rand.IntN(x.AnswerTokens),
	}
	if x.Session {
		s := m.rand.IntN(sessionCount)
		r.Session = fmt.Sprintf("s%02d", s)
		r.DataCentre = m.doc.DataCentres[s%len(m.doc.DataCentres)].Name
	}
	return r
}

func (m *maker) pickClass() TrafficClass {
	draw := m.rand.Float64()
	for _, x := range m.d.Mix {
		if draw < x.Share {
			return x
		}
		draw -= x.Share
	}
	return m.d.Mix[0]
}

func (m *maker) addFault(f Fault) {
	m.trace.Faults = append(m.trace.Faults, f)
}

func (m *maker) addFaults() {
	switch m.scenario {
	case "bad-version":
		m.rollOutBadVersion()
	case "pool-lost":
		m.eachServer("small", func(i int, s Server) {
			if i%2 == 0 {
				m.addFault(Fault{At: 80 * timer.Second, Kind: FaultCrash, Server: s.Name})
				m.addFault(Fault{At: 140 * timer.Second, Kind: FaultReturn, Server: s.Name})
			}
		})
	case "partition":
		last := m.doc.DataCentres[len(m.doc.DataCentres)-1].Name
		m.eachServer("", func(_ int, s Server) {
			if s.DataCentre == last {
				m.addFault(Fault{At: 90 * timer.Second, Kind: FaultCrash, Server: s.Name})
				m.addFault(Fault{At: 150 * timer.Second, Kind: FaultReturn, Server: s.Name})
			}
		})
	case "hand-back":
		m.eachServer("", func(i int, s Server) {
			if i%3 == 0 {
				m.addFault(Fault{At: 60*timer.Second + timer.Millis(i)*5*timer.Second, Kind: FaultLeave, Server: s.Name})
			}
		})
	}
}

func (m *maker) eachServer(prefix string, do func(int, Server)) {
	for i, s := range m.trace.Servers {
		if strings.HasPrefix(s.Name, prefix) {
			do(i, s)
		}
	}
}

// rollOutBadVersion rolls out a version that is as good as the old one until its quality drops to badQuality.
func (m *maker) rollOutBadVersion() {
	small, _ := m.versions()
	next := small
	next.Name, next.EngineName = small.Name+newVersionSuffix, small.EngineName+newVersionSuffix
	doc := *m.doc
	doc.Versions = append(doc.Versions, next)
	withRollOut := doc.WithRollOut(parser.RollOut{Version: next.Name, Replaces: small.Name, Share: 0.2, MaxExposed: 1000})
	m.addFault(Fault{At: 20 * timer.Second, Kind: FaultDocument, Document: withRollOut.String()})
	m.addFault(Fault{At: 90 * timer.Second, Kind: FaultQuality, Version: next.Name, Quality: badQuality})
}

// ExampleDeployments returns the two example deployments with the given environment documents.
func ExampleDeployments(tazyFit, gulfWake string) []Deployment {
	return []Deployment{
		{
			Name: "tazy-fit", Document: tazyFit, SmallEngines: 14, LargeEngines: 6, RequestsPerSecond: 16,
			Mix: []TrafficClass{
				{Class: "consultation", Workspace: "consultations", Share: 0.12, Session: true, PromptTokens: 1200, AnswerTokens: 220, SmallQuality: 0.78, LargeQuality: 0.98},
				{Class: "question", Workspace: "fit-questions", Share: 0.38, PromptTokens: 250, AnswerTokens: 60, SmallQuality: 0.93, LargeQuality: 0.97},
				{Class: "label", Workspace: "size-labels", Share: 0.40, PromptTokens: 120, AnswerTokens: 12, SmallQuality: 0.97, LargeQuality: 0.99},
				{Class: "note", Workspace: "volunteers", Share: 0.10, Session: true, PromptTokens: 400, AnswerTokens: 90, SmallQuality: 0.91, LargeQuality: 0.97},
			},
		},
		{
			Name: "gulf-wake", Document: gulfWake, SmallEngines: 7, LargeEngines: 3, RequestsPerSecond: 9,
			Mix: []TrafficClass{
				{Class: "menu", Workspace: "condolence-menus", Share: 0.12, Session: true, PromptTokens: 900, AnswerTokens: 180, SmallQuality: 0.76, LargeQuality: 0.97},
				{Class: "booking", Workspace: "bookings", Share: 0.38, PromptTokens: 250, AnswerTokens: 50, SmallQuality: 0.92, LargeQuality: 0.96},
				{Class: "label", Workspace: "tray-labels", Share: 0.35, PromptTokens: 120, AnswerTokens: 12, SmallQuality: 0.96, LargeQuality: 0.98},
				{Class: "note", Workspace: "delivery-notes", Share: 0.15, PromptTokens: 300, AnswerTokens: 70, SmallQuality: 0.91, LargeQuality: 0.96},
			},
		},
	}
}
