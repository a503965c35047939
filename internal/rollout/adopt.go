package rollout

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// maxStalls is how often a fetch retries without progress before it is abandoned. It
// bounds the retry backoff to 6.4 s.
const maxStalls = 4

// maxProgressGap bounds how much a slow source can lengthen the request timeout. An
// answer of maxAnswerBytes takes 1.6 s at a send budget of 10 KB/s.
const maxProgressGap = 10 * time.Second

// avoidDuration is how long a bundle that no source could deliver is not fetched
// again, so that an instance with an older bundle or none can fetch another one.
const avoidDuration = 10 * time.Second

// fetch is the state of fetching one bundle from peers and the store.
type fetch struct {
	wanted      Digest
	rawManifest []byte // manifest, once verified
	manifest    *bundle.Manifest
	parts       map[bundle.Digest][]byte
	missing     []bundle.Digest
	sources     []instance.Ref // peers that offered the bundle
	inStore     bool           // the store holds the bundle
	requestedAt time.Duration  // time of the last request or progress
	progress    bool           // store reads returned a missing part
	stalls      uint           // request timeouts since the last progress, for the backoff
	progressAt  time.Duration  // time of the last progress, or of the start
	progressGap time.Duration  // decaying maximum of the time between two progress events
	outstanding int            // peer requests without an answer
}

// minRevision returns the revision below which no bundle is adopted. It includes the
// revision of the zone's table: a restarted instance holds no bundle but may already
// route by a newer table.
func (n *Node) minRevision() zone.Revision {
	if n.local.Table.Compare(n.Held()) > 0 {
		return n.local.Table
	}
	return n.Held()
}

// shouldFetch reports whether a revision may be adopted and is newer than the one being fetched.
func (n *Node) shouldFetch(r zone.Revision) bool {
	if r.Compare(n.Held()) <= 0 || r.Compare(n.minRevision()) < 0 {
		return false
	}
	return n.fetch == nil || r.Compare(n.fetch.wanted.Revision) > 0
}

func (n *Node) avoids(now time.Duration, d Digest) bool { return d == n.avoid && now < n.avoidUntil }

// onOffer starts fetching a bundle that a peer holds, or adds the peer as a source.
func (n *Node) onOffer(now time.Duration, from instance.Ref, d Digest) {
	if f := n.fetch; f != nil && f.wanted == d && !slices.ContainsFunc(f.sources, from.Same) && len(f.sources) < 8 {
		f.sources = append(f.sources, from)
	}
	if !n.shouldFetch(d.Revision) || n.avoids(now, d) {
		return
	}
	n.fetch = n.newFetch(now, d)
	n.fetch.sources = []instance.Ref{from}
	n.request(now, from)
}

// request asks one peer for the manifest or the missing parts of the current fetch.
func (n *Node) request(now time.Duration, from instance.Ref) {
	f := n.fetch
	f.requestedAt = now
	f.outstanding++
	w := Want{Digest: f.wanted.Digest, Parts: n.nextParts(f.missing)}
	if n.held != nil {
		w.Have = n.held.digest
	}
	n.send(from, w)
}

// nextParts returns up to maxWantedParts of the missing parts, starting at a random
// position and wrapping around. An answer can be delayed by its sender's budget while
// the request is retried; a random start keeps the answers from carrying the same parts.
func (n *Node) nextParts(missing []bundle.Digest) []bundle.Digest {
	if len(missing) <= maxWantedParts {
		return missing
	}
	at := n.rng.Intn(len(missing))
	end := min(at+maxWantedParts, len(missing))
	return slices.Concat(missing[at:end], missing[:maxWantedParts-(end-at)])
}

// newFetch returns a fetch, which reuses the parts of an abandoned fetch of the same bundle.
func (n *Node) newFetch(now time.Duration, d Digest) *fetch {
	f := &fetch{wanted: d, parts: make(map[bundle.Digest][]byte), requestedAt: now, progressAt: now}
	if n.abandoned != nil && n.abandoned.wanted == d {
		f.parts = n.abandoned.parts
	}
	n.abandoned = nil
	return f
}

