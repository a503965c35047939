package replica

import (
	"cmp"
	"slices"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// maxLog bounds the changes that are remembered one by one; a follower that is further
// behind is served by a look at all objects.
const maxLog = 2048

// changeLog has changes ordered by version.
type changeLog []change

type change struct {
	version objectstore.Version
	key     string
}

// after returns the position of the first change after a version.
func (l changeLog) after(version objectstore.Version) int {
	at, _ := slices.BinarySearchFunc(l, version+1, func(c change, v objectstore.Version) int { return cmp.Compare(c.version, v) })
	return at
}

// note adds a change to the log. Changes mostly come in the order of their versions.
func (k *kind) note(version objectstore.Version, key string) {
	if version <= k.logFloor {
		return // whoever is so far behind is not served from the log
	}
	at := k.log.after(version)
	k.log = slices.Insert(k.log, at, change{version, key})
	if len(k.log) > maxLog {
		half := len(k.log) / 2
		k.logFloor = k.log[half-1].version
		k.log = slices.Clone(k.log[half:])
	}
}

// since returns the changes after a version that the log reaches back to.
func (k *kind) since(after objectstore.Version) (out []objectstore.Object) {
	for _, c := range k.log[k.log.after(after):] {
		switch o, held := k.objects[c.key]; {
		case held && o.Version == c.version:
			out = append(out, o)
		case !held && k.removed[c.key] == c.version:
			out = append(out, objectstore.Object{Key: c.key, Version: c.version, Deleted: true})
		}
	}
	return out
}
