package request

import (
	"context"
	"net/netip"
	"slices"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// Install applies a zone table if it is newer than the installed one. zones lists the zones
// that serve each service.
func (s *Server) Install(ctx context.Context, t *zone.Table, zones map[service.ID][]string) error {
	s.mu.Lock()
	if t.Version.Compare(s.version) <= 0 && s.version != (zone.Version{}) {
		s.mu.Unlock()
		return nil
	}
	s.version = t.Version
	byHost, byID := map[string]*serviceState{}, map[service.ID]*serviceState{}
	for i := range t.Services {
		st := &t.Services[i]
		if st.Service.Kind != service.Request {
			continue
		}
		v := s.installService(t, st, zones[st.Service.ID])
		byHost[hostName(st.Service.Host)], byID[st.Service.ID] = v, v
	}
	s.byHost, s.byID = byHost, byID
	moved := len(t.Homes) > 0 && t.Homes[0].Number > s.homeSetNumber
	if moved {
		s.homeSetNumber = t.Homes[0].Number
	}
	s.mu.Unlock()
	s.keys.mu.Lock()
	s.keys.store.Install(s.now(), t)
	s.keys.mu.Unlock()
	if moved && s.cfg.Peers != nil {
		return s.handOverKeys(ctx, t.Homes[0])
	}
	return nil
}

func (s *Server) installService(t *zone.Table, st *zone.ServiceTable, zones []string) *serviceState {
	v := &serviceState{Service: st.Service, zones: zones}
	if old := s.byID[st.Service.ID]; old != nil {
		v.scheduler, v.client = old.scheduler, old.client
	} else {
		s.initService(v)
	}
	var refs []instance.Ref
	if len(t.Homes) > 0 {
		refs = t.Homes[0].Members
	}
	members := make([]instance.ID, len(refs))
	for i, m := range refs {
		members[i] = m.ID
	}
	targets, addrs := targetsOf(st)
	for i, owned := range admission.OwnedSlots(st.Service.ID, members, targets) {
		if owned > 0 {
			v.slotOwners = append(v.slotOwners, refs[i])
		}
	}
	if slices.ContainsFunc(v.slotOwners, s.cfg.Self.Same) || s.cfg.Peers == nil {
		v.slotOwners = nil
	}
	v.client.install(addrs)
	v.scheduler.install(admission.Assign(st.Service.ID, members, s.cfg.Self.ID, targets))
	return v
}

// initService creates the scheduler and the client of a service seen for the first time.
func (s *Server) initService(v *serviceState) {
	v.client = newClient(s.cfg.Limits)
	gate := s.cfg.Admission
	gate.ColdStart = v.ColdStart
	id := v.ID
	v.scheduler = newServiceScheduler(s.baseCtx, id, gate, s.cfg.Seed+int64(len(s.byID)), s.now, v.client)
	if s.cfg.Peers != nil {
		v.scheduler.spill = func(ctx context.Context, c *Call) *Reply { return s.spillToRemote(ctx, id, c) }
		v.scheduler.remote = func() bool { return len(s.cfg.Remote(id)) > 0 }
	}
}

func targetsOf(st *zone.ServiceTable) ([]admission.Target, map[target.ID]netip.AddrPort) {
	targets, addrs := []admission.Target{}, map[target.ID]netip.AddrPort{}
	for _, e := range st.Targets {
		if e.Removed {
			continue
		}
		targets = append(targets, admission.Target{ID: e.Target.ID, State: e.State, Slots: e.Target.Slots})
		addrs[e.Target.ID] = e.Target.Addr
	}
	return targets, addrs
}
