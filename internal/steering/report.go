package steering

import (
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// Report returns, for each service with touched slots, the slots that
// have a pin to another target than Current's, and the targets of all pins. Pins
// and copies are included, so that the union over all live instances is complete
// during transfers. Generation is 0, which no generation has, while open flows are
// forwarded to Base's target without a pin because the pin table is full: settling
// would change Base and move these flows.
func (st *Steerer) Report(now time.Duration) []zone.TouchedReport {
	v := st.view.Load()
	if v == nil {
		return nil
	}
	reports := map[uint32]*zone.TouchedReport{}
	pinned := map[uint64]struct{}{}
	st.eachShard(func(sh *Shard) { sh.report(v, toCoarseTime(now), reports, pinned) })
	var out []zone.TouchedReport
	for _, s := range v.services {
		if r := reports[s.handle]; r != nil {
			for i := range s.targets {
				if _, ok := pinned[targetKey(s.handle, zone.TargetIndex(i))]; ok {
					r.Pinned = append(r.Pinned, zone.TargetIndex(i))
				}
			}
			out = append(out, *r)
		} else if s.touched.Count() > 0 {
			out = append(out, zone.TouchedReport{Service: s.id, Generation: s.generation})
		}
	}
	return out
}

func targetKey(handle uint32, t zone.TargetIndex) uint64 { return uint64(handle)<<16 | uint64(t) }

func (sh *Shard) report(v *View, now coarseTime, out map[uint32]*zone.TouchedReport, pinned map[uint64]struct{}) {
	entry := func(s *serviceView) *zone.TouchedReport {
		r := out[s.handle]
		if r == nil {
			r = &zone.TouchedReport{Service: s.id, Generation: s.generation, Slots: zone.NewBitmap(s.slots)}
			out[s.handle] = r
		}
		return r
	}
	for i := range sh.pins.allocated {
		p := sh.pins.at(i)
		s := v.byHandle[p.key.service]
		if !p.used || s == nil {
			continue
		}
		r := entry(s)
		pinned[targetKey(s.handle, p.target)] = struct{}{}
		if slot := s.slotOf(&p.key); s.current[slot] != p.target {
			r.Slots.Set(slot)
		}
	}
	for handle, last := range sh.unpinned {
		s := v.byHandle[handle]
		if s == nil || last+s.idle < now {
			delete(sh.unpinned, handle)
			continue
		}
		entry(s).Generation = 0
	}
}

// PinsByTarget counts the pins and copies held for each target of a service.
func (st *Steerer) PinsByTarget(id service.ID) map[zone.TargetIndex]int {
	counts := map[zone.TargetIndex]int{}
	v := st.view.Load()
	st.eachShard(func(sh *Shard) {
		for i := range sh.pins.allocated {
			if p := sh.pins.at(i); p.used && v != nil && v.byHandle[p.key.service] != nil && v.byHandle[p.key.service].id == id {
				counts[p.target]++
			}
		}
	})
	return counts
}
