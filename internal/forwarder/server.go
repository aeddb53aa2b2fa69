package forwarder

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// averageWeight is the weight of a new sample in a moving average: about the last twenty samples count.
	averageWeight = 0.1
	// suspendAfterFailures is the number of consecutive failures after which a server is suspended.
	suspendAfterFailures = 2
	// minSuspension doubles with each consecutive failure, up to maxSuspension.
	minSuspension = 400 * timer.Millisecond
	maxSuspension = 6 * timer.Second
	// outlierFailureRate is the failure rate above which a server that still responds is suspended for
	// outlierSuspension, once there are outlierMinSamples samples.
	outlierFailureRate = 0.25
	outlierMinSamples  = 6
	outlierSuspension  = 4 * timer.Second
	// minSlownessSamples is the number of samples above which a server's time to the first byte is taken into account.
	minSlownessSamples = 4
	// loadReportMaxAge is how long a load report counts in full. It then fades out, and after twice that time only
	// this instance's own requests count.
	loadReportMaxAge = 1500 * timer.Millisecond
)

// server is a backend server's announcement together with the state that this instance has collected about it.
type server struct {
	registrar.Member
	*serverState
}

// serverState is what this instance has collected about one incarnation of a backend server.
type serverState struct {
	nameHash uint64
	pool     *exchanger.Pool

	inFlight     atomic.Int64
	prefillQueue prefillQueue
	ration       *rationer.Ration
	places       allotter.Places
	// starts are the requests that the server may get while it is cold. announcedSequence is the sequence of the row that said so last,
	// and announcedCold until when; only SetView uses the two.
	// meter tells how fast the server's machine works.
	meter             gauger.Meter
	starts            allotter.Starts
	announcedSequence int64
	announcedCold     timer.Millis
	// lastByte is the time of the last read from the server, in milliseconds.
	lastByte atomic.Int64
	// busySince is when this instance last had its first request in flight there, in milliseconds.
	busySince atomic.Int64
	// alarmedAt is the time of the last alarm about the server that this instance reported, in milliseconds.
	alarmedAt atomic.Int64
	// onPace and offPace count the answers at the usual pace and the slow ones during roll-outs.
	onPace, offPace atomic.Int64
	// knownSince is when this instance learned of the server, in milliseconds.
	knownSince timer.Millis
	// warmUntil is when the server has warmed up after its start, in milliseconds.
	warmUntil timer.Millis
	// incidentAt is the start of the last incident of broken connections, in milliseconds.
	incidentAt atomic.Int64

	// isLeaving is true once a response has said that the server is leaving; its announcements may not have said so yet.
	isLeaving atomic.Bool

	crashProbe crashProbe

	mu sync.Mutex
	// reportedLoad is the load that the server last reported, and ownAtReport this instance's requests in flight at
	// that time.
	reportedLoad        int
	reportedSlots       int
	ownAtReport         int
	reportedAt          timer.Millis
	consecutiveFailures int
	suspendedUntil      timer.Millis
	failureRate         float64
	outcomeSamples      int
	// relativeFirstByte is the average time to the first byte relative to the route's average; 1 is as usual.
	relativeFirstByte movingAverage
}

func newServer(m registrar.Member, service *rationer.Service, deps exchanger.Deps) *server {
	return &server{Member: m, serverState: &serverState{nameHash: xxhash.Sum64String(m.Name),
		pool: exchanger.NewPool(deps, exchanger.Endpoint{Address: m.Address, DataCentre: m.DataCentre}), ration: service.NewRation()}}
}

// endpoint returns where the server is reached.
func (s *server) endpoint() exchanger.Endpoint {
	return exchanger.Endpoint{Address: s.Address, DataCentre: s.DataCentre}
}

// withMember returns the server with a newer announcement and the same state.
func (s *server) withMember(m registrar.Member) *server {
	return &server{Member: m, serverState: s.serverState}
}

// load estimates the number of requests in flight and queued at the server. Those that have chosen it count before they are sent:
// otherwise requests that choose at the same moment would all choose the same server.
func (s *server) load(now timer.Millis) int {
	own := max(int(s.inFlight.Load()), s.places.Running(now))
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.reportedLoad - s.ownAtReport
	if age := now - s.reportedAt; age > loadReportMaxAge {
		others = others * int(max(0, 2*loadReportMaxAge-age)) / int(loadReportMaxAge)
	}
	return own + max(0, others)
}

