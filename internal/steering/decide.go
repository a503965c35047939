package steering

import (
	"time"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// portReuseIdle is how long a pin must have been idle before a first packet may
	// replace its inactive target: a closed TCP port pair stays unused for 60 s
	// (TIME_WAIT of Linux).
	portReuseIdle = 60 * time.Second
	// refreshesPerIdle is how often in one idle timeout a packet of a pinned
	// flow is relayed through the backup, to keep the copy from expiring.
	refreshesPerIdle = 4
)

// inputs are the values other than the zone table that decisions depend on.
type inputs struct {
	suspects  map[uint64]bool // by instance tag
	committed zone.Version
	cookie    uint64
}

// flowContext is the state of one decision on a flow. It is used while the
// flow's shard is locked.
type flowContext struct {
	v            *View
	in           *inputs
	sh           *Shard
	self         uint64
	now          coarseTime
	s            *serviceView
	p            Packet
	key          pinKey
	hash         uint64
	slot         uint32
	home, backup *member
	hdr          RelayHeader
	// actingHome is set if this instance is the backup and the home is suspected.
	actingHome bool
}

func (s *serviceView) isTCP() bool { return s.protocol == service.TCP }

func (c *flowContext) isHome() bool   { return c.home != nil && c.home.tag == c.self }
func (c *flowContext) isBackup() bool { return c.backup != nil && c.backup.tag == c.self }

// mayOpenFlow reports whether the packet may open a flow; any UDP packet may.
func (c *flowContext) mayOpenFlow() bool { return c.p.First || !c.s.isTCP() }

func (c *flowContext) suspected(m *member) bool { return !m.live || c.in.suspects[m.tag] }

// setFlow sets the fields that depend on the service and the flow.
func (c *flowContext) setFlow(s *serviceView, k flow.Key, hash uint64) {
	c.s, c.hash, c.slot = s, hash, uint32(hash%uint64(s.slots))
	c.key = pinKey{src: k.Src.As16(), service: s.handle, port: k.SrcPort}
	c.home, c.backup = c.v.holders(hash)
}

// relayTo returns the decision to relay the packet to m, or back to its sender if m is nil.
func (c *flowContext) relayTo(m *member, k Kind, t zone.TargetIndex) Decision {
	if c.hdr.Hops >= MaxHops {
		return drop(HopLimit)
	}
	d := Decision{Action: Relay, Target: zone.NoTarget, Service: c.s.id, Header: c.header(k, t)}
	d.Header.Hops = c.hdr.Hops + 1
	if m != nil {
		d.To = &m.ref
	}
	return d
}

func (c *flowContext) header(k Kind, t zone.TargetIndex) RelayHeader {
	h := RelayHeader{
		Kind: k, HomeSet: c.v.homeSetNumber(), Version: c.v.version, Service: c.s.tag, From: c.self,
		Cookie: c.in.cookie, Src: c.key.src, SrcPort: c.key.port,
	}
	if c.v.shortTags.usable {
		h.Flags |= FlagShort
	}
	if t != zone.NoTarget {
		h.Target = c.s.targets[t].tag
	}
	return h
}

// routeToHome sends a packet to its home, or to the backup if the home is suspected.
func (c *flowContext) routeToHome(proposal zone.TargetIndex) Decision {
	switch {
	case c.home == nil:
		return drop(HomeSuspected)
	case c.isHome():
		return c.decideAtHome(proposal)
	case !c.suspected(c.home):
		return c.relayTo(c.home, ToHome, proposal)
	case c.isBackup():
		c.actingHome = true
		return c.decideAtHome(proposal)
	case c.backup == nil || c.suspected(c.backup):
		return drop(HomeSuspected)
	}
	d := c.relayTo(c.backup, ToHome, proposal)
	d.Header.Flags |= FlagFallback
	return d
}

