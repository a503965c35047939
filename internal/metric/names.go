package metric

// Metrics of the packet edge.
var (
	PacketsReceived = Declaration{"guavaloom_packets_received_total", "datagrams", "Datagrams received from the network fabric or from other instances, by port.", Counter, "port"}
	PacketsSent     = Declaration{"guavaloom_packets_sent_total", "datagrams", "Datagrams sent to targets or to other instances, by port.", Counter, "port"}
	PacketsDropped  = Declaration{"guavaloom_packets_dropped_total", "datagrams", "Datagrams that were not forwarded, by reason.", Counter, "reason"}
)

// ConnectionsRejected is shared by all TCP listeners.
var ConnectionsRejected = Declaration{"guavaloom_connections_rejected_total", "connections", "Connections closed immediately because the listener or the client's address was at its connection limit, by listener.", Counter, "listener"}

// Metrics of the transport between instances.
var (
	PeerBytesSent     = Declaration{"guavaloom_peer_sent_bytes_total", "bytes", "Bytes written to connections with other instances, by lane (control or data).", Counter, "lane"}
	PeerBytesReceived = Declaration{"guavaloom_peer_received_bytes_total", "bytes", "Bytes read from connections with other instances, by lane (control or data).", Counter, "lane"}
	PeerMessages      = Declaration{"guavaloom_peer_messages_sent_total", "messages", "Messages delivered to other instances, by class.", Counter, "class"}
	PeerDropped       = Declaration{"guavaloom_peer_messages_dropped_total", "messages", "Messages dropped before delivery, by reason.", Counter, "reason"}
	PeerDelayed       = Declaration{"guavaloom_peer_messages_delayed_total", "messages", "Messages delayed by the control budget, by class.", Counter, "class"}
	PeerRefused       = Declaration{"guavaloom_peer_refused_total", "refusals", "Connections and exchanges refused, by reason.", Counter, "reason"}
	PeerRetries       = Declaration{"guavaloom_peer_retries_total", "exchanges", "Exchanges that failed and are retried after a delay, by reason.", Counter, "reason"}
	PeerReloads       = Declaration{"guavaloom_peer_credential_reloads_total", "reloads", "Reloads of the TLS files after a change, by result.", Counter, "result"}
)

// Metrics of the zone, of steering, of requests and of the rollout.
var (
	ZoneEvents     = Declaration{"guavaloom_zone_events_total", "events", "Changes of the instance's role or membership in its zone, by kind.", Counter, "kind"}
	Pins           = Declaration{"guavaloom_pins", "pins", "Pins and copies of pins stored on the instance.", Gauge, ""}
	PinEvents      = Declaration{"guavaloom_pin_events_total", "pins", "Pins that were evicted, expired, refused, in conflict, decided without another instance or transferred, by event.", Counter, "event"}
	RequestReasons = Declaration{"guavaloom_request_reasons_total", "requests", "Requests that were refused, retried or not answered, by reason.", Counter, "reason"}
	HealthReports  = Declaration{"guavaloom_health_problems_total", "events", "Probes that were skipped and reports that could not be read, by reason.", Counter, "reason"}
	RolloutReports = Declaration{"guavaloom_rollout_reports_total", "reports", "Unusual events of the rollout of bundles, by reason.", Counter, "reason"}
)

