package bundle

import (
	"net/netip"

	"guavaloom.example/guavaloom/internal/inifile"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// check attaches routes and targets to their services and reports problems that
// involve several sections.
func (d *parser) check() {
	index := make(map[string]int, len(d.services))
	for i, s := range d.services {
		index[string(s.value.ID)] = i
	}
	d.joinRoutes(index)
	d.joinTargets(index)
	d.checkAddresses()
	d.checkZones()
	for _, s := range d.services {
		switch n := len(s.value.Targets); {
		case n == 0:
			d.Fail(s.sec, "", "service has no target, allowed is at least one")
		case n > MaxTargetsPerService:
			d.Fail(s.sec, "", "service has %d targets, allowed are up to %d", n, MaxTargetsPerService)
		}
		d.bundle.Services = append(d.bundle.Services, s.value)
	}
	if len(d.services) == 0 && d.bundleSection != nil {
		d.Fail(d.bundleSection, "", "bundle has no service, allowed is at least one")
	}
	if len(d.targets) > MaxTargets {
		d.Fail(d.bundleSection, "", "bundle has %d targets, allowed are up to %d", len(d.targets), MaxTargets)
	}
}

// findService returns the service that a route or target refers to, or nil if the
// name is invalid, which ReadFields has reported, or unknown, which it reports.
func (d *parser) findService(index map[string]int, sec *inifile.Section) *service.Service {
	name := sec.Values["service"]
	if !inifile.ValidName(name) {
		return nil
	}
	i, found := index[name]
	if !found {
		d.Fail(sec, "service", "no service %q, allowed is the name of a [service NAME] section", name)
		return nil
	}
	return &d.services[i].value
}

func (d *parser) joinRoutes(index map[string]int) {
	type rule struct{ service, method, prefix string }
	seen := make(map[rule]int)
	for _, r := range d.routes {
		s := d.findService(index, r.sec)
		if s == nil {
			continue
		}
		if s.Kind != service.Request {
			d.Fail(r.sec, "service", "service %q is a flow service, allowed are request services", s.ID)
			continue
		}
		key := rule{string(s.ID), r.value.Method, r.value.Prefix}
		if first := seen[key]; first != 0 {
			d.Fail(r.sec, "prefix", "method and prefix are already routed at line %d, allowed is one route", first)
			continue
		}
		seen[key] = r.sec.Line
		s.Routes = append(s.Routes, r.value)
		if len(s.Routes) == MaxRoutesPerService+1 {
			d.Fail(r.sec, "", "service %q has too many routes, allowed are up to %d", s.ID, MaxRoutesPerService)
		}
	}
}

func (d *parser) joinTargets(index map[string]int) {
	zones := make(map[string]bool)
	for _, z := range d.bundle.Zones {
		zones[z] = true
	}
	for _, t := range d.targets {
		if z := t.value.Zone; inifile.ValidName(z) && len(zones) > 0 && !zones[z] {
			d.Fail(t.sec, "zone", "unknown zone %q, allowed are the zones of [bundle]", z)
		}
		s := d.findService(index, t.sec)
		if s == nil {
			continue
		}
		if s.Kind == service.Request && !t.sec.Has("slots") {
			d.Fail(t.sec, "slots", "key is missing, allowed is exactly one for a target of a request service")
		}
		s.Targets = append(s.Targets, t.value)
	}
}

// checkAddresses reports hosts and pairs of address and protocol that two services
// share, addresses that two targets share, and targets at the address of a service,
// which would cause a forwarding loop.
func (d *parser) checkAddresses() {
	type endpoint struct {
		address  netip.AddrPort
		protocol service.Protocol
	}
	callers := make(map[endpoint]*inifile.Section)
	anyProtocol := make(map[netip.AddrPort]*inifile.Section)
	hosts := make(map[string]*inifile.Section)
	for _, s := range d.services {
		if host := s.value.Host; host != "" {
			if first := hosts[host]; first != nil {
				d.Fail(s.sec, "host", "host %s already belongs to [%s], allowed is one service", host, first.Name)
			}
			hosts[host] = s.sec
		}
		if !s.value.Address.IsValid() {
			continue
		}
		key := endpoint{s.value.Address, s.value.Protocol}
		if first := callers[key]; first != nil {
			d.Fail(s.sec, "address", "%s already belongs to [%s], allowed is one service", key.address, first.Name)
		}
		callers[key] = s.sec
		anyProtocol[key.address] = s.sec
	}
	targets := make(map[netip.AddrPort]parsedSection[target.Target])
	for _, t := range d.targets {
		addr := t.value.Addr
		if !addr.IsValid() {
			continue
		}
		if first, found := targets[addr]; found {
			d.Fail(t.sec, "address", "%s already belongs to [%s], allowed is one target", addr, first.sec.Name)
		}
		if sec := anyProtocol[addr]; sec != nil {
			d.Fail(t.sec, "address", "%s is the address of [%s], allowed are addresses of backend servers", addr, sec.Name)
		}
		targets[addr] = t
	}
}

func (d *parser) checkZones() {
	used := make(map[string]bool)
	for _, t := range d.targets {
		used[t.value.Zone] = true
	}
	for _, z := range d.bundle.Zones {
		if !used[z] {
			d.Fail(d.bundleSection, "zones", "zone %q has no target, allowed are zones with at least one", z)
		}
	}
}
