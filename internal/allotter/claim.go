package allotter

import (
	"github.com/cespare/xxhash/v2"
)

// Claim is what one instance holds and wants of a server's places.
type Claim struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// DataCentre and Slots are those that the server announces.
	DataCentre string `cbor:"3,keyasint"`
	Slots      int    `cbor:"4,keyasint"`
	// MaxRefusals is the number of requests per second that the server may have to refuse before it falls over.
	MaxRefusals float64 `cbor:"5,keyasint,omitempty"`
	// Held is the number of places that the instance uses or may use, and Wanted how many it could use now.
	Held   int `cbor:"6,keyasint,omitempty"`
	Wanted int `cbor:"7,keyasint,omitempty"`
	// Sequence numbers the claims of the instance; Reduced is that of the last one with which it gave up places.
	Sequence uint64 `cbor:"8,keyasint"`
	Reduced  uint64 `cbor:"9,keyasint,omitempty"`
	// Refusals counts the requests of the instance that the server has refused for want of room.
	Refusals int `cbor:"10,keyasint,omitempty"`
}

// Grant is how many of a server's places an instance may use, all in all.
type Grant struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Places      int    `cbor:"3,keyasint,omitempty"`
	// Sequence is that of the last claim that the keeper of the ledger has seen.
	Sequence uint64 `cbor:"4,keyasint"`
}

// Candidate is a control instance that may keep ledgers.
type Candidate struct {
	Instance, DataCentre string
}

// NearKeeper returns the candidate that paces the starts at a cold server, and false if there is none: only one in the server's data
// centre does. Instances that reach different parts of the fleet would otherwise have two keepers, whose starts add up.
func NearKeeper(server, dataCentre string, candidates []Candidate) (keeper Candidate, found bool) {
	k, ok := Keeper(server, dataCentre, candidates)
	return k, ok && k.DataCentre == dataCentre
}

// Keeper returns the candidate that keeps the ledger of a server, and false if there is none: one in the server's data centre,
// which most claims come from, if there is one.
func Keeper(server, dataCentre string, candidates []Candidate) (keeper Candidate, found bool) {
	var highest uint64
	isNear := false
	for _, c := range candidates {
		near := c.DataCentre == dataCentre
		hash := xxhash.Sum64String(server + "\x00" + c.Instance)
		if !found || near && !isNear || near == isNear && hash > highest {
			keeper, found, isNear, highest = c, true, near, hash
		}
	}
	return keeper, found
}
