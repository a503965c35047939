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

// packAbove is the size in bytes from which a message is compressed: lists, which
// cross data centres when many instances start. Smaller messages are not worth the
// 1 MB that a compressor takes.
const packAbove = 16 << 10

// maxPacked bounds the lists of a message, one a kind.
const maxPacked = 16

// The types of the stream's messages, in CBOR: values go as they are, and a list that was
// encoded once is copied into the messages to further followers.
type (
	// envelope is one message.
	envelope struct {
		// Lists go before the frames.
		Lists  []packedFrame `cbor:"1,keyasint,omitempty"`
		Frames []wireFrame   `cbor:"2,keyasint,omitempty"`
		// Packed are further frames, compressed.
		Packed []byte `cbor:"3,keyasint,omitempty"`
	}

	// packedFrame is a compressed frame that may have been made for an earlier follower.
	packedFrame struct {
		Packed []byte `cbor:"1,keyasint"`
		// Waited is the time since the frame was made.
		Waited time.Duration `cbor:"2,keyasint,omitempty"`
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

// encode returns the message that tells the frames after the lists.
func encode(lists []packedFrame, frames []Frame) ([]byte, error) {
	e := envelope{Lists: lists}
	size := 0
	for _, f := range frames {
		e.Frames = append(e.Frames, toWire(f))
		size += f.size()
	}
	if size < packAbove {
		return cbor.Marshal(e)
	}
	text, err := cbor.Marshal(e.Frames)
	if err != nil {
		return nil, err
	}
	if e.Packed, err = compress(text); err != nil {
		return nil, err
	}
	e.Frames = nil
	return cbor.Marshal(e)
}

// size returns about how many bytes a frame takes.
func (f *Frame) size() int {
	size := 0
	for _, o := range f.Objects {
		size += len(o.Key) + len(o.Value)
	}
	for _, d := range f.Deltas {
		size += partsSize(d.Parts)
	}
	return size
}

// pack compresses a frame.
func pack(f Frame) ([]byte, error) {
	text, err := cbor.Marshal(toWire(f))
	if err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	return compress(text)
}

func compress(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(text); err != nil {
		return nil, err
	}
	err = z.Close()
	return packed.Bytes(), err
}

// open returns what an envelope tells.
func (e *envelope) open() (Message, error) {
	if len(e.Lists) > maxPacked {
		return Message{}, errors.Errorf("message of %d lists, allowed are %d", len(e.Lists), maxPacked)
	}
	var m Message
	for _, l := range e.Lists {
		var w wireFrame
		if err := unpack(l.Packed, &w); err != nil {
			return Message{}, err
		}
		if l.Waited < 0 {
			return Message{}, errors.Errorf("list that waited for %s", l.Waited)
		}
		w.Age += l.Waited
		if w.SinceOutage > 0 {
			w.SinceOutage += l.Waited
		}
		m.Frames = append(m.Frames, w.frame())
	}
	frames := e.Frames
	if len(e.Packed) > 0 {
		if err := unpack(e.Packed, &frames); err != nil {
			return Message{}, err
		}
	}
	for n := range frames {
		m.Frames = append(m.Frames, frames[n].frame())
	}
	return m, nil
}

// unpack reads what was compressed.
func unpack(packed []byte, into any) error {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return errors.Wrap(err, "compressed message")
	}
	text, err := io.ReadAll(io.LimitReader(z, maxMessage))
	if err != nil {
		return errors.Wrap(err, "compressed message")
	}
	if err := cbor.Unmarshal(text, into); err != nil {
		return errors.Wrap(err, "compressed message")
	}
	return nil
}
