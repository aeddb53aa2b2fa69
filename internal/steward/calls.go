package steward

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// askSpan bounds a question to the record with all its tries; operators turn elsewhere after about a second.
	askSpan = 2500 * timer.Millisecond
	// tryAskSpan is how long one leader may take: a round to the farthest majority and a sync take tens of milliseconds.
	tryAskSpan = 800 * timer.Millisecond
	// askPause is the time before the leader is asked again.
	askPause = 50 * timer.Millisecond
)

// ask has the leader answer a question, whichever instance leads. All questions may be asked again.
func (s *Steward) ask(ctx context.Context, c messenger.Call) (messenger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askSpan.Duration())
	defer cancel()
	for {
		reply, err := s.tryAsk(ctx, c)
		if err == nil {
			return reply, nil
		}
		if slept := s.deps.Common.Clock.Sleep(ctx, askPause); slept != nil {
			return messenger.Reply{}, trace.ConnectionProblem(err, "the record cannot be reached: %v", err)
		}
	}
}

func (s *Steward) tryAsk(ctx context.Context, c messenger.Call) (messenger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryAskSpan.Duration())
	defer cancel()
	status := s.deps.Record.Status()
	if status.Role == replicator.RoleLeader {
		return s.answer(ctx, c)
	}
	leader := recorder.InstanceOf(status.Leader)
	s.mu.Lock()
	l := s.byAddress[leader]
	s.lastCall++
	c.ID = s.lastCall
	replies := make(chan messenger.Reply, 1)
	s.calls[c.ID] = replies
	s.mu.Unlock()
	defer s.forgetCall(c.ID)
	if l == nil {
		return messenger.Reply{}, trace.ConnectionProblem(nil, "no leader is reached; the last one known is %q", leader)
	}
	l.Send(messenger.Packet{Call: &c})
	select {
	case reply := <-replies:
		if reply.Error != "" {
			return reply, trace.ConnectionProblem(nil, "instance %s: %s", leader, reply.Error)
		}
		return reply, nil
	case <-l.Closed():
		return messenger.Reply{}, trace.ConnectionProblem(nil, "the line to the leader %s broke", leader)
	case <-ctx.Done():
		return messenger.Reply{}, trace.ConnectionProblem(ctx.Err(), "the leader %s did not answer in time", leader)
	}
}

func (s *Steward) forgetCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// takeReply hands a reply to whoever waits for it.
func (s *Steward) takeReply(r messenger.Reply) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if replies := s.calls[r.ID]; replies != nil {
		select {
		case replies <- r:
		default:
		}
	}
}

// runCall answers another control instance.
func (s *Steward) runCall(l *messenger.Line, c messenger.Call) error {
	ctx, cancel := context.WithTimeout(s.tomb.Context(context.Background()), tryAskSpan.Duration())
	defer cancel()
	reply, err := s.answer(ctx, c)
	if err != nil {
		reply.Error = err.Error()
	}
	reply.ID = c.ID
	l.Send(messenger.Packet{Reply: &reply})
	return nil
}

// answer commits a command, or reads with the confirmation of a majority.
func (s *Steward) answer(ctx context.Context, c messenger.Call) (messenger.Reply, error) {
	var reply messenger.Reply
	if c.Command != nil {
		result, err := s.deps.Record.Propose(ctx, *c.Command)
		reply.Result = result
		return reply, errors.Join(err, result.Err())
	}
	err := s.deps.Record.ReadConfirmed(ctx, func(state *applier.State) {
		if c.ReadPolicy {
			p := state.Policy()
			reply.Policy = &p
			return
		}
		if r, ok := state.RollOut(c.ReadRollOut); ok {
			reply.RollOut = &r
		}
	})
	return reply, err
}
