package explain

// PlacementPath is the path on the admin address at which an instance explains where a new flow
// would go. Its query has "route", an endpoint IP:PORT or the name of a route, and "client",
// the optional address IP:PORT of a client.
const PlacementPath = "/explain/placement"

// PlacementAnswer is where an instance would send a new flow now, and why.
type PlacementAnswer struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Route    string `json:"route,omitempty"`
	Service  string `json:"service,omitempty"`
	// Decision is "forward", "reset" or "drop", with its reason.
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	Target   string `json:"target,omitempty"`
	// Full is true while the instance takes the service to be full. Instances is how many share
	// its targets in the instance's data centre.
	Full      bool `json:"full"`
	Instances int  `json:"instances"`
	// Evacuated are the evacuated data centres that the instance knows.
	Evacuated []string `json:"evacuated,omitempty"`
	// ConfigAgeMillis and TargetsAgeMillis are the ages of the view.
	ConfigAgeMillis  int64             `json:"config_age_ms"`
	TargetsAgeMillis int64             `json:"targets_age_ms"`
	Targets          []PlacementTarget `json:"targets"`
}

// PlacementTarget is a target that was examined. Targets of evacuated data centres and of those
// outside the home regions of the route are not examined, nor are remote ones while the own data
// centre has room.
type PlacementTarget struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// Skipped is why the target could not be chosen; empty for a candidate.
	Skipped string `json:"skipped,omitempty"`
	// Utilization and Cost rank the candidates, in requests per slot. LastResort is true for a
	// target that is chosen only if no other is left.
	Utilization   float64 `json:"utilization"`
	Cost          float64 `json:"cost"`
	LastResort    bool    `json:"last_resort,omitempty"`
	Open          int     `json:"open"`
	Busy          int     `json:"busy"`
	LatencyMillis int64   `json:"latency_ms"`
	// Pace is the fraction of a fair share of new flows; 0 if the target is not paced.
	Pace      float64          `json:"pace,omitempty"`
	Allowance *AllowanceStatus `json:"allowance,omitempty"`
}