// Metrics of an instance that steers by tokens.
var (
	EdgePackets       = Declaration{"guavaloom_edge_packets_total", "packets", "Client packets, by verdict (forward, reset or drop) and reason.", Counter, "outcome"}
	EdgeSuspects      = Declaration{"guavaloom_edge_suspects_total", "events", "Targets that were suspected of failure or cleared of suspicion, by event.", Counter, "event"}
	EdgePaces         = Declaration{"guavaloom_edge_paces_total", "events", "Targets whose pacing began, by cause, or reached its full pace (full).", Counter, "event"}
	EdgeTimes         = Declaration{"guavaloom_edge_time_ms", "milliseconds", "Durations measured in the packets of flows, by span: opening, first_data and first_answer since the first packet of the flow, answer since the last packet of the request.", Histogram, "span"}
	EdgeUsedViewAge   = Declaration{"guavaloom_edge_used_view_age_ms", "milliseconds", "Age of the view at placements and refusals, by part (config or targets).", Histogram, "part"}
	EdgeFlows         = Declaration{"guavaloom_edge_flows", "flows", "Flows that the instance tracks and that have not ended.", Gauge, ""}
	EdgeReads         = Declaration{"guavaloom_edge_reads_total", "calls", "Calls that update the replica of the store, by source, call and result.", Counter, "result"}
	EdgeReadTime      = Declaration{"guavaloom_edge_read_ms", "milliseconds", "Duration of list calls, by source (store or peer).", Histogram, "source"}
	EdgeChangeAge     = Declaration{"guavaloom_edge_told_age_ms", "milliseconds", "Age of changes when they are received, by source (store or peer).", Histogram, "source"}
	EdgeStaleLists    = Declaration{"guavaloom_edge_stale_lists_total", "lists", "Lists ignored because they were older than the replica, by source.", Counter, "source"}
	EdgeConflicts     = Declaration{"guavaloom_edge_version_conflicts_total", "objects", "Objects ignored because their version was not above the one held, although their content differed, by kind.", Counter, "kind"}
	EdgeRestores      = Declaration{"guavaloom_edge_store_restores_total", "restores", "Restores of the store from an older copy that the replica has followed, by kind.", Counter, "kind"}
	EdgeStoreEpoch    = Declaration{"guavaloom_edge_store_epoch", "epochs", "Epoch of the store that the replica shows, by kind; 0 while only a list of unknown age is held.", Gauge, "kind"}
	EdgeReady         = Declaration{"guavaloom_edge_ready", "boolean", "1 while the instance reports that it is ready.", Gauge, ""}
	EdgeViewAge       = Declaration{"guavaloom_edge_view_age_ms", "milliseconds", "Time since the replica was last known to match the store, by kind of object.", Gauge, "kind"}
	EdgeChanges       = Declaration{"guavaloom_edge_view_changes_total", "changes", "Changes of the view, by kind.", Counter, "change"}
	EdgeSkippedInputs = Declaration{"guavaloom_edge_skipped_inputs_total", "inputs", "Packets, entries and rounds of periodic work skipped because processing them panicked, by part of the program.", Counter, "part"}
	EdgeRebuilds      = Declaration{"guavaloom_edge_state_rebuilds_total", "rebuilds", "Rebuilds of the view and the flow table from the replica after a panic.", Counter, ""}
	EdgeReports       = Declaration{"guavaloom_edge_reports_total", "datagrams", "Reports about targets exchanged with other instances: sent, received, or dropped with the reason.", Counter, "event"}
	EdgeEvacuations   = Declaration{"guavaloom_edge_evacuations", "data centres", "Evacuated data centres known to the instance.", Gauge, ""}
	EdgeOverload      = Declaration{"guavaloom_edge_overload_total", "flows", "New flows of full services, by outcome (admitted, elsewhere or rejected), priority and kind of the route.", Counter, "class"}
	EdgeFullServices  = Declaration{"guavaloom_edge_full_services", "services", "Services whose targets in the own data centre are full.", Gauge, ""}
	EdgeColdFlows     = Declaration{"guavaloom_edge_cold_flows_total", "flows", "Flows affected by the allowance of cold targets: held_back from a cold target and placed elsewhere, or refused.", Counter, "outcome"}
	EdgeEvacuated     = Declaration{"guavaloom_edge_evacuated_flows_total", "flows", "New flows placed elsewhere because the instance's own data centre is evacuated, and new flows refused because of an evacuation, by outcome.", Counter, "outcome"}
	EdgeFailedPeers   = Declaration{"guavaloom_edge_failed_instances", "instances", "Registered instances that did not answer this one's last attempt.", Gauge, ""}
	EdgeExpiredPeers  = Declaration{"guavaloom_edge_expired_instances_total", "instances", "Entries of instances that did not answer for long and that this one removed.", Counter, ""}
	EdgeUnreadable    = Declaration{"guavaloom_edge_unreadable_total", "entries", "Entries of the store that could not be read, by kind.", Counter, "kind"}
)
