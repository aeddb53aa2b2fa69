package subscriber

import (
	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// View is an immutable snapshot of the state that the instance has received.
type View struct {
	// Policy is nil until the first one has arrived.
	Policy   *matcher.Policy
	Members  []registrar.Member
	RollOuts []RollOut
	// Evacuations are the data centres that were evacuated, or taken back.
	Evacuations []Evacuation
}

// Evacuation is the state of a data centre with the time of its last change on this instance's clock, in milliseconds.
type Evacuation struct {
	applier.Evacuation
	LocalChangedAt timer.Millis
}

// RollOut is a roll-out with its start time on this instance's clock, in milliseconds.
type RollOut struct {
	applier.RollOut
	LocalStartedAt timer.Millis
}

// Deps holds the dependencies of a subscriber.
type Deps struct {
	Telemetry observer.Telemetry
	Self      messenger.Greeting
	// RegionOf is the region of each data centre; one that is missing is a region of its own.
	RegionOf map[string]string
	Seeds    []string
	// DecodePolicy decodes the text of a policy.
	DecodePolicy func(applier.Policy) (*matcher.Policy, error)
	// Publish receives each new view, on the control goroutine.
	Publish func(View)
	// PendingPrefill returns the prefill of this instance that waits at servers; SetOthersPrefill receives that of the
	// others in the data centre.
	PendingPrefill   func() []messenger.PendingPrefill
	SetOthersPrefill func([]messenger.PendingPrefill)
	// NewOldVersionSessions returns the sessions on the old version of a roll-out that were not reported yet;
	// AddOldVersionSessions receives those of other instances.
	NewOldVersionSessions func() []uint64
	AddOldVersionSessions func([]uint64)
	// SuspendServers receives the alarms of other instances about backend servers.
	SuspendServers func([]messenger.ServerAlarm)
	// AddCrashReports and AddAcquittals receive the evidence of other instances on requests that crash backend servers.
	AddCrashReports func([]quarantiner.CrashReport) []quarantiner.CrashReport
	AddAcquittals   func([]quarantiner.Acquittal)
	// RateReports returns what this instance knows of servers that limit their requests; SetOthersRates receives what the
	// others know.
	RateReports    func() []rationer.Report
	SetOthersRates func([]rationer.Report)
	// PlaceClaims returns the claims for places of brittle servers that have changed, or all of them; SetPlaces applies the
	// answers.
	PlaceClaims func(all bool) []allotter.Claim
	SetPlaces   func([]allotter.Grant)
	// StartClaims returns the claims for starts at cold servers that are due; SetStarts applies the answers.
	StartClaims func() []allotter.StartClaim
	SetStarts   func([]allotter.StartGrant)
	// Readings returns what was read from the answers of servers since the last call, by the server's data centre; SetGauges and
	// SetLoads receive what all instances have read together.
	Readings  func() map[string][]gauger.Report
	SetGauges func([]gauger.Gauge)
	SetLoads  func([]gauger.Load)
	// SetGateways receives instances that connections to backend servers may lead through.
	SetGateways func([]messenger.Gateway)
	// Outcomes returns the answers that this instance counted during running roll-outs.
	Outcomes func() []messenger.Outcomes
}
