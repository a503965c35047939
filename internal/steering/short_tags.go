package steering

import "guavaloom.example/guavaloom/internal/zone"

// shortTags maps the lower 32 bits of tags to services and instances.
type shortTags struct {
	services  map[uint32]*serviceView
	instances map[uint32]*member
	// usable is false if two services, two targets of one service or two
	// instances of this table have equal lower bits. Headers then carry full tags.
	usable bool
}

func newShortTags(v *View) shortTags {
	s := shortTags{services: map[uint32]*serviceView{}, instances: map[uint32]*member{}, usable: true}
	for tag, service := range v.byTag {
		s.usable = s.usable && s.services[uint32(tag)] == nil && service.hasDistinctShortTags()
		s.services[uint32(tag)] = service
	}
	for tag, m := range v.byInstance {
		s.usable = s.usable && s.instances[uint32(tag)] == nil
		s.instances[uint32(tag)] = m
	}
	return s
}

// hasDistinctShortTags reports whether the short tags of the targets are distinct
// and not 0. It includes removed targets, since a peer one version behind may still
// send them.
func (s *serviceView) hasDistinctShortTags() bool {
	seen := make(map[uint32]uint64, len(s.targets))
	for i := range s.targets {
		tag := s.targets[i].tag
		if o, ok := seen[uint32(tag)]; ok && o != tag || uint32(tag) == 0 {
			return false
		}
		seen[uint32(tag)] = tag
	}
	return true
}

// expandTags replaces the short tags of a header by the full tags of this table.
// It returns a drop reason if short tags are ambiguous here, or the service or
// target is not in the table. An unknown sender becomes 0: answers then go to the
// address that the packet came from.
func (v *View) expandTags(h *RelayHeader) Reason {
	if h.Flags&FlagShort == 0 {
		return NoReason
	}
	h.Flags &^= FlagShort
	s := v.shortTags.services[uint32(h.Service)]
	if s == nil || !v.shortTags.usable {
		return UnknownService
	}
	h.Service = s.tag
	if m := v.shortTags.instances[uint32(h.From)]; m != nil {
		h.From = m.tag
	} else {
		h.From = 0
	}
	if h.Target == 0 {
		return NoReason
	}
	t := s.targetByShortTag(uint32(h.Target))
	if t == zone.NoTarget {
		return UnknownTarget
	}
	h.Target = s.targets[t].tag
	return NoReason
}

func (s *serviceView) targetByShortTag(tag uint32) zone.TargetIndex {
	for i := range s.targets {
		if uint32(s.targets[i].tag) == tag && !s.targets[i].removed {
			return zone.TargetIndex(i)
		}
	}
	return zone.NoTarget
}
