package steering

import (
	"fmt"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// Explanation describes the decision for a packet and the steps that lead to it.
type Explanation struct {
	Service service.ID
	Slot    uint32
	// Target is NoTarget if another instance selects it or the packet is dropped.
	Target zone.TargetIndex
	// Action is the action of the decision.
	Action Action
	// Touched is set if the flow's slot is touched: its home selects the target.
	Touched bool
	// Base, Current and Pin describe targets, Home and Backup name instances.
	// They are empty if there is none.
	Base, Current, Pin string
	Home, Backup       instance.ID
	Steps              []string
}

func (e *Explanation) addStep(format string, args ...any) {
	e.Steps = append(e.Steps, fmt.Sprintf(format, args...))
}

// Explain describes the decision for a packet at this instance without changing any state.
func (st *Steerer) Explain(now time.Duration, p Packet) Explanation {
	e := Explanation{Target: zone.NoTarget}
	v := st.view.Load()
	if v == nil {
		e.addStep("no zone table is installed: packets are dropped (%s)", NotReady)
		return e
	}
	e.addStep("zone table %s, home set %d", v.version, v.homeSetNumber())
	if now > time.Duration(st.lease.Load()) {
		e.addStep("the lease has lapsed: packets are dropped (%s)", LeaseLapsed)
		return e
	}
	s := v.lookup(&p.Key)
	if s == nil {
		e.addStep("no service has address %s:%d, protocol %d (%s)", p.Key.Dst, p.Key.DstPort, p.Key.Protocol, UnknownService)
		return e
	}
	hash := p.Key.Hash()
	sh := st.lock(hash)
	defer sh.mu.Unlock()
	c := st.newContext(now, sh.Shard)
	if s = c.v.lookup(&p.Key); s == nil {
		e.addStep("the service was removed by a newer zone table (%s)", UnknownService)
		return e
	}
	c.p = p
	c.setFlow(s, p.Key, hash)
	e.Service, e.Slot, e.Touched = s.id, c.slot, s.touched.Has(c.slot)
	e.Base, e.Current = s.targetName(s.base[c.slot]), s.targetName(s.current[c.slot])
	e.addStep("service %s, slot %d of %d, phase %s: base %s, current %s, next %s", s.id, c.slot, s.slots, s.phase,
		s.targetName(s.base[c.slot]), s.targetName(s.current[c.slot]), s.targetName(s.next[c.slot]))
	if !s.touched.Has(c.slot) {
		e.setTarget(s.base[c.slot])
		e.addStep("the slot is settled: every instance forwards to %s without a pin", s.targetName(e.Target))
		return e
	}
	e.addStep("the slot is touched: the flow's home selects the target")
	c.explainHolders(&e)
	c.explainPin(&e)
	return e
}

// setTarget sets the target and, unless it is NoTarget, the action Forward.
func (e *Explanation) setTarget(t zone.TargetIndex) {
	e.Target = t
	if t != zone.NoTarget {
		e.Action = Forward
	}
}

func (s *serviceView) targetName(t zone.TargetIndex) string {
	if t == zone.NoTarget {
		return "none"
	}
	entry := &s.table.Targets[t]
	return fmt.Sprintf("%s (%s, %s)", entry.Target.ID, entry.Target.Addr, entry.State)
}

func (c *flowContext) explainHolders(e *Explanation) {
	if c.home == nil {
		e.addStep("the home set is empty: the packet is dropped (%s)", HomeSuspected)
		return
	}
	e.Home, e.Action = c.home.ref.ID, Relay
	if c.backup != nil {
		e.Backup = c.backup.ref.ID
	}
	e.addStep("home %s, backup %s", joinRefs(c.home), joinRefs(c.backup))
	if !c.suspected(c.home) || c.isHome() {
		return
	}
	e.addStep("the home is suspected: the backup selects the target")
	c.actingHome = c.isBackup()
}

func (c *flowContext) explainPin(e *Explanation) {
	p := c.sh.pins.find(&c.key)
	if p != nil {
		e.Pin = c.s.targetName(p.target)
		e.addStep("this instance has a pin: %s, accepted %t, placed for home set %d, idle %s", c.s.targetName(p.target),
			p.flags&accepted != 0, p.placedSet, (time.Duration(c.now-p.last) << coarseTimeShift).Round(time.Second))
	}
	if !c.isHome() && !c.actingHome {
		e.addStep("this instance is not the home: the packet is relayed")
		return
	}
	if p != nil && p.flags&proposed == 0 {
		e.setTarget(p.target)
		return
	}
	if m, _ := c.nextFormerHolder(firstFormerPosition); m != nil {
		e.addStep("this instance has no pin: it asks former holder %s first", joinRefs(m))
		return
	}
	e.Action = Drop
	e.setTarget(c.unpinnedTarget())
	if c.mayOpenFlow() {
		e.addStep("no pin, first packet: target %s of current", c.s.targetName(e.Target))
	} else {
		e.addStep("no pin, later packet: target %s of base, since the flow began before the slot was touched", c.s.targetName(e.Target))
	}
}