// tickFetch sends a request to another source after a timeout, and abandons the fetch
// after maxStalls retries without progress.
func (n *Node) tickFetch(now time.Duration) {
	f := n.fetch
	if f == nil || now < f.requestedAt+max(FetchTimeout<<min(f.stalls, maxStalls), 2*f.progressGap) {
		return
	}
	if f.stalls++; f.stalls > maxStalls {
		n.avoid, n.avoidUntil, n.fetch, n.abandoned = f.wanted, now+avoidDuration, nil, f
		n.reader.relistAt = now // The store may hold another bundle by now.
		return
	}
	if f.inStore && f.manifest != nil && (len(f.sources) == 0 || n.rng.Intn(2) == 0) && n.reader.active {
		f.requestedAt = now
		n.readParts(now)
		return
	}
	if len(f.sources) == 0 {
		// The next list call or a peer's digest starts the fetch again.
		n.fetch = nil
		return
	}
	n.request(now, f.sources[n.rng.Intn(len(f.sources))])
}

func (n *Node) onParts(now time.Duration, from instance.Ref, p Parts) {
	f := n.fetch
	if f == nil {
		n.keepLateParts(p)
		return
	}
	if f.manifest == nil && p.Manifest != nil && !n.takeManifest(p.Manifest) {
		n.removeSource(from)
		return
	}
	n.addParts(now, p.Parts)
	f.outstanding = max(0, f.outstanding-1)
	if f.outstanding > 0 {
		return // Otherwise each retried request would start its own sequence of requests.
	}
	if n.fetch == f && f.manifest != nil && len(f.missing) > 0 && (p.Manifest != nil || len(p.Parts) > 0) {
		n.request(now, from)
	}
}

// keepLateParts stores parts of an abandoned fetch that arrive after its end.
func (n *Node) keepLateParts(p Parts) {
	if n.abandoned == nil {
		return
	}
	for _, part := range p.Parts {
		if d := bundle.Digest(sha256.Sum256(part)); slices.Contains(n.abandoned.missing, d) {
			n.abandoned.parts[d] = part
		}
	}
}

// removeSource removes a source that sent an invalid manifest.
func (n *Node) removeSource(from instance.Ref) {
	n.fetch.sources = slices.DeleteFunc(n.fetch.sources, from.Same)
	if len(n.fetch.sources) == 0 && !n.fetch.inStore {
		n.fetch = nil
	}
}

// takeManifest verifies the manifest of the current fetch.
func (n *Node) takeManifest(raw []byte) bool {
	m, h, err := n.cfg.Policy.VerifyManifest(raw)
	if err == nil && (m.Digest() != n.fetch.wanted.Digest || h.Revision != n.fetch.wanted.Revision) {
		err = errors.Errorf("manifest of revision %s does not match the offered bundle of revision %s", h.Revision, n.fetch.wanted.Revision)
	}
	if err != nil {
		n.report(RefusedBundle, err.Error())
		return false
	}
	n.fetch.rawManifest, n.fetch.manifest = raw, m
	return true
}

// addParts stores parts and adopts the bundle if it is complete. Parts are looked up
// by digest only, so that altered or unrelated ones are never used.
func (n *Node) addParts(now time.Duration, parts [][]byte) {
	f := n.fetch
	for _, p := range parts {
		d := bundle.Digest(sha256.Sum256(p))
		if slices.Contains(f.missing, d) {
			// A source that has exhausted its send budget answers slowly, and retries
			// would delay its answers further.
			f.progressGap = max(min(now-f.progressAt, maxProgressGap), f.progressGap*15/16)
			f.requestedAt, f.progressAt, f.stalls = now, now, 0
		}
		f.parts[d] = p
	}
	if f.manifest == nil {
		return
	}
	b, encoded, err := n.assembler.Assemble(f.manifest.Header, func(d bundle.Digest) []byte {
		if p := f.parts[d]; p != nil || n.held == nil {
			return p
		}
		return n.held.parts[d]
	})
	var missing *bundle.MissingPartsError
	if errors.As(err, &missing) {
		f.missing = missing.Parts
		return
	}
	n.fetch = nil
	if err != nil {
		n.report(RefusedBundle, err.Error())
		return
	}
	n.adopt(now, f, b, encoded)
}

