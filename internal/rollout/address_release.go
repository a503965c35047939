package rollout

import (
	"fmt"
	"net/netip"
	"slices"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/zone"
)

// Conflicts returns, in the order of uses, those whose address also occurs in referred
// under another service.
func Conflicts(uses, referred []bundle.AddressUse) []bundle.AddressUse {
	if len(referred) == 0 {
		return nil
	}
	byAddress := make(map[netip.AddrPort][]bundle.AddressUse, len(referred))
	for _, r := range referred {
		byAddress[r.Address] = append(byAddress[r.Address], r)
	}
	var found []bundle.AddressUse
	for _, u := range uses {
		if slices.ContainsFunc(byAddress[u.Address], u.Conflicts) {
			found = append(found, u)
		}
	}
	return found
}

// Released reports whether a retired use may be given to another service, and
// if not, why. Every zone must have the removal in force, which includes the
// acknowledgement of each instance that is not gone, and no longer refer to the use.
// Lapsed members must have acknowledged the removal as well.
func Released(r bundle.RetiredUse, zones []string, status map[string]Status) (bool, string) {
	for _, z := range zones {
		s, known := status[z]
		switch {
		case !known:
			return false, fmt.Sprintf("zone %s has no status", z)
		case s.InForce.Compare(r.Removed) < 0:
			return false, fmt.Sprintf("revision %s, which removed it, is not in force in zone %s", r.Removed, z)
		case s.Truncated:
			return false, fmt.Sprintf("zone %s still refers to too many addresses to list", z)
		case len(Conflicts([]bundle.AddressUse{{Address: r.Use.Address, Protocol: r.Use.Protocol}}, s.Referred)) > 0:
			return false, fmt.Sprintf("a table or pin of zone %s still refers to it", z)
		case s.Acked.Compare(r.Removed) < 0:
			return false, fmt.Sprintf("an instance of zone %s has not acknowledged revision %s", z, r.Removed)
		}
	}
	return true, ""
}

// Refusal says why one address use prevents the roll of a bundle.
type Refusal struct {
	Use bundle.AddressUse `json:"use"`
	// Holder is the conflicting use by another service, if known.
	Holder bundle.AddressUse `json:"holder"`
	Reason string            `json:"reason"`
}

// String returns the refusal as one line.
func (r Refusal) String() string {
	if r.Holder == (bundle.AddressUse{}) {
		return fmt.Sprintf("%s: %s", r.Use, r.Reason)
	}
	return fmt.Sprintf("%s: held as %s: %s", r.Use, r.Holder, r.Reason)
}

// CheckAddresses applies the address-release rule to a roll from prev (nil for
// the first) to next. It returns the retired uses that next's manifest has to
// carry, and the refusals.
func CheckAddresses(prev, next *bundle.Bundle, retired []bundle.RetiredUse, zones []string, status map[string]Status) ([]bundle.RetiredUse, []Refusal) {
	uses := next.AddressUses()
	refusals := referredRefusals(uses, zones, status)
	refusals = append(refusals, restoredRefusals(prev, uses, zones, status)...)
	if prev != nil {
		for _, old := range prev.AddressUses() {
			if slices.Contains(uses, old) {
				continue
			}
			retired = append(slices.Clone(retired), bundle.RetiredUse{Use: old, Removed: next.Revision})
			for _, u := range Conflicts(uses, []bundle.AddressUse{old}) {
				refusals = append(refusals, Refusal{u, old, fmt.Sprintf("revision %s still has it; roll its removal first", prev.Revision)})
			}
		}
	}
	var keep []bundle.RetiredUse
	for _, r := range retired {
		if slices.Contains(uses, r.Use) {
			continue
		}
		ok, why := Released(r, zones, status)
		if ok {
			continue
		}
		keep = append(keep, r)
		if r.Removed == next.Revision {
			continue
		}
		for _, u := range Conflicts(uses, []bundle.AddressUse{r.Use}) {
			refused := func(o Refusal) bool { return o.Use == u && o.Holder == r.Use }
			if !slices.ContainsFunc(refusals, refused) {
				refusals = append(refusals, Refusal{u, r.Use, why})
			}
		}
	}
	return keep, refusals
}

// referredRefusals refuses the uses whose address a zone still refers to under another
// service, regardless of the uses of the previous bundle and the retired uses.
func referredRefusals(uses []bundle.AddressUse, zones []string, status map[string]Status) (refusals []Refusal) {
	for _, z := range zones {
		for _, r := range status[z].Referred {
			for _, u := range Conflicts(uses, []bundle.AddressUse{r}) {
				refusals = append(refusals, Refusal{u, r, fmt.Sprintf("a table or pin of zone %s still refers to it", z)})
			}
		}
	}
	return refusals
}

// restoredRefusals refuses new address uses while a zone holds a later bundle than the
// store. The store was then restored to an older state, and the lost bundle may use
// these addresses for another service.
func restoredRefusals(prev *bundle.Bundle, uses []bundle.AddressUse, zones []string, status map[string]Status) (refusals []Refusal) {
	var old []bundle.AddressUse
	var stored zone.Revision
	if prev != nil {
		old, stored = prev.AddressUses(), prev.Revision
	}
	for _, z := range zones {
		held := status[z].Held
		if held.Compare(stored) <= 0 {
			continue
		}
		for _, u := range uses {
			if !slices.Contains(old, u) {
				reason := fmt.Sprintf("zone %s holds revision %s, which the store has lost; roll without new addresses first", z, held)
				refusals = append(refusals, Refusal{Use: u, Reason: reason})
			}
		}
	}
	return refusals
}

// HighestRevision returns the highest revision that any zone holds or has in force, and
// the zone.
func HighestRevision(status map[string]Status) (highest zone.Revision, where string) {
	for z, s := range status {
		for _, r := range []zone.Revision{s.Held, s.InForce} {
			if c := r.Compare(highest); c > 0 || c == 0 && z < where {
				highest, where = r, z
			}
		}
	}
	return highest, where
}