// silence returns the time since the last byte from the server, in milliseconds.
func (s *server) silence(now timer.Millis) timer.Millis {
	return now - timer.Millis(s.lastByte.Load())
}

// occupancy returns what is known about the server's places.
func (s *server) occupancy(load int, now timer.Millis) rationer.Occupancy {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := max(1, s.Slots)
	if s.reportedSlots > 0 {
		slots = min(slots, s.reportedSlots)
	}
	return rationer.Occupancy{Slots: slots, Load: load, Own: int(s.inFlight.Load()),
		Told: s.reportedAt > 0 && now-s.reportedAt <= 2*loadReportMaxAge, ToldAge: now - s.reportedAt}
}

// serverKnowledge is what this instance knows about the places of a server at one time, for logs.
type serverKnowledge struct {
	brittle bool
	// knownFor is the time since this instance learned of the server, in milliseconds.
	knownFor  timer.Millis
	occupancy rationer.Occupancy
	// demand and othersDemand are the requests per second for which the server is the first choice, here and elsewhere.
	demand, othersDemand float64
}

func (s *server) knowledge(now timer.Millis) serverKnowledge {
	k := serverKnowledge{brittle: s.ration.IsBrittle(now), knownFor: now - s.knownSince, occupancy: s.occupancy(s.load(now), now)}
	k.demand, k.othersDemand = s.ration.Demand(now)
	return k
}

// updateLoad stores the load that a response reports.
func (s *server) updateLoad(info exchanger.Info, now timer.Millis) {
	if info.Slots == 0 {
		return
	}
	s.meter.Add(info.Running+info.Waiting, info.WorkPercent, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedLoad, s.reportedSlots = info.Running+info.Waiting, info.Slots
	s.ownAtReport = int(s.inFlight.Load())
	s.reportedAt = now
}

// sharedLoadDelay is how long the report of a server to another instance takes to arrive here.
const sharedLoadDelay = 200 * timer.Millisecond

// updateSharedLoad stores the load that the server has reported to another instance, unless it has answered this one since.
func (s *server) updateSharedLoad(load int, now timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-sharedLoadDelay < s.reportedAt {
		return
	}
	s.reportedLoad, s.ownAtReport, s.reportedAt = load, int(s.inFlight.Load()), now
}

// recordSuccess counts a good response and ends a suspension.
func (s *server) recordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures = 0
	s.suspendedUntil = 0
	s.failureRate *= 1 - averageWeight
	s.outcomeSamples++
}

// recordFailure counts a failure. It suspends the server if it could not be reached, after consecutive failures, or if
// its failure rate is too high, and reports whether it did.
func (s *server) recordFailure(now timer.Millis, reachable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.suspendedUntil
	s.consecutiveFailures++
	s.outcomeSamples++
	s.failureRate += averageWeight * (1 - s.failureRate)
	if !reachable || s.consecutiveFailures >= suspendAfterFailures {
		s.suspendedUntil = now + min(minSuspension<<min(s.consecutiveFailures-1, 5), maxSuspension)
	}
	if s.outcomeSamples >= outlierMinSamples && s.failureRate > outlierFailureRate {
		s.suspendedUntil = max(s.suspendedUntil, now+outlierSuspension)
		s.failureRate = outlierFailureRate
	}
	return s.suspendedUntil > before
}

// suspendUntil suspends the server at least until the given time.
func (s *server) suspendUntil(until timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedUntil = max(s.suspendedUntil, until)
}

// availability returns whether the server is suspended and its relative time to the first byte; 1 is as usual.
func (s *server) availability(now timer.Millis) (suspended bool, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowness = 1
	if relative, count := s.relativeFirstByte.get(); count > minSlownessSamples {
		slowness = relative
	}
	return now < s.suspendedUntil, slowness
}

// recordRefusal suspends a server that was full or was not the addressed one.
func (s *server) recordRefusal(now timer.Millis, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusMisdirectedRequest {
		// Another server uses the address now.
		s.suspendedUntil = now + maxSuspension
		return
	}
	s.suspendedUntil = max(s.suspendedUntil, now+fullSuspension)
}

// fullSuspension is how long a full server receives no requests: about the duration of one short request.
const fullSuspension = 60 * timer.Millisecond