// decideAtHome decides as the flow's home, or as its backup if the home is suspected.
func (c *flowContext) decideAtHome(proposal zone.TargetIndex) Decision {
	p := c.sh.pins.find(&c.key)
	if p != nil && p.flags&proposed == 0 {
		return c.forwardPinned(p)
	}
	if p != nil && proposal == zone.NoTarget {
		proposal = p.target
	}
	return c.askFormerHolders(firstFormerPosition, proposal)
}

// forwardPinned sends a packet to the target of its pin. A first packet may
// replace the target.
func (c *flowContext) forwardPinned(p *pin) Decision {
	if c.p.First && c.s.replaceable(p, c.now) {
		// The home may have replaced the target already, and its choice may
		// differ from the one made here.
		if c.actingHome {
			return drop(HomeSuspected)
		}
		if t := c.s.current[c.slot]; t != zone.NoTarget && t != p.target {
			p.target, p.placedSet = t, 0
			p.flags = repinned | halfOpen
		}
	}
	if !c.p.First {
		p.flags &^= halfOpen
	}
	refresh := c.refreshDue(p)
	p.last = c.now
	c.markExactIdle(p)
	return c.forwardOrCopy(p, refresh)
}

func (c *flowContext) markExactIdle(p *pin) {
	if !c.actingHome {
		p.flags |= exactIdle
	}
}

// replaceable reports whether a first packet may replace the pin's target: the
// target is ejected or removed, or it is not active and the flow has been idle
// for portReuseIdle.
func (s *serviceView) replaceable(p *pin, now coarseTime) bool {
	t := &s.targets[p.target]
	switch {
	case t.removed || t.state == target.Ejected:
		return true
	case t.state == target.Active:
		return false
	}
	return p.last+toCoarseTime(portReuseIdle) <= now
}

// refreshDue reports whether the flow had no packet yet in this quarter of the
// idle timeout.
func (c *flowContext) refreshDue(p *pin) bool {
	period := max(1, c.s.idle/refreshesPerIdle)
	return c.now/period != p.last/period
}

// forwardOrCopy forwards a packet to the pin's target, through the backup if it may
// not have the pin yet.
func (c *flowContext) forwardOrCopy(p *pin, refresh bool) Decision {
	if c.actingHome {
		return c.s.forward(p.target)
	}
	if c.backup == nil {
		p.flags |= accepted
		p.placedSet = c.v.homeSetNumber()
		return c.s.forward(p.target)
	}
	if c.suspected(c.backup) {
		if p.flags&accepted == 0 {
			c.sh.stats.WithoutBackup++
		}
		p.flags |= accepted // the target receives the packet
		return c.s.forward(p.target)
	}
	if p.flags&accepted != 0 && c.isPlaced(p) && !refresh {
		return c.s.forward(p.target)
	}
	if c.s.targets[p.target].removed {
		return drop(TargetRemoved)
	}
	return c.sendCopy(p.target, p.flags)
}

func (c *flowContext) sendCopy(t zone.TargetIndex, pinFlags uint8) Decision {
	d := c.relayTo(c.backup, Copy, t)
	if pinFlags&accepted != 0 {
		d.Header.Flags |= FlagAccepted
	}
	if pinFlags&repinned != 0 {
		d.Header.Flags |= FlagRepin
	}
	return d
}

// isPlaced reports whether home and backup of the current set both have the pin.
func (c *flowContext) isPlaced(p *pin) bool {
	now := c.v.homeSetNumber()
	if p.placedSet == now {
		return true
	}
	set := c.v.set(p.placedSet)
	if p.placedSet == 0 || set == nil {
		return false
	}
	home, backup := set.holders(c.hash)
	if home != c.home || backup != c.backup {
		return false
	}
	p.placedSet = now
	return true
}

// firstFormerPosition is the position of the home under the newest older home
// set in the list of former holders. Position 2i is the home under the i-th
// newest set, 2i+1 its backup. Positions do not depend on which instances are
// suspected, so that an answer can name the position to continue from.
const firstFormerPosition = 2

