package daemon

import (
	"slices"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

func isWithheld(withheld []bundle.AddressUse, u bundle.AddressUse) bool {
	return slices.Contains(withheld, u)
}

// usesOf returns the address uses that a table refers to. Entries stay until no
// pin refers to them, so the uses by pins are included.
func usesOf(t *zone.Table) []bundle.AddressUse {
	var uses []bundle.AddressUse
	if t == nil {
		return nil
	}
	for i := range t.Services {
		s := &t.Services[i]
		if s.Service.Address.IsValid() {
			uses = append(uses, bundle.AddressUse{Address: s.Service.Address, Protocol: s.Service.Protocol, Service: s.Service.ID})
		}
		for _, e := range s.Targets {
			if !e.Removed {
				uses = append(uses, bundle.AddressUse{Address: e.Target.Addr, Service: s.Service.ID})
			}
		}
	}
	return uses
}

// zonesOf returns, per service, the zones that have targets for it.
func zonesOf(b *bundle.Bundle) map[service.ID][]string {
	zones := map[service.ID][]string{}
	if b == nil {
		return zones
	}
	for _, s := range b.Services {
		var names []string
		for _, t := range s.Targets {
			names = append(names, t.Zone)
		}
		slices.Sort(names)
		zones[s.ID] = slices.Compact(names)
	}
	return zones
}
