package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/health"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// healthTick is the interval at which due probes are started.
	healthTick = 250 * time.Millisecond
	// verdictInterval is the interval of reports to the leader, and of proposals that
	// follow from health verdicts and ramps.
	verdictInterval = time.Second
	// maxConcurrentProbes bounds the running probes of an instance. About 18 targets for each
	// of 137 instances are probed every second.
	maxConcurrentProbes = 64
	// loadHeader is the response header of a health path by which a target reports
	// its load, in percent of its capacity.
	loadHeader = "Guavaloom-Load"
	// maxProbeBodyBytes bounds how much of a health path's response body is read.
	maxProbeBodyBytes = 4 << 10
)

// healthController probes targets and derives the desired state of the zone from the
// bundle and the health verdicts.
type healthController struct {
	d          *daemon
	client     *http.Client
	probeSlots chan struct{} // semaphore of running probes

	proposing sync.Mutex // taken before zoneController.mu; orders the proposals
	proposed  zone.Desired
	seen      *zone.Table // table at the last proposal

	mu       sync.Mutex // taken after zoneController.mu
	prober   *health.Prober
	merger   *health.Merger
	bundle   *bundle.Bundle
	withheld []bundle.AddressUse
	gone     []instance.Ref
	changed  bool        // bundle or withheld uses changed since the last proposal
	planned  *zone.Table // table that the probe plan is based on
	probes   map[health.Key]probe
	byAddr   map[netip.AddrPort][]health.Key
	nextSend time.Duration
}

// probe is how a target is probed.
type probe struct {
	addr netip.AddrPort
	path string // empty for a TCP connect
}

