package replica

import (
	"cmp"
	"slices"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// maxLogEntries bounds the change log; for a follower that is further behind, all objects
// are scanned.
const maxLogEntries = 2048

// changeLog holds changes ordered by version.
type changeLog []change

type change struct {
	version objectstore.Version
	key     string
}

// indexAfter returns the index of the first change after a version.
func (l changeLog) indexAfter(version objectstore.Version) int {
	at, _ := slices.BinarySearchFunc(l, version+1, func(c change, v objectstore.Version) int { return cmp.Compare(c.version, v) })
	return at
}

// logChange adds a change to the log. Changes mostly arrive in the order of their versions.
func (k *kindState) logChange(version objectstore.Version, key string) {
	if version <= k.logFloor {
		return // followers that need this change are not served from the log
	}
	at := k.log.indexAfter(version)
	k.log = slices.Insert(k.log, at, change{version, key})
	if len(k.log) > maxLogEntries {
		half := len(k.log) / 2
		k.logFloor = k.log[half-1].version
		k.log = slices.Clone(k.log[half:])
	}
}

// loggedChanges returns the changes after a version that is not below logFloor.
func (k *kindState) loggedChanges(after objectstore.Version) (out []objectstore.Object) {
	for _, c := range k.log[k.log.indexAfter(after):] {
		switch o, held := k.objects[c.key]; {
		case held && o.Version == c.version:
			out = append(out, o)
		case !held && k.tombstones[c.key] == c.version:
			out = append(out, objectstore.Object{Key: c.key, Version: c.version, Deleted: true})
		}
	}
	return out
}
