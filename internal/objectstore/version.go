package objectstore

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Version orders the states of a store and of its objects; 0 means that there is none. It
// consists of an epoch, which rises with each restore of the store from an older copy, and
// of the store's revision within the epoch. A restored store gives out revisions again;
// versions never repeat.
type Version uint64

const (
	// revisionBits is the size of a revision: at 3,200 changes a second it lasts for ten years.
	revisionBits = 40
	// MaxRevision and MaxEpoch are the highest parts of a Version.
	MaxRevision = 1<<revisionBits - 1
	MaxEpoch    = 1<<(64-revisionBits) - 1
)

// NewVersion returns the version of a revision in an epoch. It fails if a part is too high.
func NewVersion(epoch, revision uint64) (Version, error) {
	if epoch > MaxEpoch || revision > MaxRevision {
		return 0, errors.Errorf("epoch %d or revision %d is too high, allowed are %d and %d", epoch, revision, uint64(MaxEpoch), uint64(MaxRevision))
	}
	return Version(epoch<<revisionBits | revision), nil
}

// Epoch returns the number of the store's restores up to the version.
func (v Version) Epoch() uint64 { return uint64(v) >> revisionBits }

// Revision returns the store's revision within the epoch.
func (v Version) Revision() uint64 { return uint64(v) & MaxRevision }

// String returns "EPOCH.REVISION".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch(), v.Revision()) }
