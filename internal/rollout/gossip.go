package rollout

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
)

const (
	// maxAnswerBytes bounds the total size of the parts in one message, to keep bursts of
	// control traffic short. A single larger part is sent alone.
	maxAnswerBytes = 16 << 10
	// maxWantedParts bounds the number of parts requested in one message.
	maxWantedParts = 64
)

func (n *Node) digest() Digest {
	if n.held == nil {
		return Digest{}
	}
	return Digest{n.held.bundle.Revision, n.held.digest}
}

// gossip sends the digest to one random peer and, from a reader, to one random
// reader of another zone.
func (n *Node) gossip(time.Duration) {
	for _, p := range n.peers(1) {
		n.send(p, n.digest())
	}
	if zones := n.remoteZones(); len(zones) > 0 && (n.reader.active || len(n.view.Members) < 2) {
		z := zones[n.rng.Intn(len(zones))]
		readers := readersOf(z, n.view.Remote[z])
		n.send(readers[n.rng.Intn(len(readers))], n.digest())
	}
}

// push sends the digest to several peers at once and, from a reader, to the readers of all other zones.
func (n *Node) push() {
	for _, p := range n.peers(PushFanout) {
		n.send(p, n.digest())
	}
	if !n.reader.active {
		return
	}
	for _, z := range n.remoteZones() {
		for _, r := range readersOf(z, n.view.Remote[z]) {
			n.send(r, n.digest())
		}
	}
}

func (n *Node) onDigest(now time.Duration, from instance.Ref, d Digest) {
	n.peerAnswered = true
	switch c := d.Revision.Compare(n.Held()); {
	case c < 0:
		n.send(from, n.digest())
	case c > 0:
		n.onOffer(now, from, d)
	case n.held != nil && d.Digest != n.held.digest:
		n.report(SameRevision, d.Revision.String()+" of "+from.String()+" has digest "+d.Digest.String())
	}
}

// onWant answers from the held bundle. To a request for another bundle it answers with
// the held bundle's digest.
func (n *Node) onWant(from instance.Ref, w Want) {
	if n.held == nil || w.Digest != n.held.digest {
		n.send(from, n.digest())
		return
	}
	if len(w.Parts) > 0 {
		n.send(from, Parts{Parts: n.partsForAnswer(w.Parts)})
		return
	}
	answer := Parts{Manifest: n.held.raw}
	if w.Have == n.previousDigest && n.previousParts != nil {
		answer.Parts = n.partsForAnswer(n.changedParts())
	}
	n.send(from, answer)
}

// changedParts returns the digests of the held bundle's parts that the previous bundle
// did not have, sorted.
func (n *Node) changedParts() []bundle.Digest {
	var changed []bundle.Digest
	for d := range n.held.parts {
		if !n.previousParts[d] {
			changed = append(changed, d)
		}
	}
	slices.SortFunc(changed, func(x, y bundle.Digest) int { return slices.Compare(x[:], y[:]) })
	return changed
}

// partsForAnswer returns as many of the parts as fit into one answer, and at least one
// if the held bundle has any of them.
func (n *Node) partsForAnswer(digests []bundle.Digest) [][]byte {
	var parts [][]byte
	size := 0
	for _, d := range digests {
		part := n.held.parts[d]
		if part == nil {
			continue
		}
		if size += len(part); size > maxAnswerBytes && len(parts) > 0 {
			break
		}
		parts = append(parts, part)
	}
	return parts
}
