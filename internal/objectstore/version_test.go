package objectstore

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against versions that repeat or fall when a store is restored and gives out its
// revisions again.
func TestVersionsRiseOverEpochs(t *testing.T) {
	before, err := NewVersion(1, MaxRevision)
	must.NoError(t, err)
	after, err := NewVersion(2, 1)
	must.NoError(t, err)
	must.Greater(t, before, after)
	must.Eq(t, 2, after.Epoch())
	must.Eq(t, 1, after.Revision())
	must.Eq(t, "2.1", after.String())
	_, err = NewVersion(1, MaxRevision+1)
	must.Error(t, err)
	_, err = NewVersion(MaxEpoch+1, 1)
	must.Error(t, err)
}