// nextFormerHolder returns the next holder under an older set, from position on,
// that may have a pin that this instance lacks. It skips suspected holders, this
// instance, and the backup, which answers the copy of a new pin with its own pin.
func (c *flowContext) nextFormerHolder(position uint8) (*member, uint8) {
	for ; int(position) < 2*len(c.v.homes); position++ {
		home, backup := c.v.homes[position/2].holders(c.hash)
		m := home
		if position%2 == 1 {
			m = backup
		}
		if m == nil || m.tag == c.self || c.suspected(m) || m == c.backup {
			continue
		}
		return m, position
	}
	return nil, 0
}

// askFormerHolders handles a flow without a pin: it asks the former holders from
// position on, and creates a pin when none is left.
func (c *flowContext) askFormerHolders(position uint8, proposal zone.TargetIndex) Decision {
	if m, at := c.nextFormerHolder(position); m != nil {
		d := c.relayTo(m, Ask, proposal)
		d.Header.Asked = at
		return d
	}
	return c.createPin(proposal)
}

// unpinnedTarget returns the target that the home selects for a flow without a
// pin: that of Current for a new flow, else that of Base.
func (c *flowContext) unpinnedTarget() zone.TargetIndex {
	if c.mayOpenFlow() {
		return c.s.current[c.slot]
	}
	return c.s.base[c.slot]
}

// copyUnavailable reports whether a pin created here would have no copy, because
// the other holder is suspected.
func (c *flowContext) copyUnavailable() bool {
	return c.actingHome || c.backup != nil && c.suspected(c.backup)
}

// derivableWithoutPin reports whether an instance without the flow's pin selects
// the same target for a later packet. A suspected holder that is alive behind a
// network partition has no copy, and packets of the flow may reach it.
func (c *flowContext) derivableWithoutPin(t zone.TargetIndex) bool {
	return !c.s.isTCP() || t == c.s.base[c.slot]
}

func (c *flowContext) createPin(t zone.TargetIndex) Decision {
	if c.actingHome && c.mayOpenFlow() && c.in.committed.Compare(c.v.version) < 0 {
		return drop(HomeSuspected)
	}
	if t == zone.NoTarget {
		t = c.unpinnedTarget()
		if c.mayOpenFlow() && c.copyUnavailable() && !c.derivableWithoutPin(t) {
			t = c.s.base[c.slot]
			if t == zone.NoTarget || c.s.targets[t].state != target.Active {
				return drop(HomeSuspected)
			}
		}
	}
	if t == zone.NoTarget {
		return drop(NoTarget)
	}
	p := c.sh.pins.find(&c.key)
	if p == nil {
		p = c.sh.add(c.v, c.key, t, c.now)
	}
	if p == nil {
		return c.forwardUnpinned(t)
	}
	p.target, p.last, p.flags = t, c.now, 0
	c.markExactIdle(p)
	if c.p.First {
		p.flags |= halfOpen
	}
	if c.actingHome {
		p.flags |= accepted
	}
	return c.forwardOrCopy(p, false)
}

// forwardUnpinned decides on a flow for which the pin table has no room.
func (c *flowContext) forwardUnpinned(t zone.TargetIndex) Decision {
	switch {
	case t == c.s.base[c.slot] && c.s.sameChoice(c.slot):
		// Every instance selects this target without a pin.
	case t == c.s.base[c.slot] && !c.mayOpenFlow():
		c.sh.unpinned[c.s.handle] = c.now
	default:
		return drop(PinTableFull)
	}
	if c.actingHome || c.backup == nil || c.suspected(c.backup) || c.s.targets[t].removed {
		return c.s.forward(t)
	}
	return c.sendCopy(t, 0)
}

// refOf returns the instance with a tag, or nil if it is not in the roster.
func (v *View) refOf(tag uint64) *instance.Ref {
	if m := v.byInstance[tag]; m != nil {
		return &m.ref
	}
	return nil
}
