package idempotency

import (
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
)

// Key is a caller's key or a token within one service.
type Key struct {
	Service service.ID `cbor:"1,keyasint"`
	Value   string     `cbor:"2,keyasint"`
}

// Fingerprint identifies the method, target and body of a request (truncated SHA-256).
type Fingerprint [16]byte

// Answer is a stored response.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

func (a *Answer) size() int {
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// State is what a record says about its key.
type State uint8

// Record states.
const (
	// None: the key has not run as far as the holder knows.
	None State = iota
	// Cleared: every former home has said that the key has not run there and will not.
	Cleared
	// Running: the request may have been sent.
	Running
	// Done: the request was answered and the answer is stored.
	Done
	// Discarded: the request was answered; the answer was given up.
	Discarded
	// Lost: the request may have run and has no answer.
	Lost
	// Ceded: this instance has told a newer home that it will not run the key.
	Ceded
)

// Record is the state of one key. Records are handed over when the home changes.
type Record struct {
	Key         Key           `cbor:"1,keyasint"`
	Fingerprint Fingerprint   `cbor:"2,keyasint"`
	State       State         `cbor:"3,keyasint"`
	Answer      *Answer       `cbor:"4,keyasint"`
	Age         time.Duration `cbor:"5,keyasint"` // since the record was made; set on export
}

// Reason states why a keyed request was not sent or not replayed.
type Reason string

// Reasons.
const (
	// KeyReused: the key was used for another request. Not run.
	KeyReused Reason = "key_reused"
	// InFlight: the first request with the key has not ended.
	InFlight Reason = "key_in_flight"
	// HomeLost: the key's record may have been lost with a former home.
	HomeLost Reason = "key_home_lost"
	// OutcomeLost: the key's request was sent and its answer never arrived.
	OutcomeLost Reason = "key_outcome_lost"
	// AnswerGone: the request ran; its answer is no longer stored.
	AnswerGone Reason = "key_answer_gone"
	// NotHome: this instance is not the key's home. Not run here.
	NotHome Reason = "key_not_home"
	// HomeUnreachable: a former or present home did not reply. Not run.
	HomeUnreachable Reason = "key_home_unreachable"
	// TableFull: no further record can be held. Not run.
	TableFull Reason = "key_table_full"
	// Unleased: this instance holds no valid lease. Not run.
	Unleased Reason = "lease_lapsed"
	// BadToken: the token was not issued by this fleet. Not run.
	BadToken Reason = "token_invalid"
	// IncarnationGone: the incarnation that the token names no longer exists.
	IncarnationGone Reason = "token_incarnation_gone"
	// TokenExpired: the token is older than the retention period.
	TokenExpired Reason = "token_expired"
	// Leaving: this instance hands its records over. Not run.
	Leaving Reason = "shutting_down"
)

// ReasonHelp declares a counter name and its help text.
type ReasonHelp struct{ Name, Help string }

// Names of counters that are not refusals.
const (
	CountReplayed       = "key_replayed"
	CountAnswersDropped = "key_answers_dropped"
	CountAnswerTooLarge = "key_answer_too_large"
)

// Reasons lists the counters of the package. Reasons shared with package
// dispatch are declared there.
func Reasons() []ReasonHelp {
	return []ReasonHelp{
		{string(KeyReused), "requests refused because their key was used for another request"},
		{string(InFlight), "repeats refused because the first request had not ended"},
		{string(HomeLost), "requests answered unknown because their key's record may be lost"},
		{string(OutcomeLost), "repeats answered unknown because the first got no answer"},
		{string(AnswerGone), "repeats whose stored answer had been given up"},
		{string(NotHome), "requests that arrived at an instance that is not the key's home"},
		{string(HomeUnreachable), "requests refused because a home of their key did not reply"},
		{string(TableFull), "requests refused because no further key can be recorded"},
		{string(BadToken), "requests refused because their token was not issued by this fleet"},
		{string(IncarnationGone), "requests answered unknown because the incarnation named by their token is gone"},
		{string(TokenExpired), "requests answered unknown because their token is older than the retention period"},
		{CountReplayed, "repeats that got a stored answer"},
		{CountAnswersDropped, "stored answers given up to stay within the memory limit"},
		{CountAnswerTooLarge, "answers not stored because they exceed the size limit"},
	}
}

// VerdictKind tells what to do with a keyed request.
type VerdictKind uint8

// Verdict kinds.
const (
	// Run: the record is made; the request may be sent after ConfirmSend.
	Run VerdictKind = iota
	// Replay: give the caller Answer.
	Replay
	// Wait: the first request with the key is in flight here.
	Wait
	// Forward: hand the request to Home.
	Forward
	// QueryFormer: ask every instance in Former and pass the replies to ApplyReplies, then begin again.
	QueryFormer
	// Refuse: not run, with Reason.
	Refuse
	// Unknown: may have run, with Reason.
	Unknown
)

// Verdict is the decision on a keyed request.
type Verdict struct {
	Kind    VerdictKind
	Reason  Reason
	Answer  *Answer
	Home    instance.Ref
	Former  []instance.Ref
	HomeSet uint32 // home set of Former's successor
}

// KeyQuery is sent by a new home to a former one.
type KeyQuery struct {
	Key     Key    `cbor:"1,keyasint"`
	HomeSet uint32 `cbor:"2,keyasint"` // the asker's newest home set
}

// KeyQueryReply is a former home's answer. A record in state None promises that the
// former home will not run the key.
type KeyQueryReply struct {
	Record Record `cbor:"1,keyasint"`
	// LostFor is how long the former home itself answers unknown for this key.
	LostFor time.Duration `cbor:"2,keyasint"`
	// Former lists homes that the former home would itself have to ask.
	Former []instance.Ref `cbor:"3,keyasint"`
}

// Handover carries records to the home that they have under home set Set.
type Handover struct {
	From    instance.Ref `cbor:"1,keyasint"`
	To      instance.Ref `cbor:"2,keyasint"`
	HomeSet uint32       `cbor:"3,keyasint"`
	Records []Record     `cbor:"4,keyasint"`
	// LostFor tells for how long keys without a record stay unknown.
	LostFor time.Duration `cbor:"5,keyasint"`
}

// Limits of a Home. Zero fields take the defaults.
type Limits struct {
	// Retention is how long a record lives and a lost range answers unknown.
	Retention time.Duration
	// Records bounds the number of records.
	Records int
	// AnswerBytes bounds one stored answer.
	AnswerBytes int
	// TotalBytes bounds all stored answers together.
	TotalBytes int
}

func (l Limits) withDefaults() Limits {
	if l.Retention == 0 {
		l.Retention = 10 * time.Minute
	}
	if l.Records == 0 {
		// 160 keyed requests a second over the retention period.
		l.Records = 100_000
	}
	if l.AnswerBytes == 0 {
		l.AnswerBytes = 64 << 10
	}
	if l.TotalBytes == 0 {
		l.TotalBytes = 8 << 20
	}
	return l
}
