package membership

import (
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// Stamp is a point on the sender's monotonic clock, in milliseconds rounded
// down. A receiver only returns it to the process that made it.
type Stamp int64

// Message is the union of the zone's control messages; one field is set.
type Message struct {
	Poll      *Poll      `cbor:"1,keyasint,omitempty"`
	PollReply *PollReply `cbor:"2,keyasint,omitempty"`
	Vote      *Vote      `cbor:"3,keyasint,omitempty"`
	VoteReply *VoteReply `cbor:"4,keyasint,omitempty"`
	Renew     *Renew     `cbor:"5,keyasint,omitempty"`
	Grant     *Grant     `cbor:"6,keyasint,omitempty"`
	Resign    *Resign    `cbor:"7,keyasint,omitempty"`
}

// Poll asks a peer for its view. It looks for a leader at start-up, comes before
// every election, and collects the confirmations of frozen mode.
type Poll struct {
	Sent    Stamp        `cbor:"1,keyasint"`
	Version zone.Version `cbor:"2,keyasint"`
}

// PollReply answers a Poll.
type PollReply struct {
	Sent    Stamp        `cbor:"1,keyasint"` // as in the Poll
	Version zone.Version `cbor:"2,keyasint"`
	// Term is the highest term that the replying run has seen.
	Term uint64 `cbor:"3,keyasint"`
	// Leaderless is for how long, in milliseconds, the run has supported no
	// leader and no candidate; negative while it supports one.
	Leaderless int64 `cbor:"4,keyasint"`
	// Leader is the leader that the run follows.
	Leader *instance.Ref `cbor:"5,keyasint,omitempty"`
	// Founded tells that the run's table is known to be committed.
	Founded bool `cbor:"6,keyasint,omitempty"`
	// Newer is set when the run's version is above the poller's.
	Newer *Snapshot `cbor:"7,keyasint,omitempty"`
}

// Vote asks for a vote in a term.
type Vote struct {
	Sent    Stamp        `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Version zone.Version `cbor:"3,keyasint"`
	// Founding tells that the electors are the seeds and the listed instances.
	Founding bool `cbor:"4,keyasint,omitempty"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	Sent    Stamp  `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Granted bool   `cbor:"3,keyasint"`
	// Newer is set when the voter's version is above the candidate's.
	Newer *Snapshot `cbor:"4,keyasint,omitempty"`
}

// Renew asks a leader or a relay for a lease and acknowledges a version.
type Renew struct {
	Sent    Stamp        `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Version zone.Version `cbor:"3,keyasint"`
	// Echo is the newest stamp of the leader that the member has received. The
	// member supports no one else for Promise milliseconds after Echo; 0 is no promise.
	Echo    Stamp        `cbor:"4,keyasint,omitempty"`
	Promise int64        `cbor:"5,keyasint,omitempty"`
	Leaving bool         `cbor:"6,keyasint,omitempty"`
	Group   *GroupReport `cbor:"7,keyasint,omitempty"`
	Reports []Report     `cbor:"8,keyasint,omitempty"`
}

// GroupReport tells the leader about the members that a relay serves.
type GroupReport struct {
	First int `cbor:"1,keyasint"` // roster position of the group's first member
	// Present has a bit per group position: the member has renewed recently. Acked
	// has one if it holds the relay's version.
	Present uint64 `cbor:"2,keyasint"`
	Acked   uint64 `cbor:"6,keyasint"`
	// Until is the earliest end of the promises of the members in Bound, as a
	// stamp of the leader.
	Until Stamp  `cbor:"3,keyasint"`
	Bound uint64 `cbor:"5,keyasint,omitempty"`
	// Leaving has a bit per member that asks to leave.
	Leaving uint64 `cbor:"4,keyasint,omitempty"`
}

// Report is what a member, or several of a relay's group, tell the leader besides
// their renewals.
type Report struct {
	// Members has a bit per group position of those that a relay reports for; 0 is
	// the sender itself.
	Members   uint64               `cbor:"1,keyasint,omitempty"`
	Touched   []zone.TouchedReport `cbor:"2,keyasint,omitempty"`
	HomesDone uint32               `cbor:"3,keyasint,omitempty"`
	Payload   *Payload             `cbor:"4,keyasint,omitempty"`
	// Echo is the oldest of the members' renewals, set by the relay.
	Echo Stamp `cbor:"5,keyasint,omitempty"`
}

// Payload is content of another module that travels with renewals.
type Payload struct {
	Kind uint8  `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Grant answers a Renew, or pushes a version when Answer is 0.
type Grant struct {
	Term uint64 `cbor:"1,keyasint"`
	// Answer is Sent of the renewal, and Left the lease in milliseconds from it;
	// Left is 0 when the member does not hold the current version.
	Answer    Stamp        `cbor:"2,keyasint,omitempty"`
	Left      int64        `cbor:"3,keyasint,omitempty"`
	Stamp     Stamp        `cbor:"4,keyasint"` // of the leader
	Version   zone.Version `cbor:"5,keyasint"`
	Committed zone.Version `cbor:"6,keyasint"`
	// Suspects are roster positions in Version.
	Suspects []int         `cbor:"7,keyasint,omitempty"`
	Leader   *instance.Ref `cbor:"8,keyasint,omitempty"` // when the member may not know
	// Steps lead from the member's version to Version; Full is sent when too many
	// are missing.
	Steps []*Step   `cbor:"9,keyasint,omitempty"`
	Full  *Snapshot `cbor:"10,keyasint,omitempty"`
	// Next is when a relay wants the next renewal, in milliseconds.
	Next int64 `cbor:"11,keyasint,omitempty"`
}

// Snapshot is a whole table with the roster change that may not be committed.
type Snapshot struct {
	Table  *zone.Table   `cbor:"1,keyasint"`
	Change *RosterChange `cbor:"2,keyasint,omitempty"`
}

// RosterChange is the newest change of the roster. Until it is committed, every
// quorum needs a majority of the roster before it as well.
type RosterChange struct {
	At     zone.Version  `cbor:"1,keyasint"`
	Add    *instance.Ref `cbor:"2,keyasint,omitempty"`
	Remove *instance.Ref `cbor:"3,keyasint,omitempty"`
}

// Resign tells that a leader has ended its term and grants nothing any more.
type Resign struct {
	Term      uint64       `cbor:"1,keyasint"`
	Committed zone.Version `cbor:"2,keyasint"`
}

// Action is what the caller has to do after a call of a Node's method.
type Action interface{ action() }

// Send asks to send a message. To.Incarnation is 0 when any run of the instance
// may answer; otherwise only that run may receive the message.
type Send struct {
	To      instance.Ref
	Message Message
}

// Install asks steering to use a table.
type Install struct{ Table *zone.Table }

// Deliver hands a member's payload to the leader's health module.
type Deliver struct {
	From    instance.Ref
	Payload Payload
}

// EventKind names a change of state for logs and metrics.
type EventKind string

// Event kinds.
const (
	EventElected      EventKind = "elected"
	EventSteppedDown  EventKind = "stepped_down"
	EventFollowing    EventKind = "following"
	EventLeaderLost   EventKind = "leader_lost"
	EventFrozen       EventKind = "frozen"
	EventThawed       EventKind = "thawed"
	EventCommitted    EventKind = "committed"
	EventStep         EventKind = "step"
	EventMemberLapsed EventKind = "member_lapsed"
	EventHomesForced  EventKind = "home_history_forced"
	EventLeft         EventKind = "left"
	EventRejected     EventKind = "step_rejected"
)

// Event reports a change of state.
type Event struct {
	Kind    EventKind
	Version zone.Version
	Term    uint64
	Subject instance.Ref
}

func (Send) action()    {}
func (Install) action() {}
func (Deliver) action() {}
func (Event) action()   {}
