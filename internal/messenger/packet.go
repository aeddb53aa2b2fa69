package messenger

import (
	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Greeting is the first message on a link; it identifies the sender.
type Greeting struct {
	Instance   string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is where the instance accepts links; empty on entry instances, which accept none.
	Address string `cbor:"3,keyasint,omitempty"`
	// Member is the instance's member id in the record; empty on instances that hold no member.
	Member   replicator.ID `cbor:"4,keyasint,omitempty"`
	Stopping bool          `cbor:"5,keyasint,omitempty"`
	// Incarnation differs for each start of an instance.
	Incarnation int64 `cbor:"6,keyasint,omitempty"`
	// Gateway is the address at which an entry instance relays the connections of others to backend servers; empty if it
	// does not, for instance because it does not reach the servers itself. An entry instance sends a new greeting when it changes.
	Gateway string `cbor:"7,keyasint,omitempty"`
}

// Gateway is an entry instance that relays the connections of others to backend servers.
type Gateway struct {
	Address    string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
}

// Outcomes counts the answers that one entry instance has seen from a version on one route during a roll-out, as totals
// since the roll-out or the instance started; a row without a route gives only the number of requests in flight.
type Outcomes struct {
	Service  string `cbor:"1,keyasint"`
	Version  string `cbor:"2,keyasint"`
	Target   string `cbor:"3,keyasint"`
	Good     int    `cbor:"4,keyasint"`
	Bad      int    `cbor:"5,keyasint"`
	Slow     int    `cbor:"6,keyasint"`
	InFlight int    `cbor:"7,keyasint"`
	Route    string `cbor:"8,keyasint,omitempty"`
	// OnPace and OffPace count the answers that took as long as usual on the versions before, and the slow ones.
	OnPace  int `cbor:"9,keyasint,omitempty"`
	OffPace int `cbor:"10,keyasint,omitempty"`
	// PaceByServer counts the same answers by server, in a row without a route.
	PaceByServer PaceByServer `cbor:"11,keyasint,omitempty"`
}

// paceGroups is the number of groups that the servers of a version are divided into by their name.
const paceGroups = 64

// PaceByServer counts the answers at the usual pace and the slow ones of each group of servers, without empty groups.
type PaceByServer map[uint8]PaceCount

// PaceCount is a number of answers at the usual pace, and of slow ones.
type PaceCount struct {
	On  int `cbor:"1,keyasint,omitempty"`
	Off int `cbor:"2,keyasint,omitempty"`
}

// Add adds the answers of the server whose name has the given hash.
func (p PaceByServer) Add(nameHash uint64, c PaceCount) {
	if c.On+c.Off > 0 {
		p.addGroup(uint8(nameHash%paceGroups), c)
	}
}

// Merge adds all answers of another count.
func (p PaceByServer) Merge(other PaceByServer) {
	for group, c := range other {
		p.addGroup(group, c)
	}
}

func (p PaceByServer) addGroup(group uint8, c PaceCount) {
	sum := p[group]
	p[group] = PaceCount{On: sum.On + c.On, Off: sum.Off + c.Off}
}

// IsSpread reports whether most groups have their share of the slow answers. Otherwise, single servers are slow.
func (p PaceByServer) IsSpread() bool {
	var total PaceCount
	for _, c := range p {
		total = PaceCount{On: total.On + c.On, Off: total.Off + c.Off}
	}
	spread := 0
	for _, c := range p {
		// The share of the group is at least half of the share of all.
		if 2*c.Off*(total.On+total.Off) >= total.Off*(c.On+c.Off) {
			spread++
		}
	}
	return 2*spread > len(p)
}

// Packet is one message on a link between two instances; only fields with new information are set.
type Packet struct {
	Greeting *Greeting           `cbor:"1,keyasint,omitempty"`
	Raft     *replicator.Message `cbor:"2,keyasint,omitempty"`
	Members  []registrar.Member  `cbor:"3,keyasint,omitempty"`
	// Withdrawals are those of servers whose withdrawn incarnation the sender does not know.
	Withdrawals []registrar.Withdrawal `cbor:"29,keyasint,omitempty"`
	Policy      *applier.Policy        `cbor:"4,keyasint,omitempty"`
	RollOuts    []RollOut              `cbor:"5,keyasint,omitempty"`
	// Evacuations lists the data centres that were evacuated, or taken back.
	Evacuations []Evacuation `cbor:"30,keyasint,omitempty"`
	// ControlAddresses lists the addresses of control instances.
	ControlAddresses []string   `cbor:"6,keyasint,omitempty"`
	Outcomes         []Outcomes `cbor:"7,keyasint,omitempty"`
	// OfferedPolicyVersion is a policy version that the sender can send; RequestedPolicyVersion is one that the sender
	// requests.
	OfferedPolicyVersion   int64 `cbor:"9,keyasint,omitempty"`
	RequestedPolicyVersion int64 `cbor:"10,keyasint,omitempty"`
	// PendingPrefill is the outstanding prefill that an entry instance has sent to servers; OthersPendingPrefill is that
	// of the other entry instances in its data centre. HasPendingPrefill is set when the packet reports either, even if
	// the list is empty.
	PendingPrefill       []PendingPrefill `cbor:"13,keyasint,omitempty"`
	OthersPendingPrefill []PendingPrefill `cbor:"14,keyasint,omitempty"`
	HasPendingPrefill    bool             `cbor:"15,keyasint,omitempty"`
	// OldVersionSessions lists the sessions that stay on the old version in the first half of a roll-out.
	OldVersionSessions []uint64 `cbor:"16,keyasint,omitempty"`
	// ServerAlarms lists backend servers that fail.
	ServerAlarms []ServerAlarm `cbor:"17,keyasint,omitempty"`
	// SyncRequest asks a control instance for a reply with the same number as SyncReply. Since a link keeps the order of
	// packets, the reply shows that everything the control instance had sent before has arrived.
	SyncRequest uint64 `cbor:"18,keyasint,omitempty"`
	SyncReply   uint64 `cbor:"19,keyasint,omitempty"`
	// RequestsRoster asks a control instance for all rows of its roster.
	RequestsRoster bool `cbor:"20,keyasint,omitempty"`
	// CrashReports and Acquittals are new evidence on requests that crash backend servers; the key 8 was used for digests of
	// such requests.
	CrashReports []quarantiner.CrashReport `cbor:"21,keyasint,omitempty"`
	Acquittals   []quarantiner.Acquittal   `cbor:"22,keyasint,omitempty"`
	// RateReports are what an entry instance knows of servers that limit their requests, or, sent by a control instance, what
	// the others know. HasRateReports is set when the packet reports either, even if the list is empty.
	RateReports    []rationer.Report `cbor:"23,keyasint,omitempty"`
	HasRateReports bool              `cbor:"24,keyasint,omitempty"`
	// RequestsGateways asks a control instance for some entry instances that relay connections, which it sends as Gateways.
	RequestsGateways bool      `cbor:"25,keyasint,omitempty"`
	Gateways         []Gateway `cbor:"26,keyasint,omitempty"`
	// PlaceClaims are what an entry instance holds and wants of the places of brittle servers; PlaceGrants are the answers of the
	// control instance that keeps their ledgers.
	PlaceClaims []allotter.Claim `cbor:"27,keyasint,omitempty"`
	PlaceGrants []allotter.Grant `cbor:"28,keyasint,omitempty"`
	// StartClaims are the requests that an entry instance wants to start at cold servers; StartGrants are the answers of the control
	// instance that paces them.
	StartClaims []allotter.StartClaim `cbor:"31,keyasint,omitempty"`
	StartGrants []allotter.StartGrant `cbor:"32,keyasint,omitempty"`
	// Readings are what an entry instance has read from the answers of servers; Gauges are the estimates of their machines by the
	// control instance that keeps the readings.
	Readings []gauger.Report `cbor:"33,keyasint,omitempty"`
	Gauges   []gauger.Gauge  `cbor:"34,keyasint,omitempty"`
	// Loads are those of servers that have answered any instance lately.
	Loads []gauger.Load `cbor:"35,keyasint,omitempty"`
	// Call is a request to the leader; Reply is its response.
	Call  *Call  `cbor:"11,keyasint,omitempty"`
	Reply *Reply `cbor:"12,keyasint,omitempty"`
}

// ServerAlarm reports that one incarnation of a backend server fails the requests of an entry instance. Refused means that
// its address refuses connections, which holds for every instance.
type ServerAlarm struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Refused     bool   `cbor:"3,keyasint,omitempty"`
	// Full means that the server is brittle and had no room for a request: no instance should send it any for a while.
	Full bool `cbor:"4,keyasint,omitempty"`
}

