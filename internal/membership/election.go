package membership

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// poll is the current round of questions to the peers.
type poll struct {
	at      time.Duration // when to start the next round
	first   time.Duration // when the first round without a leader started, or -1
	sent    Stamp
	replies map[instance.ID]pollAnswer
}

type pollAnswer struct {
	from  instance.Ref
	reply PollReply
	at    time.Duration
}

// attempt is a candidacy in progress.
type attempt struct {
	term     uint64
	sent     Stamp
	complete bool // all electors have answered the poll, as free to vote
	votes    []instance.Ref
}

// supporting returns the time left for which this run supports a leader or candidate.
func (n *Node) supporting() time.Duration {
	left := n.promise.until - n.now
	if n.lead != nil {
		left = max(left, n.authority()-n.now)
	}
	return left
}

func (n *Node) startPoll() {
	if n.poll.first < 0 {
		n.poll.first = n.now
		n.poll.replies = nil // of a round that an earlier leader cut short
	}
	if a := n.attempt; a != nil && n.now >= a.sent.time()+votePromise {
		n.attempt = nil
	}
	n.notePollSuspects()
	n.poll.sent = max(stampOf(n.now), n.poll.sent+1)
	n.poll.replies = make(map[instance.ID]pollAnswer)
	interval := pollInterval
	if n.table != nil && len(n.table.Roster) > 2*relayThreshold {
		interval = largePollInterval
	}
	n.poll.at = n.now + interval + n.jitter()
	for _, p := range n.peers() {
		n.send(p, Message{Poll: &Poll{Sent: n.poll.sent, Version: n.version()}})
	}
	n.weighPoll()
}

// notePollSuspects replaces the leader's suspects by those that left the last
// round unanswered and have not been heard otherwise: a home and a backup that
// suspect each other because of lost messages would decide on their own.
func (n *Node) notePollSuspects() {
	if n.table == nil || n.poll.replies == nil {
		return
	}
	n.suspects = slices.DeleteFunc(slices.Clone(n.table.Roster), func(r instance.Ref) bool {
		_, answered := n.poll.replies[r.ID]
		seen, ok := n.heard[r.ID]
		return answered || r.Same(n.self) || ok && seen.ref.Same(r) && n.now < seen.at+suspectAfter
	})
}

// jitter spreads the attempts of several candidates, by roster position and at random.
func (n *Node) jitter() time.Duration {
	p := n.position(n.self)
	if p < 0 {
		p = slices.IndexFunc(n.cfg.Seeds, func(s Seed) bool { return s.ID == n.self.ID }) + 1
	}
	return time.Duration(min(p, 12))*25*time.Millisecond + time.Duration(n.rng.Int63n(int64(maxJitter)))
}

func (n *Node) onPoll(from instance.Ref, p *Poll) {
	r := &PollReply{Sent: p.Sent, Version: n.version(), Term: max(n.votedTerm, n.leaderTerm), Founded: n.founded()}
	if left := n.supporting(); left > 0 {
		r.Leaderless = -millis(left) - 1
	} else {
		r.Leaderless = millis(n.now - n.supportEnd)
	}
	if n.lead != nil {
		r.Leader = &n.self
	} else if n.following && n.now < n.echoAt+n.followLength() && !n.leader.Same(from) {
		leader := n.leader
		r.Leader = &leader
	}
	if r.Version.Compare(p.Version) > 0 && n.founded() && n.inRoster(from) {
		r.Newer = n.snapshot()
	}
	n.send(from, Message{PollReply: r})
}

func (n *Node) onPollReply(from instance.Ref, r *PollReply) {
	if n.lead != nil {
		n.yieldTo(r)
		return
	}
	if r.Founded {
		n.zoneSeen = n.now
	}
	if r.Sent != n.poll.sent || n.following {
		return
	}
	n.votedTerm = max(n.votedTerm, r.Term)
	if r.Leader != nil && r.Term >= n.leaderTerm && !r.Leader.Same(n.self) {
		n.follow(max(n.leaderTerm, 1), *r.Leader, hintFollow)
		n.sendRenew()
		return
	}
	// A run that holds an older committed table may adopt a newer one: only the
	// newest two versions can be leased, so this closes a gap and opens none.
	if s := r.Newer; s != nil && r.Founded && s.Table != nil && s.Table.Version.Compare(n.version()) > 0 {
		n.install(s.Table, s.Change)
	}
	if r.Founded && r.Version == n.version() {
		n.commit(zone.Version{Term: 1, Seq: 2})
	}
	n.poll.replies[from.ID] = pollAnswer{from, *r, n.now}
	n.weighPoll()
}

