package explain

// EdgeStatusPath is the path on the admin address at which an instance that
// steers by tokens shows its view.
const EdgeStatusPath = "/status"

// EdgeStatus is the view of an instance that steers by tokens.
type EdgeStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// NotReady says why the instance takes no traffic; empty if it does.
	NotReady []string `json:"not_ready"`
	// ReadsStore tells whether the instance reads the store, not another instance.
	ReadsStore bool           `json:"reads_store"`
	Config     uint64         `json:"config_version"`
	Flows      int            `json:"flows"`
	Kinds      []KindStatus   `json:"kinds"`
	Targets    []TargetStatus `json:"targets"`
}

// KindStatus is the state of the replica of one kind of objects.
type KindStatus struct {
	Kind    string `json:"kind"`
	Listed  bool   `json:"listed"`
	Version uint64 `json:"version"`
	// AgeMillis is how long ago the replica was known to be the store's state.
	AgeMillis int64 `json:"age_ms"`
}

// TargetStatus is what an instance believes and has seen of a target.
type TargetStatus struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// State is ready, draining, suspected, unreadable, removed or ended.
	State string `json:"state"`
	// Open and Busy count flows and requests in flight that pass this instance.
	Open          int   `json:"open"`
	Busy          int   `json:"busy"`
	LatencyMillis int64 `json:"latency_ms"`
}
