package replicator

// broadcastAppend sends every other member the entries that it lacks, or a heartbeat if it lacks none.
func (n *Node) broadcastAppend() {
	n.broadcastAt = n.now
	for _, id := range n.members.allIDs() {
		if id != n.cfg.ID {
			n.sendAppend(id, true)
		}
	}
}

// sendAppend sends the entries from nextIndex on, or the snapshot if the log no longer holds the entry before them.
func (n *Node) sendAppend(id ID, isHeartbeat bool) {
	p := n.peers[id]
	term, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		n.sendSnapshot(id, p, isHeartbeat)
		return
	}
	entries := n.log.entriesAfter(p.nextIndex-1, maxEntriesPerMessage)
	n.send(Message{Kind: MessageAppend, To: id, LastIndex: p.nextIndex - 1, LastTerm: term, Entries: entries, CommitIndex: n.log.commitIndex, SentAt: n.now})
	// Advance nextIndex before the response arrives, so that requests are pipelined; a rejection moves it back.
	p.nextIndex += uint64(len(entries))
}

// sendSnapshot sends the snapshot at most once per election timeout, and heartbeats while it is in flight.
func (n *Node) sendSnapshot(id ID, p *peer, isHeartbeat bool) {
	s := n.log.snapshot
	if p.snapshotSentAt > 0 && n.now-p.snapshotSentAt < n.cfg.ElectionTimeout {
		if isHeartbeat {
			n.send(Message{Kind: MessageAppend, To: id, LastIndex: s.Index, LastTerm: s.Term, CommitIndex: n.log.commitIndex, SentAt: n.now})
		}
		return
	}
	p.snapshotSentAt = n.now
	n.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &s, SentAt: n.now})
}

// acceptLeader follows the sender of the message and resets the election timer. If the message is of an older term, it
// sends a rejection and returns false instead.
func (n *Node) acceptLeader(m Message) bool {
	if m.Term < n.vote.Term {
		n.send(Message{Kind: MessageAppendResponse, To: m.From, LastIndex: n.log.commitIndex})
		return false
	}
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.electionTimerStart = n.now
	return true
}

func (n *Node) handleAppend(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	response := Message{Kind: MessageAppendResponse, To: m.From, SentAt: m.SentAt}
	if term, ok := n.log.term(m.LastIndex); !ok && m.LastIndex >= n.log.snapshot.Index || ok && term != m.LastTerm {
		response.LastIndex = n.indexBeforeConflict(m)
		n.send(response)
		return
	}
	added := n.log.append(m.Entries)
	n.effects.Entries = append(n.effects.Entries, added...)
	n.updateMembersAfterAppend(added)
	response.Granted = true
	response.LastIndex = m.LastIndex + uint64(len(m.Entries))
	n.log.commitIndex = max(n.log.commitIndex, min(m.CommitIndex, response.LastIndex))
	n.send(response)
}

// indexBeforeConflict returns the index that the leader tries next, which skips all entries of the conflicting term.
func (n *Node) indexBeforeConflict(m Message) uint64 {
	if m.LastIndex > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	conflictTerm, _ := n.log.term(m.LastIndex)
	index := m.LastIndex
	for index > n.log.commitIndex {
		term, _ := n.log.term(index)
		if term != conflictTerm {
			break
		}
		index--
	}
	return index
}

func (n *Node) handleSnapshot(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	response := Message{Kind: MessageAppendResponse, To: m.From, SentAt: m.SentAt, Granted: true, LastIndex: n.log.commitIndex}
	if m.Snapshot.Index > n.log.commitIndex {
		n.log.compact(*m.Snapshot)
		n.appliedIndex = m.Snapshot.Index
		n.effects.Snapshot = m.Snapshot
		n.effects.Restore = m.Snapshot
		n.effects.Committed = nil
		n.updateMembers()
		response.LastIndex = m.Snapshot.Index
	}
	n.send(response)
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.peers[m.From]
	if n.role != RoleLeader || m.Term != n.vote.Term || p == nil {
		return
	}
	p.respondedAt = n.now
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	if !m.Granted {
		p.nextIndex = max(min(m.LastIndex+1, n.log.lastIndex()+1), p.matchIndex+1)
		n.sendAppend(m.From, false)
		return
	}
	if m.LastIndex > p.matchIndex {
		p.matchIndex = m.LastIndex
		p.snapshotSentAt = 0
		n.advanceCommit()
	}
	if n.role != RoleLeader {
		return
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.nextIndex <= n.log.lastIndex() {
		n.sendAppend(m.From, false)
	}
	n.sendTimeoutNowIfReady()
}

// advanceCommit commits the entries that a quorum holds, if the last of them is of the leader's current term.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	index := quorumValue(n.members.Voters, func(id ID) uint64 {
		if id == n.cfg.ID {
			return n.log.lastIndex()
		}
		return n.peers[id].matchIndex
	})
	term, ok := n.log.term(index)
	if !ok || term != n.vote.Term || index <= n.log.commitIndex {
		return
	}
	n.log.commitIndex = index
	n.broadcastAppend()
	n.stepDownIfRemoved()
}

// stepDownIfRemoved makes a leader a follower once its removal from the voters is committed.
func (n *Node) stepDownIfRemoved() {
	if n.membersIndex <= n.log.commitIndex && !n.members.IsVoter(n.cfg.ID) {
		n.becomeFollower(n.vote.Term, "")
	}
}
