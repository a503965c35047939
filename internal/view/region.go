package view

import "slices"

// SetRegions sets the region of each data centre.
func (v *View) SetRegions(byZone map[string]string) { v.regions = byZone }

// KnownZone reports whether a data centre is one of the deployment's. Without a list of data
// centres every name counts as known.
func (v *View) KnownZone(zone string) bool {
	_, ok := v.regions[zone]
	return ok || len(v.regions) == 0
}

// IsHome reports whether requests of a route may go to targets of a data centre. A data centre
// whose region is unknown is a home of no route that names its home regions.
func (v *View) IsHome(r *Route, zone string) bool {
	if len(r.Homes) == 0 {
		return true
	}
	region, ok := v.regions[zone]
	return ok && slices.Contains(r.Homes, region)
}
