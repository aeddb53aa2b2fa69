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
	// callTimeout bounds a call to the leader with all its attempts. Operators try another instance after a second without an answer,
	// so a later one would reach nobody.
	callTimeout = 900 * timer.Millisecond
	// callAttemptTimeout bounds one attempt: a round trip to the farthest majority and a disk sync take tens of
	// milliseconds.
	callAttemptTimeout = 800 * timer.Millisecond
	// callRetryDelay is the delay between attempts.
	callRetryDelay = 50 * timer.Millisecond
)

// callLeader sends a call to the current leader and retries until callTimeout; all calls are idempotent.
func (s *Steward) callLeader(ctx context.Context, c messenger.Call) (messenger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	for {
		reply, err := s.callLeaderOnce(ctx, c)
		if err == nil {
			return reply, nil
		}
		if sleepErr := s.deps.Telemetry.Clock.Sleep(ctx, callRetryDelay); sleepErr != nil {
			return messenger.Reply{}, trace.ConnectionProblem(err, "the record cannot be reached: %v", err)
		}
	}
}

// callLeaderOnce makes one attempt; on the leader itself it answers the call locally.
func (s *Steward) callLeaderOnce(ctx context.Context, c messenger.Call) (messenger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callAttemptTimeout.Duration())
	defer cancel()
	status := s.deps.Record.Status()
	if status.Role == replicator.RoleLeader {
		return s.answerAsLeader(ctx, c)
	}
	leader := recorder.InstanceOf(status.Leader)
	s.mu.Lock()
	conn := s.connectionByAddress[leader]
	s.lastCallID++
	c.ID = s.lastCallID
	replies := make(chan messenger.Reply, 1)
	s.pendingCalls[c.ID] = replies
	s.mu.Unlock()
	defer s.removePendingCall(c.ID)
	if conn == nil {
		return messenger.Reply{}, trace.ConnectionProblem(nil, "no leader is reached; the last one known is %q", leader)
	}
	conn.Send(messenger.Packet{Call: &c})
	select {
	case reply := <-replies:
		if reply.Error != "" {
			return reply, trace.ConnectionProblem(nil, "instance %s: %s", leader, reply.Error)
		}
		return reply, nil
	case <-conn.Closed():
		return messenger.Reply{}, trace.ConnectionProblem(nil, "the line to the leader %s broke", leader)
	case <-ctx.Done():
		return messenger.Reply{}, trace.ConnectionProblem(ctx.Err(), "the leader %s did not answer in time", leader)
	}
}

func (s *Steward) removePendingCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingCalls, id)
}

// deliverReply passes a reply to the waiting caller and drops it if the caller has given up.
func (s *Steward) deliverReply(r messenger.Reply) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if replies := s.pendingCalls[r.ID]; replies != nil {
		select {
		case replies <- r:
		default:
		}
	}
}

// runCall answers a call of another control instance. Links end after the steward's goroutines, so it is none of them.
func (s *Steward) runCall(conn *messenger.Link, c messenger.Call) {
	ctx, cancel := context.WithTimeout(s.tomb.Context(context.Background()), callAttemptTimeout.Duration())
	defer cancel()
	reply, err := s.answerAsLeader(ctx, c)
	if err != nil {
		reply.Error = err.Error()
	}
	reply.ID = c.ID
	conn.Send(messenger.Packet{Reply: &reply})
}

// answerAsLeader commits a command, or does a linearizable read that a majority confirms.
func (s *Steward) answerAsLeader(ctx context.Context, c messenger.Call) (messenger.Reply, error) {
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