// Call is a request to the leader of the record; exactly one field besides ID is set.
type Call struct {
	ID          uint64           `cbor:"1,keyasint"`
	Command     *applier.Command `cbor:"2,keyasint,omitempty"`
	ReadPolicy  bool             `cbor:"3,keyasint,omitempty"`
	ReadRollOut string           `cbor:"4,keyasint,omitempty"`
}

// Reply is the response to the call with the same ID.
type Reply struct {
	ID      uint64           `cbor:"1,keyasint"`
	Error   string           `cbor:"2,keyasint,omitempty"`
	Result  applier.Result   `cbor:"3,keyasint"`
	Policy  *applier.Policy  `cbor:"4,keyasint,omitempty"`
	RollOut *applier.RollOut `cbor:"5,keyasint,omitempty"`
}

// RollOut is a roll-out with the time since its start in milliseconds, so that clocks of instances need not agree.
type RollOut struct {
	applier.RollOut
	Elapsed timer.Millis `cbor:"20,keyasint"`
}

// Evacuation is the state of a data centre with the time since its last change in milliseconds.
type Evacuation struct {
	applier.Evacuation
	Elapsed timer.Millis `cbor:"20,keyasint"`
}

// PendingPrefill is the outstanding prefill at one server that one or several entry instances have sent there.
type PendingPrefill struct {
	Server string `cbor:"1,keyasint"`
	// QueuedUnits is the outstanding prefill for each urgency in units of prefillUnitMillis, without trailing zeros.
	QueuedUnits []uint16 `cbor:"2,keyasint"`
}

// prefillUnitMillis is the resolution of reported prefill in milliseconds; the prefill of a prompt takes tens to
// hundreds.
const prefillUnitMillis = 4

// NewPendingPrefill returns the report on the outstanding prefill at a server, given in milliseconds for each urgency.
func NewPendingPrefill(server string, ms []float64) PendingPrefill {
	p := PendingPrefill{Server: server}
	trimmedLen := 0
	for u, v := range ms {
		units := uint16(min(max(0, v)/prefillUnitMillis, 1<<15))
		p.QueuedUnits = append(p.QueuedUnits, units)
		if units > 0 {
			trimmedLen = u + 1
		}
	}
	p.QueuedUnits = p.QueuedUnits[:trimmedLen]
	return p
}

// Millis returns the outstanding prefill for each urgency in milliseconds.
func (p PendingPrefill) Millis() []float64 {
	list := make([]float64, len(p.QueuedUnits))
	for u, units := range p.QueuedUnits {
		list[u] = float64(units) * prefillUnitMillis
	}
	return list
}
