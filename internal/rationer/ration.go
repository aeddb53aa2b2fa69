package rationer

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = timer.Second
	// limitHeadroom is the part of a limit that is used: demand that changes between two reports makes the sum of all
	// instances exceed their aim at times.
	limitHeadroom = 0.9
	// minLimit is the lowest rate in effect, in requests per second: without any request, nobody would learn that the
	// server has raised its limit.
	minLimit = 0.2
	// reportAfterEnd is how long a limit that has ended is reported, so that all instances learn of its end.
	reportAfterEnd = 5 * timer.Second
	// demandUnit is the resolution of reported demand, in requests per second; whole units add up to the same sum in any
	// order.
	demandUnit = 0.01
)

// Report is what one instance, or several together, know about the request limit of one incarnation of a backend server.
type Report struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Limit is the rate that the server allows, in requests per second; it has none if Limited is false.
	Limit   float64 `cbor:"3,keyasint,omitempty"`
	Limited bool    `cbor:"4,keyasint,omitempty"`
	// Age is the time since the server said so, in milliseconds.
	Age timer.Millis `cbor:"5,keyasint,omitempty"`
	// DemandUnits is the rate of the requests for which the server was the first choice, in demandUnit.
	DemandUnits int `cbor:"6,keyasint,omitempty"`
	// MaxRefusals is the number of requests per second that the server may have to refuse for want of room before it falls over;
	// only if Brittle is true.
	MaxRefusals float64 `cbor:"7,keyasint,omitempty"`
	Brittle     bool    `cbor:"8,keyasint,omitempty"`
	// Instances is the number of instances that have reported the server, if several have; 0 in the report of one instance.
	Instances int `cbor:"9,keyasint,omitempty"`
}

// Ration decides which requests of this instance a backend server gets while it limits its rate. Each instance sends the
// same part of its demand, the limit divided by the demand of all instances, so that their sum keeps the limit however
// unevenly the demand is spread.
type Ration struct {
	mu      sync.Mutex
	limited bool
	limit   float64
	// statedAt is when the server last stated its limit, or that it has none; limitedAt when it last stated a limit or that it is brittle.
	statedAt, limitedAt timer.Millis
	// demand is the estimate at demandAt, in requests per second.
	demand   float64
	demandAt timer.Millis
	// others is the demand of the other instances, in requests per second, and othersCount their number.
	others      float64
	othersCount int
	// service is what is known of the other servers, which holds until this one has stated something itself.
	service *Service
	// brittle is true if the server falls over when it must refuse more than maxRefusals requests per second.
	brittle     bool
	maxRefusals float64
	// restsUntil is the time before which the server asked to get nothing; 0 if it has not asked.
	restsUntil timer.Millis
	// pausedUntil is until when the server gets no request because it was full.
	pausedUntil timer.Millis
	// placeShare is the part of the slots that all instances use at placeShareAt while the server does not tell its load.
	placeShare   float64
	placeShareAt timer.Millis
	// admitted is the number of requests admitted since admittedSince.
	admitted      int
	admittedSince timer.Millis
	// drawn is a random number from 0 to 1 that holds from drawnAt for placeDraw.
	drawn   float64
	drawnAt timer.Millis
	// credit is the part of a request that may be sent beyond the whole ones.
	credit float64
}

// NewRation returns the ration of a server that has not stated a limit, and is the only one of its service.
func NewRation() *Ration {
	// Instances that start together must not send their first requests together.
	return &Ration{service: &Service{}, credit: rand.Float64(), placeShare: maxPlaceShare}
}

// Observe stores what the server stated with an answer and reports whether that differs from what held before.
func (r *Ration) Observe(limit float64, limited bool, statedAt timer.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if statedAt < r.statedAt {
		return false
	}
	changed := r.limited != limited || limited && r.limit != limit
	r.statedAt, r.limited, r.limit = statedAt, limited, limit
	if limited {
		r.limitedAt = statedAt
	}
	return changed
}

// Demand returns the demand of this instance and of the others, in requests per second.
func (r *Ration) Demand(now timer.Millis) (own, others float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demandNow(now), r.others
}

// SetOthersDemand stores the demand of the other instances, in demandUnit, and their number.
func (r *Ration) SetOthersDemand(units, instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others, r.othersCount = float64(max(0, units))*demandUnit, max(0, instances)
}

// Admit counts a request for which the server is the first choice and reports whether it may be sent there.
func (r *Ration) Admit(now timer.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand, r.demandAt = r.demandNow(now)+float64(timer.Second)/float64(demandWindow), now
	r.countAdmitted(now)
	if !r.limited {
		return true
	}
	r.credit += min(1, r.allowedRate()/(r.demand+r.others))
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Refund returns the place of an admitted request that is not sent.
func (r *Ration) Refund() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limited {
		r.credit++
	}
}

// Pressure returns the demand of all instances in relation to the limit, from 0 to 1; 0 without a limit.
func (r *Ration) Pressure(now timer.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return 0
	}
	return min(1, (r.demandNow(now)+r.others)/r.allowedRate())
}

// allowedRate is the rate that all instances together aim at, in requests per second.
func (r *Ration) allowedRate() float64 {
	return max(minLimit, limitHeadroom*r.limit)
}

// Report returns the report on a server, and false if there is nothing to tell: it has no limit, is not brittle, and neither was so
// lately.
func (r *Ration) Report(server string, incarnation int64, now timer.Millis) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited && !r.brittle && (r.limitedAt == 0 || now-r.limitedAt > reportAfterEnd) {
		return Report{}, false
	}
	return Report{Server: server, Incarnation: incarnation, Limit: r.limit, Limited: r.limited, Age: now - r.statedAt,
		DemandUnits: int(r.demandNow(now) / demandUnit), Brittle: r.brittle, MaxRefusals: r.maxRefusals}, true
}

// demandNow returns the estimate of the demand: each request counts less the longer ago it was.
func (r *Ration) demandNow(now timer.Millis) float64 {
	return r.demand * math.Exp(-float64(max(0, now-r.demandAt))/float64(demandWindow))
}
