package messenger

import (
	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Greeting is the first message on a line.
type Greeting struct {
	Instance   string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is where the instance takes lines; empty on entry instances, which take none.
	Address string `cbor:"3,keyasint,omitempty"`
	// Member is the instance's identity in the record, empty without a disk.
	Member   replicator.ID `cbor:"4,keyasint,omitempty"`
	Stopping bool          `cbor:"5,keyasint,omitempty"`
	// Incarnation tells the starts of an instance apart.
	Incarnation int64 `cbor:"6,keyasint,omitempty"`
}

// Outcomes counts what one entry instance saw of a version on one route during a roll-out, since its start; a row
// without a route tells how many requests run.
type Outcomes struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Target  string `cbor:"3,keyasint"`
	Good    int    `cbor:"4,keyasint"`
	Bad     int    `cbor:"5,keyasint"`
	Slow    int    `cbor:"6,keyasint"`
	Running int    `cbor:"7,keyasint"`
	Route   string `cbor:"8,keyasint,omitempty"`
}

// Packet is one message on a line between two instances; only the fields that have news are set.
type Packet struct {
	Greeting *Greeting           `cbor:"1,keyasint,omitempty"`
	Raft     *replicator.Message `cbor:"2,keyasint,omitempty"`
	Members  []registrar.Member  `cbor:"3,keyasint,omitempty"`
	Policy   *applier.Policy     `cbor:"4,keyasint,omitempty"`
	RollOuts []RollOut           `cbor:"5,keyasint,omitempty"`
	// Control lists the addresses of control instances.
	Control  []string   `cbor:"6,keyasint,omitempty"`
	Outcomes []Outcomes `cbor:"7,keyasint,omitempty"`
	// Crashers are digests of requests that crashed backend servers.
	Crashers []uint64 `cbor:"8,keyasint,omitempty"`
	// Offer is a policy version that the sender can send, and Want one that the sender asks for.
	Offer int64 `cbor:"9,keyasint,omitempty"`
	Want  int64 `cbor:"10,keyasint,omitempty"`
	// Work is what an entry instance has sent to servers, and OthersWork what the others of its data centre have, where
	// TellsWork is set.
	Work       []Work `cbor:"13,keyasint,omitempty"`
	OthersWork []Work `cbor:"14,keyasint,omitempty"`
	TellsWork  bool   `cbor:"15,keyasint,omitempty"`
	// Holdovers are sessions that stay on the old version in the first half of a roll-out.
	Holdovers []uint64 `cbor:"16,keyasint,omitempty"`
	// Call asks the leader, and Reply answers.
	Call  *Call  `cbor:"11,keyasint,omitempty"`
	Reply *Reply `cbor:"12,keyasint,omitempty"`
}

// Call is a question to the leader of the record; exactly one field besides the id is set.
type Call struct {
	ID          uint64           `cbor:"1,keyasint"`
	Command     *applier.Command `cbor:"2,keyasint,omitempty"`
	ReadPolicy  bool             `cbor:"3,keyasint,omitempty"`
	ReadRollOut string           `cbor:"4,keyasint,omitempty"`
}

// Reply answers a call.
type Reply struct {
	ID      uint64           `cbor:"1,keyasint"`
	Error   string           `cbor:"2,keyasint,omitempty"`
	Result  applier.Result   `cbor:"3,keyasint"`
	Policy  *applier.Policy  `cbor:"4,keyasint,omitempty"`
	RollOut *applier.RollOut `cbor:"5,keyasint,omitempty"`
}

// RollOut is a roll-out with its age, which does not depend on the receiver's time of day.
type RollOut struct {
	applier.RollOut
	Elapsed timer.Millis `cbor:"20,keyasint"`
}

// Work is the prompt reading that an instance, or several, have sent to a server and that waits there.
type Work struct {
	Server string `cbor:"1,keyasint"`
	// Waiting is the work for each urgency in workUnit milliseconds, without trailing zeros.
	Waiting []uint16 `cbor:"2,keyasint"`
}

// workUnit is the resolution of told work, in milliseconds: prompts take tens to hundreds.
const workUnit = 4

// NewWork returns the told form of the work at a server.
func NewWork(server string, ms []float64) Work {
	w := Work{Server: server}
	last := 0
	for u, v := range ms {
		units := uint16(min(max(0, v)/workUnit, 1<<15))
		w.Waiting = append(w.Waiting, units)
		if units > 0 {
			last = u + 1
		}
	}
	w.Waiting = w.Waiting[:last]
	return w
}

// Millis returns the work for each urgency in milliseconds.
func (w Work) Millis() []float64 {
	list := make([]float64, len(w.Waiting))
	for u, units := range w.Waiting {
		list[u] = float64(units) * workUnit
	}
	return list
}
