package steering

import (
	"time"

	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// Relayed decides on a packet that another instance relayed, or processes a
// message without a packet (kind Pin), for which p is ignored.
func (st *Steerer) Relayed(now time.Duration, hdr RelayHeader, p Packet) Decision {
	v := st.view.Load()
	if v == nil {
		return drop(NotReady)
	}
	if now > time.Duration(st.lease.Load()) {
		return drop(LeaseLapsed)
	}
	if hdr.Cookie != st.inputs.Load().cookie {
		return drop(BadCookie)
	}
	if reason := v.expandTags(&hdr); reason != NoReason {
		return drop(reason)
	}
	s := v.byTag[hdr.Service]
	if s == nil {
		return drop(UnknownService)
	}
	if hdr.Kind == Pin {
		p.Key = s.flowKey(&pinKey{src: hdr.Src, port: hdr.SrcPort})
	} else if o := v.lookup(&p.Key); o != s {
		return drop(WrongService)
	}
	hash := p.Key.Hash()
	sh := st.lock(hash)
	defer sh.mu.Unlock()
	c := st.newContext(now, sh.Shard)
	if c.s = c.v.byTag[hdr.Service]; c.s == nil {
		return drop(UnknownService)
	}
	p.First = p.First && c.s.isTCP()
	c.p, c.hdr = p, hdr
	c.setFlow(c.s, p.Key, hash)
	return c.handleRelayed()
}

func (c *flowContext) handleRelayed() Decision {
	t := zone.NoTarget
	if c.hdr.Target != 0 {
		var ok bool
		if t, ok = c.s.targetByTag(c.hdr.Target); !ok {
			return drop(UnknownTarget)
		}
	}
	if !c.s.touched.Has(c.slot) {
		// Adjacent table versions agree on the target of a slot that is settled in one of them.
		if c.hdr.Kind == Pin {
			return Decision{Action: Done}
		}
		return c.s.forward(c.s.base[c.slot])
	}
	switch c.hdr.Kind {
	case ToHome:
		return c.onToHome(t)
	case Copy:
		return c.onCopy(t)
	case Ask:
		return c.onAsk(t)
	case NoPin:
		return c.onNoPin(t)
	case Pin:
		return c.onPin(t)
	}
	return drop(BadKind)
}

// olderThanSender and newerThanSender compare this instance's home set with the sender's.
func (c *flowContext) olderThanSender() bool { return c.v.homeSetNumber() < c.hdr.HomeSet }
func (c *flowContext) newerThanSender() bool { return c.v.homeSetNumber() > c.hdr.HomeSet }

func (c *flowContext) onToHome(proposal zone.TargetIndex) Decision {
	if c.isHome() {
		return c.decideAtHome(proposal)
	}
	if p := c.sh.pins.find(&c.key); p != nil {
		if p.flags&accepted != 0 && !c.startsNewFlow(p) && (c.newerThanSender() || c.hdr.Flags&FlagFallback != 0) {
			p.last = c.now
			return c.s.forward(p.target)
		}
		if proposal == zone.NoTarget && p.flags&accepted == 0 {
			proposal = p.target
		}
	}
	if c.olderThanSender() && c.home != nil && c.home.tag == c.hdr.From {
		// The sender, which is the home in this instance's table, has a newer home
		// set in which this instance is the home. Relaying the packet back would loop.
		return drop(PeerBehind)
	}
	return c.routeToHome(proposal)
}

// startsNewFlow reports whether the packet opens a new flow on the port pair of an
// old flow whose target may be replaced.
func (c *flowContext) startsNewFlow(p *pin) bool { return c.p.First && c.s.replaceable(p, c.now) }

// onCopy stores a pin as backup and forwards the packet. An existing pin takes
// precedence over a new one, so that the backup resolves all conflicts between
// pins that are not accepted.
func (c *flowContext) onCopy(t zone.TargetIndex) Decision {
	if t == zone.NoTarget {
		return drop(UnknownTarget)
	}
	p := c.sh.pins.find(&c.key)
	switch {
	case c.isHome() && !c.olderThanSender():
		return c.adoptPin(p, t)
	case c.isHome() || c.isBackup() || c.olderThanSender():
		return c.storeCopy(p, t)
	case p != nil && p.flags&accepted != 0:
		p.last = c.now
		return c.withReply(c.s.forward(p.target), p.target)
	case c.home != nil && c.home.tag == c.hdr.From && c.backup != nil:
		// The sender has an older home set, in which this instance is the backup.
		d := c.relayTo(c.backup, Copy, t)
		d.Header.From = c.hdr.From
		d.Header.Flags |= c.hdr.Flags
		return d
	}
	return c.routeToHome(t)
}

// adoptPin uses the pin that a former home sent, as the new home.
func (c *flowContext) adoptPin(p *pin, t zone.TargetIndex) Decision {
	if p != nil {
		if c.hdr.Flags&FlagAccepted != 0 && p.flags&accepted == 0 {
			p.target, p.flags = t, accepted
		}
		if p.flags&proposed != 0 {
			p.target, p.flags = t, 0
		}
		return c.forwardPinned(p)
	}
	if p = c.sh.add(c.v, c.key, t, c.now); p == nil {
		return c.forwardUnpinned(t)
	}
	if c.hdr.Flags&FlagAccepted != 0 {
		p.flags |= accepted
	}
	if c.p.First {
		p.flags |= halfOpen
	}
	return c.forwardOrCopy(p, false)
}

func (c *flowContext) storeCopy(p *pin, t zone.TargetIndex) Decision {
	if p == nil {
		if p = c.sh.add(c.v, c.key, t, c.now); p == nil {
			if c.mayOpenFlow() {
				return drop(PinTableFull)
			}
			return c.s.forward(t)
		}
		p.flags |= halfOpen
	} else if p.target != t && c.copyReplaces(p) {
		p.target = t
	}
	p.last = c.now
	p.flags = p.flags&^(repinned|proposed|exactIdle) | accepted
	if !c.p.First {
		p.flags &^= halfOpen
	}
	if c.hdr.HomeSet >= max(p.placedSet, c.v.homeSetNumber()) {
		p.placedSet = c.hdr.HomeSet
	}
	d := c.s.forward(p.target)
	// A first packet is not acknowledged, so that a SYN flood causes no answers.
	if p.target != t || !c.p.First {
		d = c.withReply(d, p.target)
	}
	return d
}

// copyReplaces reports whether the target of a Copy replaces that of the pin held here.
func (c *flowContext) copyReplaces(p *pin) bool {
	if c.hdr.Flags&(FlagAccepted|FlagRepin) != 0 || p.flags&proposed != 0 {
		return true
	}
	// The home's pin has expired before this copy: the port pair is reused.
	idle := max(toCoarseTime(portReuseIdle), c.s.idle)
	return c.p.First && c.s.targets[p.target].state != target.Active && p.last+idle < c.now
}

// withReply adds an answer that reports the accepted target of the flow.
func (c *flowContext) withReply(d Decision, t zone.TargetIndex) Decision {
	if c.s.targets[t].removed {
		return d
	}
	h := c.header(Pin, t)
	h.Hops = c.hdr.Hops + 1
	d.Reply, d.ReplyTo = &h, c.v.refOf(c.hdr.From)
	return d
}

func (c *flowContext) onAsk(proposal zone.TargetIndex) Decision {
	p := c.sh.pins.find(&c.key)
	if p != nil && c.startsNewFlow(p) {
		p = nil
	}
	if p != nil && p.flags&accepted != 0 {
		p.last = c.now
		return c.withReply(c.s.forward(p.target), p.target)
	}
	if c.olderThanSender() {
		// The sender has a newer home set. Until this instance installs it, it may
		// still create a pin for the flow when another instance relays a packet
		// to it, so that only a decision made here is safe.
		if c.isHome() {
			return c.decideAtHome(proposal)
		}
		return drop(PeerBehind)
	}
	if p != nil && proposal == zone.NoTarget {
		proposal = p.target
	}
	d := c.relayTo(nil, NoPin, proposal)
	d.To = c.v.refOf(c.hdr.From)
	d.Header.Asked, d.Header.Version, d.Header.HomeSet = c.hdr.Asked, c.hdr.Version, c.hdr.HomeSet
	return d
}

func (c *flowContext) onNoPin(proposal zone.TargetIndex) Decision {
	c.actingHome = !c.isHome() && c.isBackup() && c.suspected(c.home)
	if c.hdr.Version != c.v.version || !c.isHome() && !c.actingHome {
		return c.routeToHome(proposal)
	}
	if p := c.sh.pins.find(&c.key); p != nil && p.flags&proposed == 0 {
		return c.forwardPinned(p)
	}
	return c.askFormerHolders(c.hdr.Asked+1, proposal)
}

// onPin stores the accepted pin that the backup or a former holder reports.
func (c *flowContext) onPin(t zone.TargetIndex) Decision {
	done := Decision{Action: Done}
	if t == zone.NoTarget {
		return drop(UnknownTarget)
	}
	p := c.sh.pins.find(&c.key)
	switch {
	case p == nil:
		if !c.isHome() {
			return done
		}
		if p = c.sh.add(c.v, c.key, t, c.now); p == nil {
			return done
		}
	case p.target == t:
	case p.flags&accepted != 0:
		c.sh.stats.Conflicts++
		return done
	case p.flags&repinned != 0:
		// The answer belongs to a Copy sent before the target was replaced.
		return done
	}
	p.target = t
	p.flags = p.flags&^(repinned|proposed|halfOpen) | accepted
	if c.isHome() && c.isBackupTag(c.hdr.From) && c.hdr.HomeSet == c.v.homeSetNumber() {
		p.placedSet = c.hdr.HomeSet
	}
	return done
}

func (c *flowContext) isBackupTag(tag uint64) bool { return c.backup != nil && c.backup.tag == tag }
