package zone

import "math/bits"

// Bitmap is a set of slot numbers. The nil Bitmap is empty.
type Bitmap []uint64

// NewBitmap returns an empty set for n slots.
func NewBitmap(n uint32) Bitmap { return make(Bitmap, (n+63)/64) }

// Has reports whether slot i is in the set.
func (b Bitmap) Has(i uint32) bool {
	w := i / 64
	return int(w) < len(b) && b[w]&(1<<(i%64)) != 0
}

// Set adds slot i, which must be below the size given to NewBitmap.
func (b Bitmap) Set(i uint32) { b[i/64] |= 1 << (i % 64) }

// Or returns the union of two sets as a new set.
func (b Bitmap) Or(o Bitmap) Bitmap {
	if len(o) > len(b) {
		b, o = o, b
	}
	u := b.Clone()
	for i, w := range o {
		u[i] |= w
	}
	return u
}

// Clone returns a copy.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }

// Count returns the number of slots in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}