func (n *Node) adopt(now time.Duration, f *fetch, b *bundle.Bundle, e *bundle.Encoded) {
	if b.Revision.Compare(n.Held()) <= 0 || b.Revision.Compare(n.minRevision()) < 0 {
		return
	}
	n.previousParts, n.previousDigest = make(map[bundle.Digest]bool), bundle.Digest{}
	if n.held != nil {
		n.previousDigest = n.held.digest
		for d := range n.held.parts {
			n.previousParts[d] = true
		}
	}
	n.held = &heldBundle{raw: f.rawManifest, manifest: f.manifest, digest: e.Digest(), bundle: b, parts: e.Parts, uses: b.AddressUses()}
	n.extraUses = difference(n.local.Uses, n.held.uses)
	n.withheld = n.conflicts()
	n.emit(Adopt{b, n.withheld})
	n.push()
	n.acknowledge(now)
}

// conflicts returns the held bundle's uses of addresses that a table or pin still
// refers to under another service. The leader builds the zone's tables and therefore
// includes the references that its members reported. Until a new leader has collected
// acknowledgements, it withholds every use that is not in its table.
func (n *Node) conflicts() []bundle.AddressUse {
	if n.leader.active && n.now < n.leader.since+collectTime && n.local.Table != (zone.Revision{}) {
		return difference(n.held.uses, n.local.Uses)
	}
	referred := slices.Clone(n.extraUses)
	for u := range n.leader.referred {
		referred = append(referred, u)
	}
	found := Conflicts(n.held.uses, referred)
	if n.leader.active {
		found = n.keepConflicts(found)
	}
	return found
}

// keepConflicts adds the leader's earlier conflicts until every instance that is not
// gone, and every lapsed one, has acknowledged the held bundle: an instance reports
// only references that its own bundle lacks, so one with an older bundle omits them.
func (n *Node) keepConflicts(found []bundle.AddressUse) []bundle.AddressUse {
	l := &n.leader
	if len(l.conflicts) > 0 && !n.allAcked() {
		for _, u := range l.conflicts {
			if _, used := slices.BinarySearchFunc(n.held.uses, u, bundle.AddressUse.Compare); used {
				found = append(found, u)
			}
		}
		slices.SortFunc(found, bundle.AddressUse.Compare)
		found = slices.Compact(found)
	}
	l.conflicts = found
	return found
}

// allAcked reports whether every instance that is not gone, and every lapsed one,
// holds the held bundle.
func (n *Node) allAcked() bool {
	for _, ref := range slices.Concat(newestRuns(n.view.NotGone), n.view.Lapsed) {
		if a, found := n.leader.acks[ref.String()]; !found || a.Held.Compare(n.Held()) < 0 {
			return false
		}
	}
	return true
}

// difference returns the elements of x that are not in y; both must be sorted.
func difference(x, y []bundle.AddressUse) []bundle.AddressUse {
	var rest []bundle.AddressUse
	for _, u := range x {
		for len(y) > 0 && y[0].Compare(u) < 0 {
			y = y[1:]
		}
		if len(y) == 0 || y[0] != u {
			rest = append(rest, u)
		}
	}
	return rest
}

// updateWithheld emits the held bundle again if the set of withheld uses changed.
func (n *Node) updateWithheld() {
	if n.held == nil {
		return
	}
	now := n.conflicts()
	if !slices.Equal(now, n.withheld) {
		n.withheld = now
		n.emit(Adopt{n.held.bundle, now})
	}
}

// inForce returns the revision by which the instance routes and, if that is not the
// held one, the reason.
func (n *Node) inForce() (zone.Revision, string) {
	switch {
	case n.held == nil:
		return zone.Revision{}, "holds no bundle"
	case len(n.withheld) > 0:
		return n.lastAck.InForce, fmt.Sprintf("waits until %s is no longer referred to under another service", n.withheld[0])
	case n.local.Table.Compare(n.Held()) < 0:
		return n.local.Table, fmt.Sprintf("zone table is still at revision %s", n.local.Table)
	}
	return n.Held(), ""
}
