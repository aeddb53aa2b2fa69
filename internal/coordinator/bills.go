package coordinator

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// billSpan is how long another instance may take to hold a bill.
const billSpan = timer.Second

// maxUnshared bounds the bills that wait for a second holder.
const maxUnshared = 100_000

// ShareBill lets a second instance hold a bill, one of the own data centre first. A bill that nobody takes now, because
// the others are out of reach, does not keep the caller from the end of the answer: it is shared later.
func (c *Coordinator) ShareBill(payload []byte) error {
	if c.tryShare(payload) || len(c.peers.all()) == 0 {
		return nil
	}
	c.deps.Common.Counter("bills.unshared").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unshared) >= maxUnshared {
		return trace.LimitExceeded("%d bills wait for a second holder", maxUnshared)
	}
	c.unshared = append(c.unshared, payload)
	return nil
}

func (c *Coordinator) tryShare(payload []byte) bool {
	for _, p := range c.billHolders() {
		if err := c.shareWith(p, payload); err == nil {
			return true
		}
	}
	return false
}

// shareLeftover finds second holders for bills that had none.
func (c *Coordinator) shareLeftover() {
	c.mu.Lock()
	list := c.unshared
	c.unshared = nil
	c.mu.Unlock()
	for n, payload := range list {
		if c.tryShare(payload) {
			continue
		}
		c.mu.Lock()
		c.unshared = append(c.unshared, list[n:]...)
		c.mu.Unlock()
		return
	}
}

// billHolders returns instances in reach, those of the own data centre first.
func (c *Coordinator) billHolders() []string {
	var near, far []string
	for _, p := range c.reached() {
		if p.DataCentre == c.deps.Self.DataCentre {
			near = append(near, p.Name)
			continue
		}
		far = append(far, p.Name)
	}
	return append(near, far...)
}

func (c *Coordinator) shareWith(instance string, payload []byte) error {
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), billSpan.Duration())
	defer cancel()
	answer, err := c.mesh.Call(ctx, instance, messenger.Envelope{Bill: payload})
	if err != nil {
		return err
	}
	if answer.Billed.Error != "" {
		return trace.Errorf("instance %s: %s", instance, answer.Billed.Error)
	}
	return nil
}

// runBill holds a bill for another instance and answers it.
func (c *Coordinator) runBill(e messenger.Envelope) error {
	var b messenger.Billed
	if err := c.deps.Bills.Hold(e.Bill); err != nil {
		b.Error = err.Error()
	}
	c.mesh.Send(e.From, messenger.Envelope{Call: e.Call, Billed: &b})
	return nil
}
