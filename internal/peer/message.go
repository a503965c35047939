package peer

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
)

// Limits on messages.
const (
	// MaxMessage is the largest encoded exchange in bytes: a bundle part of at
	// most 1 MB plus its envelope.
	MaxMessage = 1<<20 + 64<<10
	// maxEnvelopes is the largest number of messages in one exchange.
	maxEnvelopes = 1024
	// maxElements limits the arrays and maps in a message; slot bitmaps and pin
	// batches are well below it.
	maxElements = 1 << 18
	maxNesting  = 16
)

// Kind is the number of a message type on the wire. Kind 0 is reserved.
type Kind uint8

// failureKind marks a reply with the reason why a message was not processed.
const failureKind Kind = 0

// Class is the priority of a message in the control budget.
type Class uint8

// Classes, most urgent first.
const (
	Urgent     Class = iota // leases, votes, membership steps
	Bundle                  // bundle digests and parts
	Background              // state transfers and health reports
	Data                    // request dispatch between instances, not charged to the budget
)

// queuedClasses is the number of classes that are queued and charged to the budget.
const queuedClasses = 3

// String returns the class's name in lower case.
func (c Class) String() string {
	return [...]string{"urgent", "bundle", "background", "data"}[c&3]
}

// Envelope carries one message.
type Envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// exchange is the request and the response message of the procedure.
type exchange struct {
	From     instance.Ref `cbor:"1,keyasint"`
	To       instance.ID  `cbor:"2,keyasint"`
	Messages []Envelope   `cbor:"3,keyasint"`
}

// Errors of encoding and decoding.
var (
	ErrUnregistered = errors.New("message type is not registered")
	ErrTooLarge     = errors.New("message is larger than the limit")
)

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}.DecMode()
	invariant.Check(err == nil, "peer.cbor_options", "%v", err)
	return m
}()

// codec is the connect codec "cbor".
type codec struct{}

func (codec) Name() string                       { return "cbor" }
func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return decodeMode.Unmarshal(data, v) }

// Registry maps kinds to message types. All types must be registered before the
// transport uses it.
type Registry struct {
	kinds map[Kind]messageType
	types map[reflect.Type]Kind
}

// messageType is the class and the decoder of a registered message type.
type messageType struct {
	class  Class
	decode func([]byte) (any, error)
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{kinds: map[Kind]messageType{}, types: map[reflect.Type]Kind{}}
}

// Register adds the message type T. Messages are sent and received as values of
// T, not as pointers.
func Register[T any](r *Registry, kind Kind, class Class) {
	t := reflect.TypeFor[T]()
	_, kindUsed := r.kinds[kind]
	_, typeUsed := r.types[t]
	invariant.Check(kind != failureKind && !kindUsed && !typeUsed, "peer.registered_once", "kind %d, type %s", kind, t)
	r.types[t] = kind
	r.kinds[kind] = messageType{class: class, decode: func(b []byte) (any, error) {
		var v T
		err := decodeMode.Unmarshal(b, &v)
		return v, err
	}}
}

// encode returns the envelope and the class of a message.
func (r *Registry) encode(msg any) (Envelope, Class, error) {
	kind, ok := r.types[reflect.TypeOf(msg)]
	if !ok {
		return Envelope{}, 0, errors.Wrapf(ErrUnregistered, "%T", msg)
	}
	body, err := cbor.Marshal(msg)
	if err != nil {
		return Envelope{}, 0, errors.Wrapf(err, "encode %T", msg)
	}
	if len(body) > MaxMessage-exchangeOverhead {
		return Envelope{}, 0, errors.Wrapf(ErrTooLarge, "%T of %d bytes", msg, len(body))
	}
	return Envelope{Kind: kind, Body: body}, r.kinds[kind].class, nil
}

// decode returns the message of an envelope.
func (r *Registry) decode(e Envelope) (any, error) {
	reg, ok := r.kinds[e.Kind]
	if !ok {
		return nil, errors.Wrapf(ErrUnregistered, "kind %d", e.Kind)
	}
	return reg.decode(e.Body)
}

// encodeFailure returns the reply for a message that was not processed.
func encodeFailure(err error) Envelope {
	body, encodeErr := cbor.Marshal(err.Error())
	invariant.Check(encodeErr == nil, "peer.failure_encodes", "%v", encodeErr)
	return Envelope{Kind: failureKind, Body: body}
}

// RemoteError is the reason why a peer did not process a message.
type RemoteError struct{ Reason string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Reason }

// decodeFailure returns a failure reply as a *RemoteError, and nil for other
// replies.
func decodeFailure(e Envelope) error {
	if e.Kind != failureKind {
		return nil
	}
	var reason string
	if err := decodeMode.Unmarshal(e.Body, &reason); err != nil {
		return errors.Wrap(err, "decode failure")
	}
	return &RemoteError{Reason: reason}
}