// weighPoll starts an election or extends frozen mode when the answers allow it.
func (n *Node) weighPoll() {
	if n.supporting() > 0 {
		n.poll.at = min(n.poll.at, n.now+n.supporting()+n.jitter())
		return
	}
	e := n.electorate()
	free, confirmed := []instance.Ref{n.self}, []instance.Ref{n.self}
	founded := n.now < n.zoneSeen+zoneMemory
	for _, p := range n.peers() { // in a fixed order, for the sake of reproducible runs
		a, ok := n.poll.replies[p.ID]
		if !ok {
			continue
		}
		if a.reply.Leaderless < 0 {
			wait := time.Duration(-a.reply.Leaderless) * time.Millisecond
			n.poll.at = min(n.poll.at, n.now+wait+n.jitter())
			continue
		}
		free = append(free, a.from)
		// The peer must have been without a leader at the moment the round was
		// sent: answers that hold at different moments would not exclude a leader
		// whose majority changes between them.
		if time.Duration(a.reply.Leaderless)*time.Millisecond >= a.at-n.poll.sent.time() {
			confirmed = append(confirmed, a.from)
		}
	}
	sent := n.poll.sent.time()
	if n.founded() && n.inRoster(n.self) && sent >= n.supportEnd && e.half(confirmed) && n.holdsNewest() {
		n.frozenUntil = max(n.frozenUntil, sent+zone.Lease)
	}
	if !e.quorum(free) || n.attempt != nil || !e.majority(free) && !n.reachedListed(free) {
		return
	}
	if !n.founded() && (founded || !n.reachedListed(free) || !e.all(free) && n.now < n.poll.first+foundingWait) {
		return
	}
	if e.has(n.self) {
		n.stand(e.all(free))
	}
}

// holdsNewest reports whether no answer of this round names a higher version.
func (n *Node) holdsNewest() bool {
	for _, a := range n.poll.replies {
		if a.reply.Founded && a.reply.Version.Compare(n.version()) > 0 {
			return false
		}
	}
	return true
}

// stand asks for votes in a new term.
func (n *Node) stand(complete bool) {
	term := max(n.votedTerm, n.leaderTerm, n.version().Term) + 1
	founding := !n.founded()
	if founding {
		// The start time in seconds lies above every term of an earlier zone of
		// the same name, since terms grow by less than one a second.
		term = max(term, uint64(n.self.Incarnation/1e9))
	}
	n.votedTerm = term
	n.attempt = &attempt{term: term, sent: stampOf(n.now), complete: complete, votes: []instance.Ref{n.self}}
	n.promise = promise{runOf(n.self), n.now + votePromise}
	n.supportEnd = n.now + votePromise
	m := Message{Vote: &Vote{Sent: n.attempt.sent, Term: term, Version: n.version(), Founding: founding}}
	for _, p := range n.peers() {
		n.send(p, m)
	}
	n.countVotes()
}

func (n *Node) onVote(from instance.Ref, v *Vote) {
	r := &VoteReply{Sent: v.Sent, Term: v.Term}
	bound := n.supporting() > 0 && n.promise.to != runOf(from)
	if v.Term > n.votedTerm && v.Term > n.leaderTerm && !bound && n.lead == nil && !(v.Founding && n.founded()) {
		r.Granted = true
		n.votedTerm, n.attempt, n.following = v.Term, nil, false
		n.promise = promise{runOf(from), n.now + votePromise}
		n.supportEnd = n.promise.until
		n.poll.at = max(n.poll.at, n.promise.until+n.jitter())
		if n.version().Compare(v.Version) > 0 {
			r.Newer = n.snapshot()
		}
	}
	n.send(from, Message{VoteReply: r})
}

func (n *Node) onVoteReply(from instance.Ref, r *VoteReply) {
	a := n.attempt
	if a == nil || r.Term != a.term || r.Sent != a.sent || !r.Granted {
		return
	}
	a.votes = append(a.votes, from)
	if s := r.Newer; s != nil && s.Table != nil && s.Table.Version.Compare(n.version()) > 0 {
		n.install(s.Table, s.Change) // the quorum is that of the newest table any voter holds
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	a := n.attempt
	if n.now >= a.sent.time()+votePromise {
		n.attempt = nil
		return
	}
	e := n.electorate()
	if !e.has(n.self) || !e.quorum(a.votes) {
		return
	}
	n.attempt = nil
	n.becomeLeader(a)
}

func (n *Node) onResign(from instance.Ref, r *Resign) {
	if r.Term != n.leaderTerm || !n.leader.Same(from) || n.lead != nil {
		return
	}
	n.commit(r.Committed)
	if n.promise.to == runOf(from) {
		n.promise = promise{}
		n.supportEnd = min(n.supportEnd, n.now)
	}
	if n.following {
		n.following = false
		n.event(EventLeaderLost, from)
		n.poll.at, n.poll.first = n.now+n.jitter(), -1
	}
}

func maxVersion(a, b zone.Version) zone.Version {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}