func newHealthController(d *daemon) *healthController {
	return &healthController{d: d, prober: health.NewProber(d.self), merger: health.NewMerger(d.self.Zone),
		probeSlots: make(chan struct{}, maxConcurrentProbes),
		// A new connection for each probe: an old one may work while new ones fail.
		client: &http.Client{Timeout: health.ProbeTimeout, Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// setInputs records the bundle, the withheld address uses and the gone instances from
// the rollout, and proposes the resulting desired state.
func (h *healthController) setInputs(b *bundle.Bundle, withheld []bundle.AddressUse, gone []instance.Ref) {
	h.mu.Lock()
	h.bundle, h.withheld, h.gone, h.changed = b, withheld, gone, true
	h.mu.Unlock()
	h.propose(true)
}

// propose passes the desired state to the zone protocol if it changed or always is set.
// An instance that doesn't lead computes it only after a new table, from which it would
// continue as leader, because the cost grows with the bundle.
func (h *healthController) propose(always bool) {
	h.proposing.Lock()
	defer h.proposing.Unlock()
	leader, ok := h.d.zone.leader()
	leading, t := ok && leader.Same(h.d.self), h.d.table.Load()
	if !always && !leading && t == h.seen {
		return
	}
	h.seen = t
	w := h.desired(leading, t)
	if always || !reflect.DeepEqual(w, h.proposed) {
		h.proposed = w
		h.d.zone.propose(w)
	}
}

func (h *healthController) desired(leading bool, t *zone.Table) zone.Desired {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bundle == nil {
		return zone.Desired{Gone: h.gone}
	}
	now := h.d.now()
	if h.changed || len(h.withheld) > 0 {
		h.changed = false
		h.merger.SetBundle(now, h.bundle.Revision, servicesOf(h.bundle, h.withheld, t))
	}
	if t != nil {
		h.merger.SetRoster(t.Roster, h.gone)
		if !leading {
			// The leader's table is what a new leader continues from.
			h.merger.Resume(now, t)
		}
	}
	w := h.merger.Desired(now)
	w.Gone = h.gone
	w.Services = slices.DeleteFunc(w.Services, func(s zone.DesiredService) bool { return isRemoteFlowService(s, t) })
	return w
}

// isRemoteFlowService reports whether a service does not concern this zone: a flow service
// without targets here that the table does not hold. A bundle has the services of
// all zones, and the table is copied to every member. A request service stays,
// since its requests may spill to another zone; a service in the table stays until
// the bundle drops it, since pins may refer to its former targets.
func isRemoteFlowService(s zone.DesiredService, t *zone.Table) bool {
	return s.Service.Kind == service.Flow && len(s.Targets) == 0 && (t == nil || t.Service(s.Service.ID) == nil)
}

// deliver takes a member's report. It is called under zoneController.mu.
func (h *healthController) deliver(from instance.Ref, p membership.Payload) {
	if p.Kind != health.PayloadKind {
		return
	}
	r, err := health.DecodeReport(p.Data)
	if err != nil {
		h.d.metrics.Counter(metric.HealthReports, "bad_report").Inc(1)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merger.Observe(h.d.now(), from, r)
}

// tick starts the probes that are due, reports verdicts and proposes changes.
func (h *healthController) tick(ctx context.Context) {
	now := h.d.now()
	h.mu.Lock()
	h.updatePlan()
	for _, k := range h.prober.Due(now) {
		h.startProbe(ctx, k, h.probes[k])
	}
	send := now >= h.nextSend
	var r health.Report
	if send {
		h.nextSend = now + verdictInterval
		r = h.prober.Report(now)
	}
	h.mu.Unlock()
	if !send {
		return
	}
	if len(r.Observations) > 0 {
		h.send(r)
	}
	h.propose(false)
}

func (h *healthController) send(r health.Report) {
	data, err := r.Encode()
	if err != nil {
		return // plain values always encode
	}
	h.d.zone.call(func(now time.Duration) []membership.Action {
		return h.d.zone.node.SetPayload(now, membership.Payload{Kind: health.PayloadKind, Data: data})
	})
}

// updatePlan derives the probe plan from the table: the roster lists the probing
// instances, the entries the targets.
func (h *healthController) updatePlan() {
	t := h.d.table.Load()
	if t == nil || t == h.planned {
		return
	}
	h.planned = t
	h.probes, h.byAddr = map[health.Key]probe{}, map[netip.AddrPort][]health.Key{}
	var services []zone.DesiredService
	for i := range t.Services {
		s := &t.Services[i]
		ds := zone.DesiredService{Service: s.Service}
		for _, e := range s.Targets {
			if e.Removed {
				continue
			}
			k := health.Key{Service: s.Service.ID, Target: e.Target.ID}
			h.probes[k] = probe{e.Target.Addr, s.Service.HealthPath}
			h.byAddr[e.Target.Addr] = append(h.byAddr[e.Target.Addr], k)
			ds.Targets = append(ds.Targets, zone.DesiredTarget{Target: e.Target})
		}
		services = append(services, ds)
	}
	h.prober.Plan(t.Roster, services)
}

// startProbe probes in the background. When too many probes are running, it skips the
// probe and counts it, since a late result says nothing about the target.
func (h *healthController) startProbe(ctx context.Context, k health.Key, p probe) {
	select {
	case h.probeSlots <- struct{}{}:
	default:
		h.d.metrics.Counter(metric.HealthReports, "probe_skipped").Inc(1)
		return
	}
	go func() {
		defer func() { <-h.probeSlots }()
		ctx, cancel := context.WithTimeout(ctx, health.ProbeTimeout)
		defer cancel()
		ok, load := h.probe(ctx, p)
		if ctx.Err() == context.Canceled {
			return // the instance is stopping
		}
		h.mu.Lock()
		h.prober.RecordProbe(k, ok, load)
		h.mu.Unlock()
		if ok && load >= 0 {
			h.d.request.Report(k.Service, k.Target, float64(load)/100)
		}
	}()
}

// probe returns whether a target answers, and the load in percent that it reports or -1.
func (h *healthController) probe(ctx context.Context, p probe) (ok bool, load int) {
	if p.path == "" {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", p.addr.String())
		if err != nil {
			return false, -1
		}
		_ = c.Close()
		return true, -1
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr.String()+p.path, nil)
	if err != nil {
		return false, -1
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return false, -1
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBodyBytes)
	load, err = strconv.Atoi(resp.Header.Get(loadHeader))
	if err != nil || load < 0 {
		load = -1
	}
	return resp.StatusCode == http.StatusOK, load
}

// recordRefused records a failure of each target whose port refused a packet.
func (h *healthController) recordRefused(addrs []netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range addrs {
		for _, k := range h.byAddr[netip.AddrPortFrom(a.Addr().Unmap(), a.Port())] {
			h.prober.RecordOutcome(k, false)
		}
	}
}

// servicesOf returns the services of a bundle without the withheld address uses: it
// omits withheld targets, and a service whose address is withheld keeps its address in
// the table, or is omitted if it is new.
func servicesOf(b *bundle.Bundle, withheld []bundle.AddressUse, t *zone.Table) []service.Service {
	if len(withheld) == 0 {
		return b.Services
	}
	var out []service.Service
	for _, s := range b.Services {
		if s.Address.IsValid() && isWithheld(withheld, bundle.AddressUse{Address: s.Address, Protocol: s.Protocol, Service: s.ID}) {
			if t == nil || t.Service(s.ID) == nil {
				continue
			}
			in := t.Service(s.ID).Service
			s.Address, s.Protocol = in.Address, in.Protocol
		}
		targets := s.Targets
		s.Targets = nil
		for _, g := range targets {
			if !isWithheld(withheld, bundle.AddressUse{Address: g.Addr, Service: s.ID}) {
				s.Targets = append(s.Targets, g)
			}
		}
		out = append(out, s)
	}
	return out
}
