package bundle

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// Bundle is a checked bundle in canonical order.
type Bundle struct {
	// Name identifies the installation; instances reject bundles of another name.
	Name     string
	Revision zone.Revision
	Zones    []string          // ordered by name
	Services []service.Service // ordered by ID, targets by ID, routes by prefix and method
}

// Service returns the service with the ID, or nil.
func (b *Bundle) Service(id service.ID) *service.Service {
	i, found := slices.BinarySearchFunc(b.Services, id, func(s service.Service, id service.ID) int {
		return cmp.Compare(s.ID, id)
	})
	if !found {
		return nil
	}
	return &b.Services[i]
}

// AddressUse is the use of an address by a service, either as the service's own
// address, which callers send to, or as the address of a target.
type AddressUse struct {
	Address netip.AddrPort `cbor:"1,keyasint" json:"address"`
	// Protocol is 0 for the address of a target.
	Protocol service.Protocol `cbor:"2,keyasint" json:"protocol"`
	Service  service.ID       `cbor:"3,keyasint" json:"service"`
}

// Compare orders uses by address, protocol and service.
func (u AddressUse) Compare(o AddressUse) int {
	return cmp.Or(u.Address.Compare(o.Address), cmp.Compare(u.Protocol, o.Protocol), cmp.Compare(u.Service, o.Service))
}

// Conflicts reports whether u and o are uses of one address by two services.
// Different protocols don't conflict, except that the address of a target conflicts
// with any protocol.
func (u AddressUse) Conflicts(o AddressUse) bool {
	return u.Address == o.Address && u.Service != o.Service &&
		(u.Protocol == o.Protocol || u.Protocol == 0 || o.Protocol == 0)
}

// String returns the address, protocol and service.
func (u AddressUse) String() string {
	kind := "target"
	switch u.Protocol {
	case service.TCP:
		kind = "tcp"
	case service.UDP:
		kind = "udp"
	}
	return fmt.Sprintf("%s/%s of service %s", u.Address, kind, u.Service)
}

// AddressUses returns all address uses of the bundle in the order of Compare.
func (b *Bundle) AddressUses() []AddressUse {
	var uses []AddressUse
	for _, s := range b.Services {
		if s.Address.IsValid() {
			uses = append(uses, AddressUse{s.Address, s.Protocol, s.ID})
		}
		for _, t := range s.Targets {
			uses = append(uses, AddressUse{Address: t.Addr, Service: s.ID})
		}
	}
	slices.SortFunc(uses, AddressUse.Compare)
	return uses
}

// sortCanonical sorts the bundle into its canonical order, on which its digest depends.
func (b *Bundle) sortCanonical() {
	slices.Sort(b.Zones)
	slices.SortFunc(b.Services, func(x, y service.Service) int { return cmp.Compare(x.ID, y.ID) })
	for i := range b.Services {
		s := &b.Services[i]
		slices.SortFunc(s.Targets, func(x, y target.Target) int { return cmp.Compare(x.ID, y.ID) })
		sortRoutes(s.Routes)
	}
}

func sortRoutes(routes []service.Route) {
	slices.SortFunc(routes, func(x, y service.Route) int {
		return cmp.Or(cmp.Compare(x.Prefix, y.Prefix), cmp.Compare(x.Method, y.Method))
	})
}
