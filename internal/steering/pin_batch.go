package steering

import (
	"encoding/binary"

	"guavaloom.example/guavaloom/internal/instance"
)

// recordSize is the encoded size of one transferred pin in bytes: service tag,
// target tag, source address and port, and a word with the idle time and acceptedBit.
const recordSize = 8 + 8 + 16 + 2 + 4

// batchOverhead is the encoded size of a batch without records, in bytes.
const batchOverhead = 32

// acceptedBit is set in the idle time of a record whose pin is accepted.
const acceptedBit = 1 << 31

// PinBatch carries pins to a new home or backup.
type PinBatch struct {
	// Number identifies the batch to its sender.
	Number uint64 `cbor:"1,keyasint"`
	// HomeSet is the number of the home set that the pins are transferred for.
	HomeSet uint32 `cbor:"2,keyasint"`
	Records []byte `cbor:"3,keyasint"`
}

// Len returns the number of records.
func (b *PinBatch) Len() int { return len(b.Records) / recordSize }

// PinAck acknowledges a batch.
type PinAck struct {
	Number uint64 `cbor:"1,keyasint"`
	// Refused lists the records that the receiver does not hold: it does not
	// know the service or target yet, or its pin table is full.
	Refused []uint16 `cbor:"2,keyasint,omitempty"`
}

// Transfer is a batch that the caller sends to an instance. The caller passes
// the acknowledgement to AckPins.
type Transfer struct {
	To    instance.Ref
	Batch PinBatch
}

type pinRecord struct {
	service, target uint64
	src             [16]byte
	port            uint16
	idle            coarseTime
	accepted        bool
}

func (r *pinRecord) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, r.service)
	b = binary.BigEndian.AppendUint64(b, r.target)
	b = append(b, r.src[:]...)
	b = binary.BigEndian.AppendUint16(b, r.port)
	w := uint32(r.idle)
	if r.accepted {
		w |= acceptedBit
	}
	return binary.BigEndian.AppendUint32(b, w)
}

// record returns the i-th record; i must be below Len.
func (b *PinBatch) record(i int) pinRecord {
	d := b.Records[i*recordSize:]
	r := pinRecord{service: binary.BigEndian.Uint64(d), target: binary.BigEndian.Uint64(d[8:])}
	copy(r.src[:], d[16:32])
	r.port = binary.BigEndian.Uint16(d[32:])
	w := binary.BigEndian.Uint32(d[34:])
	r.idle, r.accepted = coarseTime(w&^acceptedBit), w&acceptedBit != 0
	return r
}
