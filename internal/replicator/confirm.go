package replicator

import "github.com/eelgrasshook/eelgrasshook/pkg/timer"

// ConfirmedAt returns the sending time, in milliseconds, of the newest message that a majority has answered in this
// term, and -1 on a member that does not lead. A read that began before that time sees every committed change,
// however long the process stood still meanwhile.
func (n *Node) ConfirmedAt(now timer.Millis) timer.Millis {
	if n.role != RoleLeader || n.transfer != "" || !n.committedInTerm() {
		return -1
	}
	return n.quorumAckedAt(now)
}

// Confirm sends every member a message, so that the answers confirm the leadership.
func (n *Node) Confirm(now timer.Millis) {
	n.now = max(n.now, now)
	if n.role == RoleLeader {
		n.broadcast()
	}
}

// CaughtUp reports whether a member holds nearly the whole log, as far as this leader knows.
func (n *Node) CaughtUp(id ID) bool {
	p := n.peers[id]
	return n.role == RoleLeader && p != nil && p.match > 0 && p.match+caughtUpEntries >= n.log.lastIndex()
}
