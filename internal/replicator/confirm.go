package replicator

import "github.com/eelgrasshook/eelgrasshook/pkg/timer"

// LeadershipConfirmedAt returns when the newest message that a majority has answered in this term was sent, in
// milliseconds. It returns -1 on a member that does not lead. A read that began before that time sees every committed
// change, even if the process was paused in between.
func (n *Node) LeadershipConfirmedAt(now timer.Millis) timer.Millis {
	if n.role != RoleLeader || n.transferTarget != "" || !n.hasCommittedInTerm() {
		return -1
	}
	return n.quorumAckedSentAt(now)
}

// ConfirmLeadership sends every member a message, so that the responses confirm this node's leadership; now is in
// milliseconds.
func (n *Node) ConfirmLeadership(now timer.Millis) {
	n.now = max(n.now, now)
	if n.role == RoleLeader {
		n.broadcastAppend()
	}
}

// IsCaughtUp reports whether this node leads and the member has acknowledged nearly the whole log.
func (n *Node) IsCaughtUp(id ID) bool {
	p := n.peers[id]
	return n.role == RoleLeader && p != nil && p.matchIndex > 0 && p.matchIndex+maxCaughtUpLag >= n.log.lastIndex()
}
