package explain

// Paths of the admin interface.
const (
	FlowPath    = "/explain/flow"
	RequestPath = "/explain/request"
)

// FlowQuery asks where the instance would send a packet of a flow.
type FlowQuery struct {
	Protocol    string `json:"protocol"`    // "tcp" or "udp"
	Source      string `json:"source"`      // IP:PORT
	Destination string `json:"destination"` // IP:PORT
	// First is true if the packet is the flow's first (TCP SYN without ACK).
	First bool `json:"first"`
}

// FlowAnswer is the forwarding decision and the state that it is based on.
type FlowAnswer struct {
	Instance string `json:"instance"`
	Version  string `json:"version"` // of the zone table
	Revision string `json:"revision"`
	Leased   bool   `json:"leased"`
	// Decision is "forward", "relay" or "drop"; Reason is the reason for it.
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	Service  string `json:"service,omitempty"`
	Phase    string `json:"phase,omitempty"`
	Slot     uint32 `json:"slot"`
	Touched  bool   `json:"touched"`
	// Base and Current are the targets that the two generations choose.
	Base    string `json:"base,omitempty"`
	Current string `json:"current,omitempty"`
	Home    string `json:"home,omitempty"`
	Second  string `json:"second,omitempty"`
	// Pin is the pinned target, if this instance holds a pin.
	Pin    string `json:"pin,omitempty"`
	Target string `json:"target,omitempty"` // where the packet goes
}

// RequestQuery asks what the instance would do with a request.
type RequestQuery struct {
	Method         string `json:"method"`
	Host           string `json:"host"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// RequestAnswer is the admission decision and the state that it is based on.
type RequestAnswer struct {
	Instance   string `json:"instance"`
	Revision   string `json:"revision"`
	Service    string `json:"service,omitempty"`
	Class      string `json:"class,omitempty"`
	Idempotent bool   `json:"idempotent"`
	// Decision is "send", "queue", "dispatch" (to the key's home) or "refuse".
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	// KeyHome is the instance that decides on the idempotency key.
	KeyHome string `json:"key_home,omitempty"`
	// Targets lists the targets that can serve the request, best first.
	Targets []RequestTarget `json:"targets,omitempty"`
	// DeadlineMillis is the time limit of the request in milliseconds.
	DeadlineMillis int64 `json:"deadline_millis"`
}

// RequestTarget is a target as admission sees it.
type RequestTarget struct {
	Target string `json:"target"`
	State  string `json:"state"`
	Own    int    `json:"own"`  // slots owned by the instance
	Free   int    `json:"free"` // slots that it may use now
}

// Error is the body of a response with a status other than 200.
type Error struct {
	Error string `json:"error"`
}
