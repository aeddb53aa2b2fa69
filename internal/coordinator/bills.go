package coordinator

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// billTimeout bounds one attempt to store a bill on another instance.
const billTimeout = timer.Second

// maxUnreplicatedBills bounds the bills that wait for a copy on a second instance.
const maxUnreplicatedBills = 100_000

// ReplicateBill stores a copy of a bill on a second instance, preferably in the same data centre. If no other instance
// is reachable, ReplicateBill queues the bill for a retry and returns, so that the caller still gets the end of the
// answer. It returns an error if the queue is full. With no other instance known, it does nothing.
func (c *Coordinator) ReplicateBill(payload []byte) error {
	if c.tryReplicateBill(payload) || len(c.peers.all()) == 0 {
		return nil
	}
	c.deps.Telemetry.Counter("bills.unshared").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unreplicatedBills) >= maxUnreplicatedBills {
		return trace.LimitExceeded("%d bills wait for a second holder", maxUnreplicatedBills)
	}
	c.unreplicatedBills = append(c.unreplicatedBills, payload)
	return nil
}

// tryReplicateBill tries the other instances in turn until one has stored the bill, and reports whether one has.
func (c *Coordinator) tryReplicateBill(payload []byte) bool {
	for _, p := range c.billReplicaCandidates() {
		if err := c.sendBill(p, payload); err == nil {
			return true
		}
	}
	return false
}

// retryUnreplicatedBills tries again to replicate the queued bills; it stops at the first that fails.
func (c *Coordinator) retryUnreplicatedBills() {
	c.mu.Lock()
	list := c.unreplicatedBills
	c.unreplicatedBills = nil
	c.mu.Unlock()
	for n, payload := range list {
		if c.tryReplicateBill(payload) {
			continue
		}
		c.mu.Lock()
		c.unreplicatedBills = append(c.unreplicatedBills, list[n:]...)
		c.mu.Unlock()
		return
	}
}

// billReplicaCandidates returns the names of the reachable instances, those of the same data centre first.
func (c *Coordinator) billReplicaCandidates() []string {
	var local, remote []string
	for _, p := range c.reachablePeers() {
		if p.DataCentre == c.deps.Self.DataCentre {
			local = append(local, p.Name)
			continue
		}
		remote = append(remote, p.Name)
	}
	return append(local, remote...)
}

func (c *Coordinator) sendBill(instance string, payload []byte) error {
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), billTimeout.Duration())
	defer cancel()
	answer, err := c.mesh.Call(ctx, instance, messenger.Envelope{Bill: payload})
	if err != nil {
		return err
	}
	if answer.BillReply.Error != "" {
		return trace.Errorf("instance %s: %s", instance, answer.BillReply.Error)
	}
	return nil
}

// runStoreBill stores a copy of another instance's bill and replies to that instance.
func (c *Coordinator) runStoreBill(e messenger.Envelope) error {
	var b messenger.BillReply
	if err := c.deps.Biller.AddReplica(e.Bill); err != nil {
		b.Error = err.Error()
	}
	c.mesh.Send(e.From, messenger.Envelope{CallID: e.CallID, BillReply: &b})
	return nil
}
