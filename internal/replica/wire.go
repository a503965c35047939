package replica

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// packAbove is the size in bytes from which a message is compressed: lists, which
// cross data centres when many instances start. Smaller messages are not worth the
// 1 MB that a compressor takes.
const packAbove = 16 << 10

// maxPacked bounds the lists of a message, one a kind.
const maxPacked = 16

// wireFrame is a Frame as it is sent.
type wireFrame struct {
	Kind        string
	Full        bool `json:",omitempty"`
	Version     objectstore.Version
	Age         time.Duration `json:",omitempty"`
	SinceOutage time.Duration `json:",omitempty"`
	Objects     []wireObject  `json:",omitempty"`
	Count       int           `json:",omitempty"`
	Deltas      []Delta       `json:",omitempty"`
}

// wireObject is an object as it is sent: its value as text if it is UTF-8, which JSON
// is and which takes less than base64.
type wireObject struct {
	Key     string
	Version objectstore.Version
	Text    string `json:",omitempty"`
	Value   []byte `json:",omitempty"`
	Deleted bool   `json:",omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (f Frame) MarshalJSON() ([]byte, error) {
	w := wireFrame{Kind: f.Kind, Full: f.Full, Version: f.Version, Age: f.Age, SinceOutage: f.SinceOutage, Count: f.Count, Deltas: f.Deltas}
	for _, o := range f.Objects {
		t := wireObject{Key: o.Key, Version: o.Version, Deleted: o.Deleted}
		if utf8.Valid(o.Value) {
			t.Text = string(o.Value)
		} else {
			t.Value = o.Value
		}
		w.Objects = append(w.Objects, t)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Frame) UnmarshalJSON(b []byte) error {
	var w wireFrame
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*f = Frame{Kind: w.Kind, Full: w.Full, Count: w.Count, Deltas: w.Deltas,
		Listing: objectstore.Listing{Version: w.Version, Age: w.Age, SinceOutage: w.SinceOutage}}
	for _, t := range w.Objects {
		o := objectstore.Object{Key: t.Key, Version: t.Version, Value: t.Value, Deleted: t.Deleted}
		if t.Text != "" {
			o.Value = []byte(t.Text)
		}
		f.Objects = append(f.Objects, o)
	}
	return nil
}

// envelope is a line of the stream.
type envelope struct {
	Message
	// Lists go before the frames.
	Lists []packedFrame `json:",omitempty"`
	// Packed is a whole message, compressed.
	Packed []byte `json:",omitempty"`
}

// packedFrame is a compressed frame that may have been made for an earlier follower.
type packedFrame struct {
	Packed []byte
	// Waited is the time since the frame was made.
	Waited time.Duration `json:",omitempty"`
}

// encode returns the line of an envelope.
func encode(e envelope) ([]byte, error) {
	text, err := json.Marshal(e.Message)
	if err != nil {
		return nil, err
	}
	if len(text) >= packAbove {
		if e.Packed, err = compress(text); err != nil {
			return nil, err
		}
		e.Message = Message{}
	}
	text, err = json.Marshal(e)
	return append(text, '\n'), err
}

// pack compresses a frame.
func pack(f Frame) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
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

// open returns the message of a line.
func (e *envelope) open() (Message, error) {
	if len(e.Lists) > maxPacked {
		return Message{}, errors.Errorf("message of %d lists, allowed are %d", len(e.Lists), maxPacked)
	}
	m := e.Message
	if len(e.Packed) > 0 {
		if err := unpack(e.Packed, &m); err != nil {
			return Message{}, err
		}
	}
	lists := make([]Frame, len(e.Lists))
	for n, l := range e.Lists {
		f := &lists[n]
		if err := unpack(l.Packed, f); err != nil {
			return Message{}, err
		}
		if l.Waited < 0 {
			return Message{}, errors.Errorf("list that waited for %s", l.Waited)
		}
		f.Age += l.Waited
		if f.SinceOutage > 0 {
			f.SinceOutage += l.Waited
		}
	}
	m.Frames = append(lists, m.Frames...)
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
	if err := json.Unmarshal(text, into); err != nil {
		return errors.Wrap(err, "compressed message")
	}
	return nil
}
