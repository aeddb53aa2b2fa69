package replicator

import (
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Tick advances the node's clock to now, in milliseconds, and starts elections or sends heartbeats that are due.
func (n *Node) Tick(now timer.Millis) {
	n.now = max(n.now, now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.members.IsVoter(n.cfg.ID) && (n.now-n.electionTimerStart >= n.electionTimeout || n.isOnlyVoter()) {
		n.startPreVote()
	}
}

// isOnlyVoter reports whether the group has one voter, so that no other member can hold a lease.
func (n *Node) isOnlyVoter() bool {
	return len(n.members.Voters) == 1
}

// tickLeader sends heartbeats. It steps down if a quorum has not responded within the election timeout or a leadership
// transfer has not completed within it.
func (n *Node) tickLeader() {
	quorumRespondedAt := quorumValue(n.members.Voters, func(id ID) timer.Millis {
		if id == n.cfg.ID {
			return n.now
		}
		return n.peers[id].respondedAt
	})
	transferFailed := n.transferTarget != "" && n.now-n.transferStartedAt > n.cfg.ElectionTimeout
	if n.now-quorumRespondedAt > n.cfg.ElectionTimeout || transferFailed {
		n.becomeFollower(n.vote.Term, "")
		return
	}
	if n.now-n.broadcastAt >= n.cfg.HeartbeatInterval {
		n.broadcastAppend()
	}
}

// startPreVote asks the voters whether they would vote for this node, without raising the term.
func (n *Node) startPreVote() {
	n.electionTimerStart = n.now
	n.drawElectionTimeout()
	n.leader = ""
	n.role = RolePreCandidate
	n.requestVotes(MessagePreVote, n.vote.Term+1, false)
}

// startElection raises the term and requests votes; isTransfer marks an election that the leader itself requested.
func (n *Node) startElection(isTransfer bool) {
	n.role = RoleCandidate
	n.electionTimerStart = n.now
	n.leader = ""
	n.drawElectionTimeout()
	n.setVote(VoteState{Term: n.vote.Term + 1, VotedFor: n.cfg.ID})
	n.requestVotes(MessageVote, n.vote.Term, isTransfer)
}

// requestVotes sends a vote or pre-vote request to all other voters and counts the node's own vote.
func (n *Node) requestVotes(kind MessageKind, term uint64, isTransfer bool) {
	n.grantedVotes = map[ID]bool{n.cfg.ID: true}
	for _, id := range n.members.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), IsTransfer: isTransfer})
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	granted := 0
	for _, id := range n.members.Voters {
		if n.grantedVotes[id] {
			granted++
		}
	}
	if granted <= len(n.members.Voters)/2 {
		return
	}
	if n.role == RolePreCandidate {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.transferTarget = ""
	n.peers = map[ID]*peer{}
	for _, id := range n.members.allIDs() {
		n.peers[id] = &peer{nextIndex: n.log.lastIndex() + 1, respondedAt: n.now}
	}
	// Entries of earlier terms are committed only together with an entry of the current term.
	n.appendAsLeader(Entry{Kind: EntryNoOp})
}

// becomeFollower enters a term as a follower; leader is empty if it is unknown.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.vote.Term {
		n.setVote(VoteState{Term: term})
	}
	n.role = RoleFollower
	n.leader = leader
	n.peers = nil
	n.transferTarget = ""
}

// Step processes one received message; now is in milliseconds.
func (n *Node) Step(now timer.Millis, m Message) {
	n.now = max(n.now, now)
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(m)
	case MessageVote:
		n.handleVote(m)
	case MessagePreVoteResponse:
		n.handlePreVoteResponse(m)
	default:
		n.handleTermMessage(m)
	}
}

// handleTermMessage handles messages that move the node to a newer term at once.
func (n *Node) handleTermMessage(m Message) {
	if m.Term > n.vote.Term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageAppend:
		n.handleAppend(m)
	case MessageSnapshot:
		n.handleSnapshot(m)
	case MessageAppendResponse:
		n.handleAppendResponse(m)
	case MessageTimeoutNow:
		if m.Term == n.vote.Term && n.role == RoleFollower && n.members.IsVoter(n.cfg.ID) {
			n.startElection(true)
		}
	}
}

func (n *Node) handleVoteResponse(m Message) {
	if n.role == RoleCandidate && m.Term == n.vote.Term && m.Granted {
		n.grantedVotes[m.From] = true
		n.countVotes()
	}
}

// hasLiveLeader reports whether the last contact with a leader is so recent that the leader may still hold its lease.
func (n *Node) hasLiveLeader() bool {
	if n.role == RoleLeader {
		return n.HoldsLease(n.now)
	}
	return n.now-n.electionTimerStart < n.cfg.ElectionTimeout && n.role == RoleFollower
}

// isUpToDate reports whether the candidate's log is at least as up to date as the node's own.
func (n *Node) isUpToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.LastTerm > last || m.LastTerm == last && m.LastIndex >= n.log.lastIndex()
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.vote.Term && n.isUpToDate(m) && !n.hasLiveLeader()
	term := n.vote.Term
	if granted {
		term = m.Term
	}
	n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Term: term, Granted: granted})
}

func (n *Node) handlePreVoteResponse(m Message) {
	if m.Granted && n.role == RolePreCandidate && m.Term == n.vote.Term+1 {
		n.grantedVotes[m.From] = true
		n.countVotes()
		return
	}
	if !m.Granted && m.Term > n.vote.Term {
		n.becomeFollower(m.Term, "")
	}
}

func (n *Node) handleVote(m Message) {
	if !m.IsTransfer && n.hasLiveLeader() && m.Term > n.vote.Term {
		// Ignore the request: a voter that was partitioned must not raise the term while a live leader may hold a lease.
		return
	}
	if m.Term > n.vote.Term {
		n.becomeFollower(m.Term, "")
	}
	canVote := n.vote.VotedFor == "" || n.vote.VotedFor == m.From
	granted := m.Term == n.vote.Term && canVote && n.isUpToDate(m)
	if granted {
		n.setVote(VoteState{Term: n.vote.Term, VotedFor: m.From})
		n.electionTimerStart = n.now
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Granted: granted})
}
