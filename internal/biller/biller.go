package biller

import (
	"cmp"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Bill is the price of one request for its workspace, and the cost of its attempts for the operator.
type Bill struct {
	Workspace        string       `json:"workspace" cbor:"1,keyasint"`
	Key              string       `json:"key" cbor:"2,keyasint"`
	Digest           string       `json:"digest" cbor:"3,keyasint"`
	RequestID        string       `json:"request-id" cbor:"4,keyasint"`
	Model            string       `json:"model,omitempty" cbor:"5,keyasint,omitempty"`
	Version          string       `json:"version,omitempty" cbor:"6,keyasint,omitempty"`
	Service          string       `json:"service,omitempty" cbor:"7,keyasint,omitempty"`
	PromptTokens     int64        `json:"prompt-tokens" cbor:"8,keyasint"`
	CompletionTokens int64        `json:"completion-tokens" cbor:"9,keyasint"`
	Price            float64      `json:"price" cbor:"10,keyasint"`
	Cost             float64      `json:"cost" cbor:"11,keyasint"`
	At               timer.Millis `json:"at" cbor:"12,keyasint"`
}

type billKey struct {
	workspace string
	key       string
}

// Biller stores at most one bill for each workspace and request key.
type Biller struct {
	// persist writes a bill to this instance's disk.
	persist func([]byte) error
	// replicate stores a copy of a bill on a second instance.
	replicate func([]byte) error
	mu        sync.Mutex
	bills     map[billKey]*entry
}

// entry is one bill; ready is closed once the bill is durable or its write has failed with err.
type entry struct {
	bill  Bill
	ready chan struct{}
	err   error
}

// NewBiller returns a biller that persists bills with the given function; nil keeps bills only in memory.
func NewBiller(persist func([]byte) error) *Biller {
	noop := func([]byte) error { return nil }
	if persist == nil {
		persist = noop
	}
	return &Biller{persist: persist, replicate: noop, bills: map[billKey]*entry{}}
}

// SetPersist sets the function that persists bills on this instance; it must be called before the first bill.
func (b *Biller) SetPersist(persist func([]byte) error) {
	b.persist = persist
}

// SetReplicate sets the function that copies bills to a second instance; it must be called before the first bill.
func (b *Biller) SetReplicate(replicate func([]byte) error) {
	b.replicate = replicate
}

// Replay loads an encoded bill from the journal; it fails if the payload cannot be decoded.
func (b *Biller) Replay(payload []byte) error {
	var bill Bill
	if err := cbor.Unmarshal(payload, &bill); err != nil {
		return trace.Wrap(err)
	}
	ready := make(chan struct{})
	close(ready)
	k := billKey{bill.Workspace, bill.Key}
	if _, exists := b.bills[k]; !exists {
		b.bills[k] = &entry{bill: bill, ready: ready}
	}
	return nil
}

// AddReplica persists a copy of another instance's encoded bill; it fails if the bill cannot be written or decoded.
func (b *Biller) AddReplica(payload []byte) error {
	if err := b.persist(payload); err != nil {
		return trace.Wrap(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Replay(payload)
}

// Add stores a bill unless its key has one, and returns once the key's bill is durable; first reports whether it is
// this one. It fails if the bill cannot be encoded, persisted or replicated; the key can then be billed again.
func (b *Biller) Add(bill Bill) (first bool, err error) {
	e, first := b.reserve(bill)
	if !first {
		<-e.ready
		return false, e.err
	}
	e.err = b.store(bill)
	if e.err != nil {
		b.remove(bill)
	}
	close(e.ready)
	return true, e.err
}

func (b *Biller) reserve(bill Bill) (*entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := billKey{bill.Workspace, bill.Key}
	if e, ok := b.bills[k]; ok {
		return e, false
	}
	e := &entry{bill: bill, ready: make(chan struct{})}
	b.bills[k] = e
	return e, true
}

func (b *Biller) store(bill Bill) error {
	payload, err := cbor.Marshal(bill)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := b.persist(payload); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(b.replicate(payload))
}

func (b *Biller) remove(bill Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.bills, billKey{bill.Workspace, bill.Key})
}

// Digest returns the digest of the request that was billed under the key, and false if there is none.
func (b *Biller) Digest(workspace, requestKey string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.bills[billKey{workspace, requestKey}]
	if !ok {
		return "", false
	}
	return e.bill.Digest, true
}

// Bills returns all durable bills, sorted by time, workspace and key.
func (b *Biller) Bills() []Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Bill, 0, len(b.bills))
	for _, e := range b.bills {
		select {
		case <-e.ready:
			list = append(list, e.bill)
		default:
		}
	}
	slices.SortFunc(list, compareBills)
	return list
}

func compareBills(a, b Bill) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
}

// Total is the sum of the bills of one workspace.
type Total struct {
	Workspace string  `json:"workspace"`
	Requests  int     `json:"requests"`
	Price     float64 `json:"price"`
	Cost      float64 `json:"cost"`
}

// Totals sums the bills of all instances by workspace. Each key counts once: copies of one bill and bills that two
// instances wrote for one key during a partition are not added again. conflicts counts the bills whose digest differs
// from the first bill of the same key.
func Totals(bills []Bill) (totals []Total, conflicts int) {
	firstBills := map[billKey]Bill{}
	byWorkspace := map[string]Total{}
	for _, bill := range bills {
		k := billKey{bill.Workspace, bill.Key}
		if first, ok := firstBills[k]; ok {
			if first.Digest != bill.Digest {
				conflicts++
			}
			continue
		}
		firstBills[k] = bill
		t := byWorkspace[bill.Workspace]
		t.Workspace = bill.Workspace
		t.Requests++
		t.Price += bill.Price
		t.Cost += bill.Cost
		byWorkspace[bill.Workspace] = t
	}
	for _, t := range byWorkspace {
		totals = append(totals, t)
	}
	slices.SortFunc(totals, func(a, b Total) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return totals, conflicts
}
