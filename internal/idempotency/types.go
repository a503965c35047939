package idempotency

import (
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
)

// Key is a client's idempotency key, or a token, within one service.
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

// State is the state of a key's record.
type State uint8

// Record states.
const (
	// None: the key has not run, as far as the record's holder knows.
	None State = iota
	// Cleared: every former home has confirmed that the key has not run there and
	// will not.
	Cleared
	// Running: the request may have been sent.
	Running
	// Done: the request was answered, and the answer is stored.
	Done
	// Discarded: the request was answered, but the answer is not stored.
	Discarded
	// Lost: the request may have run, and its answer is unknown.
	Lost
	// Ceded: this instance has promised a newer home not to run the key.
	Ceded
)

// Record is the record of one key. It is transferred when the key's home changes.
type Record struct {
	Key         Key           `cbor:"1,keyasint"`
	Fingerprint Fingerprint   `cbor:"2,keyasint"`
	State       State         `cbor:"3,keyasint"`
	Answer      *Answer       `cbor:"4,keyasint"`
	Age         time.Duration `cbor:"5,keyasint"` // since the record was created; set on export
}

// Reason states why a keyed request was not sent or not replayed.
type Reason string

// Reasons.
const (
	// KeyReused: the key was used for a different request. Not run.
	KeyReused Reason = "key_reused"
	// InFlight: the first request with the key has not completed.
	InFlight Reason = "key_in_flight"
	// HomeLost: the key's record may have been lost with a former home. May have run.
	HomeLost Reason = "key_home_lost"
	// OutcomeLost: the key's request was sent, but no answer arrived. May have run.
	OutcomeLost Reason = "key_outcome_lost"
	// AnswerGone: the request ran; its answer is no longer stored.
	AnswerGone Reason = "key_answer_gone"
	// NotHome: this instance is not the key's home. Not run here.
	NotHome Reason = "key_not_home"
	// HomeUnreachable: the current home or a former one did not reply. Not run.
	HomeUnreachable Reason = "key_home_unreachable"
	// TableFull: the maximum number of records is reached. Not run.
	TableFull Reason = "key_table_full"
	// Unleased: this instance holds no valid lease. Not run.
	Unleased Reason = "lease_lapsed"
	// BadToken: the token was not issued by this fleet. Not run.
	BadToken Reason = "token_invalid"
	// IncarnationGone: the incarnation named by the token no longer exists. May have
	// run.
	IncarnationGone Reason = "token_incarnation_gone"
	// TokenExpired: the token is older than the retention period. May have run.
	TokenExpired Reason = "token_expired"
	// Leaving: this instance is shutting down and transfers its records. Not run.
	Leaving Reason = "shutting_down"
)

// ReasonHelp declares a counter name and its help text.
type ReasonHelp struct{ Name, Help string }

// Counters that are not reasons.
const (
	CountReplayed       = "key_replayed"
	CountAnswersDropped = "key_answers_dropped"
	CountAnswerTooLarge = "key_answer_too_large"
)

// Reasons lists the package's counters. The reasons shared with package dispatch
// are declared there.
func Reasons() []ReasonHelp {
	return []ReasonHelp{
		{string(KeyReused), "requests refused because their key was used for a different request"},
		{string(InFlight), "repeated requests refused because the first request had not completed"},
		{string(HomeLost), "requests answered with an unknown outcome because their key's record may be lost"},
		{string(OutcomeLost), "repeated requests answered with an unknown outcome because the first got no answer"},
		{string(AnswerGone), "repeated requests whose stored answer had been discarded"},
		{string(NotHome), "requests that arrived at an instance that is not the key's home"},
		{string(HomeUnreachable), "requests refused because the current home of their key or a former one did not reply"},
		{string(TableFull), "requests refused because the maximum number of key records is reached"},
		{string(BadToken), "requests refused because their token was not issued by this fleet"},
		{string(IncarnationGone), "requests answered with an unknown outcome because the incarnation named by their token is gone"},
		{string(TokenExpired), "requests answered with an unknown outcome because their token is older than the retention period"},
		{CountReplayed, "repeated requests answered with the stored answer"},
		{CountAnswersDropped, "stored answers discarded to stay within the memory limit"},
		{CountAnswerTooLarge, "answers not stored because they exceed the size limit"},
	}
}

// VerdictKind says how the caller proceeds with a keyed request.
type VerdictKind uint8

// Verdict kinds.
const (
	// Run: the record is created; the request may be sent after ConfirmSend.
	Run VerdictKind = iota
	// Replay: return Answer to the client.
	Replay
	// Wait: the first request with the key is in flight at this instance.
	Wait
	// Forward: forward the request to Home.
	Forward
	// QueryFormer: send a KeyQuery to every instance in Former, pass the replies to
	// ApplyReplies, then call Begin again.
	QueryFormer
	// Refuse: the request did not run, for Reason.
	Refuse
	// Unknown: the request may have run, for Reason.
	Unknown
)

// Verdict is the decision on a keyed request.
type Verdict struct {
	Kind    VerdictKind
	Reason  Reason
	Answer  *Answer
	Home    instance.Ref
	Former  []instance.Ref
	HomeSet uint32 // number of the home set for which Former is queried
}

// KeyQuery is sent by a key's new home to a former one.
type KeyQuery struct {
	Key     Key    `cbor:"1,keyasint"`
	HomeSet uint32 `cbor:"2,keyasint"` // number of the sender's newest home set
}

// KeyQueryReply is a former home's reply. A record in state None is a promise that
// the former home will not run the key.
type KeyQueryReply struct {
	Record Record `cbor:"1,keyasint"`
	// LostFor is how long the former home itself treats the key as lost.
	LostFor time.Duration `cbor:"2,keyasint"`
	// Former lists homes that the former home would itself have to query.
	Former []instance.Ref `cbor:"3,keyasint"`
}

// Handover transfers records to their home in the home set with number HomeSet.
type Handover struct {
	From    instance.Ref `cbor:"1,keyasint"`
	To      instance.Ref `cbor:"2,keyasint"`
	HomeSet uint32       `cbor:"3,keyasint"`
	Records []Record     `cbor:"4,keyasint"`
	// LostFor is how long keys without a record count as lost.
	LostFor time.Duration `cbor:"5,keyasint"`
}

// Limits of a KeyStore. Zero fields take the defaults.
type Limits struct {
	// Retention is how long a record is kept, and how long keys count as lost after
	// the loss of their home.
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
