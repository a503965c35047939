package edge

import (
	"cmp"
	"context"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/view"
)

// explainPlacement answers where a new flow would go now. It places and sends nothing.
func (i *Instance) explainPlacement(_ context.Context, query url.Values) (any, error) {
	flow := forwarding.FlowID{}
	if text := query.Get("client"); text != "" {
		client, err := endpoint(text)
		if err != nil {
			return nil, errors.Wrap(err, "client")
		}
		flow.Client = client
	}
	i.lockState()
	defer i.mu.Unlock()
	var err error
	if flow.Service, err = i.routeEndpoint(query.Get("route")); err != nil {
		return nil, err
	}
	now, v := i.now(), i.forward.View
	e := i.forward.Explain(now, flow)
	out := explain.PlacementAnswer{
		Instance: i.settings.Name, Zone: i.settings.Zone, Service: string(e.Service),
		Decision: e.Decision.Verdict.String(), Reason: string(e.Decision.Reason), Full: e.Full, Instances: e.Instances,
		ConfigAgeMillis: (now - v.ConfigFreshAt).Milliseconds(), TargetsAgeMillis: (now - v.TargetsFreshAt).Milliseconds(),
	}
	if r := e.Decision.Route; r != nil {
		out.Route = r.Name
	}
	if t := e.Decision.Target; t != nil {
		out.Target = string(t.ID)
	}
	for _, evacuation := range v.Evacuations() {
		out.Evacuated = append(out.Evacuated, evacuation.Zone)
	}
	for _, x := range e.Examined {
		out.Targets = append(out.Targets, i.placementTarget(now, x))
	}
	slices.SortStableFunc(out.Targets, func(a, b explain.PlacementTarget) int { return cmp.Compare(a.Cost, b.Cost) })
	return out, nil
}

func (i *Instance) placementTarget(now time.Duration, x forwarding.Examined) explain.PlacementTarget {
	return explain.PlacementTarget{
		Target: string(x.Target.ID), Zone: x.Target.Zone, Skipped: string(x.Skipped),
		Utilization: x.Utilization, Cost: x.Cost, LastResort: x.Skipped == "" && !x.Reliable,
		Open: x.Load.Open, Busy: x.Load.Busy, LatencyMillis: x.Load.Latency.Milliseconds(),
		Pace: x.Load.Pace, Allowance: i.allowanceStatus(now, x.Target),
	}
}

// routeEndpoint returns the endpoint of a route, given as IP:PORT or by the route's name.
func (i *Instance) routeEndpoint(text string) (view.Endpoint, error) {
	for _, r := range i.forward.View.Config().Routes {
		if r.Name == text {
			return r.Endpoint, nil
		}
	}
	e, err := endpoint(text)
	if err != nil {
		return e, errors.Wrapf(err, "route %q is unknown and no endpoint", text)
	}
	return e, nil
}

func endpoint(text string) (view.Endpoint, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return view.Endpoint{}, err
	}
	e, ok := view.EndpointOf(addr)
	if !ok {
		return e, errors.Errorf("%s is not an IPv4 address", addr)
	}
	return e, nil
}
