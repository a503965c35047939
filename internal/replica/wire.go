package replica

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// compressThreshold is the size in bytes from which a message is compressed: lists, which
// cross data centres when many instances start. For smaller messages the 1 MB of memory
// that a compressor takes is not worth it.
const compressThreshold = 16 << 10

// maxListsPerMessage bounds the lists of a message, which has at most one per kind.
const maxListsPerMessage = 16

// The messages of the stream, encoded as CBOR: object values are sent unchanged, and a list
// that was encoded once is copied into the messages to other followers.
type (
	// envelope is one message.
	envelope struct {
		// Lists are applied before Frames.
		Lists  []compressedFrame `cbor:"1,keyasint,omitempty"`
		Frames []wireFrame       `cbor:"2,keyasint,omitempty"`
		// Compressed holds further frames, as gzip of CBOR.
		Compressed []byte `cbor:"3,keyasint,omitempty"`
	}

	// compressedFrame is a compressed frame, possibly encoded for an earlier follower.
	compressedFrame struct {
		Data []byte `cbor:"1,keyasint"`
		// SinceEncoded is the time since the frame was encoded. The receiver adds it to the age.
		SinceEncoded time.Duration `cbor:"2,keyasint,omitempty"`
	}

	wireFrame struct {
		Kind        string              `cbor:"1,keyasint"`
		Full        bool                `cbor:"2,keyasint,omitempty"`
		Version     objectstore.Version `cbor:"3,keyasint"`
		Age         time.Duration       `cbor:"4,keyasint,omitempty"`
		SinceOutage time.Duration       `cbor:"5,keyasint,omitempty"`
		Objects     []wireObject        `cbor:"6,keyasint,omitempty"`
		Count       int                 `cbor:"7,keyasint,omitempty"`
		Deltas      []Delta             `cbor:"8,keyasint,omitempty"`
	}

	wireObject struct {
		Key     string              `cbor:"1,keyasint"`
		Version objectstore.Version `cbor:"2,keyasint"`
		Value   []byte              `cbor:"3,keyasint,omitempty"`
		Deleted bool                `cbor:"4,keyasint,omitempty"`
	}
)

func toWire(f Frame) wireFrame {
	w := wireFrame{Kind: f.Kind, Full: f.Full, Version: f.Version, Age: f.Age, SinceOutage: f.SinceOutage, Count: f.Count, Deltas: f.Deltas}
	if len(f.Objects) > 0 {
		w.Objects = make([]wireObject, len(f.Objects))
	}
	for n, o := range f.Objects {
		w.Objects[n] = wireObject(o)
	}
	return w
}

func (w *wireFrame) frame() Frame {
	f := Frame{Kind: w.Kind, Full: w.Full, Count: w.Count, Deltas: w.Deltas,
		Listing: objectstore.Listing{Version: w.Version, Age: w.Age, SinceOutage: w.SinceOutage}}
	if len(w.Objects) > 0 {
		f.Objects = make([]objectstore.Object, len(w.Objects))
	}
	for n, o := range w.Objects {
		f.Objects[n] = objectstore.Object(o)
	}
	return f
}

// encode returns the message with the lists, followed by the frames.
func encode(lists []compressedFrame, frames []Frame) ([]byte, error) {
	e := envelope{Lists: lists}
	size := 0
	for _, f := range frames {
		e.Frames = append(e.Frames, toWire(f))
		size += f.size()
	}
	if size < compressThreshold {
		return cbor.Marshal(e)
	}
	data, err := cbor.Marshal(e.Frames)
	if err != nil {
		return nil, err
	}
	if e.Compressed, err = compress(data); err != nil {
		return nil, err
	}
	e.Frames = nil
	return cbor.Marshal(e)
}

// size returns the approximate size of a frame in bytes.
func (f *Frame) size() int {
	size := 0
	for _, o := range f.Objects {
		size += len(o.Key) + len(o.Value)
	}
	for _, d := range f.Deltas {
		size += deltaSize(d.Parts)
	}
	return size
}

func compressFrame(f Frame) ([]byte, error) {
	data, err := cbor.Marshal(toWire(f))
	if err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	return compress(data)
}

func compress(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	err = z.Close()
	return packed.Bytes(), err
}

// message decodes the frames of an envelope: the lists first.
func (e *envelope) message() (Message, error) {
	if len(e.Lists) > maxListsPerMessage {
		return Message{}, errors.Errorf("message has %d lists, allowed are %d", len(e.Lists), maxListsPerMessage)
	}
	var m Message
	for _, l := range e.Lists {
		var w wireFrame
		if err := decompress(l.Data, &w); err != nil {
			return Message{}, err
		}
		if l.SinceEncoded < 0 {
			return Message{}, errors.Errorf("list was encoded %s ago, allowed is 0 or more", l.SinceEncoded)
		}
		w.Age += l.SinceEncoded
		if w.SinceOutage > 0 {
			w.SinceOutage += l.SinceEncoded
		}
		m.Frames = append(m.Frames, w.frame())
	}
	frames := e.Frames
	if len(e.Compressed) > 0 {
		if err := decompress(e.Compressed, &frames); err != nil {
			return Message{}, err
		}
	}
	for n := range frames {
		m.Frames = append(m.Frames, frames[n].frame())
	}
	return m, nil
}

// decompress decodes gzip-compressed CBOR, of at most maxMessage bytes.
func decompress(packed []byte, into any) error {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return errors.Wrap(err, "compressed message")
	}
	data, err := io.ReadAll(io.LimitReader(z, maxMessage))
	if err != nil {
		return errors.Wrap(err, "compressed message")
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "compressed message")
	}
	return nil
}
