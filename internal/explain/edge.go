package explain

// EdgeStatusPath is the path on the admin address at which an instance that
// steers by tokens serves its EdgeStatus.
const EdgeStatusPath = "/status"

// EdgeStatus is the view of an instance that steers by tokens.
type EdgeStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// NotReady lists why the instance takes no traffic; empty if it does.
	NotReady []string `json:"not_ready"`
	// ReadsStore is true if the instance reads from the store, and false if it reads
	// from another instance.
	ReadsStore bool `json:"reads_store"`
	// ZoneInstances is the number of registered instances of the data centre, this one included.
	ZoneInstances int          `json:"zone_instances"`
	Config        uint64       `json:"config_version"`
	Flows         int          `json:"flows"`
	Kinds         []KindStatus `json:"kinds"`
	// Evacuations are the evacuated data centres that the instance knows, ordered by name.
	Evacuations []EvacuationStatus `json:"evacuations"`
	Targets     []TargetStatus     `json:"targets"`
}

// EvacuationStatus is an operator's request to evacuate a data centre, as known to an instance.
type EvacuationStatus struct {
	Zone string `json:"zone"`
	// SinceMillis is the time since the instance learned of the request.
	SinceMillis int64 `json:"since_ms"`
	// Version and Epoch are the store's version of the request.
	Version uint64 `json:"version"`
	Epoch   uint64 `json:"store_epoch"`
}

// KindStatus is the state of the replica of one kind of objects.
type KindStatus struct {
	Kind    string `json:"kind"`
	Listed  bool   `json:"listed"`
	Version uint64 `json:"version"`
	// Epoch counts the restores of the store from an older copy up to the version.
	Epoch uint64 `json:"store_epoch"`
	// AgeMillis is the time since the replica was last known to match the store.
	AgeMillis int64 `json:"age_ms"`
}

// TargetStatus is the state of a target in the instance's view, with the traffic
// that passes this instance.
type TargetStatus struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// State is ready, draining, evacuated, suspected, unreadable, removed or ended.
	State string `json:"state"`
	// Open is the number of flows and Busy the number of requests in flight.
	Open          int   `json:"open"`
	Busy          int   `json:"busy"`
	LatencyMillis int64 `json:"latency_ms"`
	// Pace is the fraction of a fair share of new flows that the instance gives to the target;
	// 0 if the target is not paced.
	Pace float64 `json:"pace,omitempty"`
	// Allowance is missing if the target is warm or its service has no rate for cold targets.
	Allowance *AllowanceStatus `json:"allowance,omitempty"`
	// ReportedBy is the number of other instances whose reports about the target count.
	// ReportedSilent is true if enough of them report it silent, ReportedLatency is the
	// latency they report, in percent of the usual; 0 if unknown.
	ReportedBy      int  `json:"reported_by,omitempty"`
	ReportedSilent  bool `json:"reported_silent,omitempty"`
	ReportedLatency int  `json:"reported_latency_percent,omitempty"`
}

// AllowanceStatus is what an instance may give a cold target.
type AllowanceStatus struct {
	// Share is how many flows the instance may give the target in any sliding second; 0 for
	// targets of other data centres. Used is how many the last second had.
	Share int `json:"share"`
	Used  int `json:"used"`
}
