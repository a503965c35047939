package edge

import (
	"math"
	"net/netip"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/eventlog"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// Classes of log lines, with their limits in lines per second. In the users'
// deployments an instance places about 50 flows and forwards about 60 requests a second,
// and several times as many in a burst.
var (
	lifecycleClass = &eventlog.Class{Name: "life", Limit: 50}
	viewClass      = &eventlog.Class{Name: "view", Limit: 100}
	changeClass    = &eventlog.Class{Name: "change", Limit: 100}
	targetClass    = &eventlog.Class{Name: "target", Limit: 50}
	flowClass      = &eventlog.Class{Name: "flow", Limit: 500}
	requestClass   = &eventlog.Class{Name: "request", Limit: 500}
)

// decisionRecord is the log line of a forwarding decision. It is written without Instance.mu, so
// that it has copies of what may change.
type decisionRecord struct {
	flow    forwarding.FlowID
	request string
	verdict forwarding.Verdict
	reason  forwarding.Reason
	load    forwarding.LoadReport
	// target and service are empty if the flow has no target, route if it has none.
	target  target.ID
	service service.ID
	route   string
	config  uint64
	// configAge and targetAge are the ages of the view; negative if the decision
	// did not use it.
	configAge, targetAge time.Duration
}

// newDecisionRecord returns the record of a decision whose use of the view is not logged. The
// caller holds Instance.mu.
func newDecisionRecord(flow forwarding.FlowID, d *forwarding.Decision) *decisionRecord {
	r := &decisionRecord{flow: flow, verdict: d.Verdict, reason: d.Reason, load: d.Load, configAge: -1}
	if d.Target != nil {
		r.target, r.service = d.Target.ID, d.Target.Service
	}
	if d.Route != nil {
		r.route = d.Route.Name
	}
	return r
}

// Encode implements eventlog.Record.
func (r *decisionRecord) Encode(l *eventlog.Line) {
	l.Message("flow")
	l.Text(logfield.Flow, r.flow.String())
	l.Text(logfield.Verdict, r.verdict.String())
	if r.request != "" {
		l.Text(logfield.Request, r.request)
	}
	if r.target != "" {
		l.Text(logfield.Target, string(r.target))
		l.Text(logfield.Service, string(r.service))
	}
	if r.reason != "" {
		l.Text(logfield.Reason, string(r.reason))
	}
	if r.route != "" {
		l.Text(logfield.Route, r.route)
	}
	if r.configAge >= 0 {
		l.Number(logfield.Config, int64(r.config))
		l.Millis(logfield.ConfigAge, r.configAge)
	}
	l.Millis(logfield.TargetAge, r.targetAge)
	if load := r.load; load.Candidates > 0 {
		l.Number(logfield.Candidates, int64(load.Candidates))
		l.Number(logfield.Open, int64(load.Open))
		l.Number(logfield.Busy, int64(load.Busy))
		if load.Late > 0 {
			l.Number(logfield.Late, int64(load.Late))
		} else {
			l.Millis(logfield.Latency, load.Latency)
		}
	}
}

// changeRecord is the log line of a change of a target. The first list of a large fleet
// produces thousands of them at once.
type changeRecord struct {
	target, source string
	change         view.Change
	version        objectstore.Version
	// service, zone and addr are set if the target is known.
	service service.ID
	zone    string
	addr    netip.AddrPort
}

// Encode implements eventlog.Record.
func (r *changeRecord) Encode(l *eventlog.Line) {
	l.Message("target")
	l.Text(logfield.Target, r.target)
	l.Text(logfield.Change, string(r.change))
	l.Text(logfield.Source, r.source)
	l.Number(logfield.Epoch, int64(r.version.Epoch()))
	l.Number(logfield.Version, int64(r.version.Revision()))
	if r.addr.IsValid() {
		l.Text(logfield.Service, string(r.service))
		l.Text(logfield.Zone, r.zone)
		l.Text(logfield.Address, r.addr.String())
	}
}

// counters are the metrics of the packet path.
type counters struct {
	set      *metric.Set
	outcomes map[outcome]metrics.Counter
	flows    metrics.GaugeFloat64
	ready    metrics.GaugeFloat64
	times    map[forwarding.Span]*metric.LatencyHistogram
	// configAge and targetAge are the ages of the view in placements and refusals.
	configAge, targetAge *metric.LatencyHistogram
	// overload counts the new flows of full services.
	overload     map[overloadOutcome]metrics.Counter
	fullServices metrics.GaugeFloat64
	cold         coldCounters
	// placedElsewhere and refused count the new flows that an evacuation affected.
	placedElsewhere, refused metrics.Counter
}

type outcome struct {
	verdict forwarding.Verdict
	reason  forwarding.Reason
}

func newCounters(s *metric.Set) *counters {
	c := &counters{
		set: s, outcomes: map[outcome]metrics.Counter{},
		flows:     s.Gauge(metric.EdgeFlows, ""),
		ready:     s.Gauge(metric.EdgeReady, ""),
		times:     map[forwarding.Span]*metric.LatencyHistogram{},
		configAge: s.Histogram(metric.EdgeUsedViewAge, "config"),
		targetAge: s.Histogram(metric.EdgeUsedViewAge, "targets"),
		cold:      newColdCounters(s),

		placedElsewhere: s.Counter(metric.EdgeEvacuated, "placed_elsewhere"),
		refused:         s.Counter(metric.EdgeEvacuated, "refused"),
	}
	c.overload, c.fullServices = map[overloadOutcome]metrics.Counter{}, s.Gauge(metric.EdgeFullServices, "")
	for _, span := range []forwarding.Span{forwarding.Opening, forwarding.FirstData, forwarding.FirstAnswer, forwarding.Answer} {
		c.times[span] = s.Histogram(metric.EdgeTimes, span.String())
	}
	return c
}

// count counts a decision. The caller holds Instance.mu or has exclusive access.
func (c *counters) count(d forwarding.Decision) {
	o := outcome{d.Verdict, d.Reason}
	counter := c.outcomes[o]
	if counter == nil {
		label := strings.TrimSuffix(o.verdict.String()+":"+string(o.reason), ":")
		counter = c.set.Counter(metric.EdgePackets, label)
		c.outcomes[o] = counter
	}
	counter.Inc(1)
	c.cold.count(&d)
	switch {
	case d.LocalEvacuated:
		c.placedElsewhere.Inc(1)
	case d.Verdict == forwarding.Reset && d.Reason == forwarding.Evacuated:
		c.refused.Inc(1)
	}
}

// observer writes the forwarder's events to the log and the metrics.
type observer struct{ i *Instance }

var _ forwarding.Observer = observer{}

// Event implements forwarding.Observer.
func (o observer) Event(_ time.Duration, e forwarding.Event) {
	if e.Kind == forwarding.Paced || e.Kind == forwarding.FullPace {
		o.paceEvent(e)
		return
	}
	o.i.metrics.Counter(metric.EdgeSuspects, string(e.Kind)).Inc(1)
	o.i.log.Event(targetClass, "target "+string(e.Kind), logrus.Fields{
		logfield.Target: string(e.Target.ID), logfield.Service: string(e.Target.Service),
		logfield.Zone: e.Target.Zone, logfield.Age: e.SilentFor.Milliseconds(),
	})
}

// paceEvent writes the begin or the end of a target's pacing.
func (o observer) paceEvent(e forwarding.Event) {
	label := "full"
	if e.Kind == forwarding.Paced {
		label = string(e.Cause)
	}
	o.i.metrics.Counter(metric.EdgePaces, label).Inc(1)
	fields := logrus.Fields{
		logfield.Target: string(e.Target.ID), logfield.Service: string(e.Target.Service), logfield.Zone: e.Target.Zone,
		logfield.Pace: math.Round(e.Pace*100) / 100,
	}
	if e.Cause != "" {
		fields[logfield.Reason] = string(e.Cause)
	}
	o.i.log.Event(targetClass, "target "+string(e.Kind), fields)
}

// ObserveSpan implements forwarding.Observer.
func (o observer) ObserveSpan(s forwarding.Span, d time.Duration) { o.i.counters.times[s].Observe(d) }
