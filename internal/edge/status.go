package edge

import (
	"cmp"
	"context"
	"net/url"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/view"
)

// status returns the instance's view for the status query.
func (i *Instance) status(context.Context, url.Values) (any, error) {
	now := i.now()
	s := explain.EdgeStatus{Instance: i.settings.Name, Zone: i.settings.Zone, NotReady: i.notReadyReasons()}
	s.ReadsStore, s.ZoneInstances = i.readsStore(now), i.registry.zoneSize()
	for _, kind := range i.replica.Kinds() {
		age, listed := i.replica.Age(now, kind)
		held := i.replica.Version(kind)
		k := explain.KindStatus{Kind: kind, Listed: listed, Version: held.Revision(), Epoch: held.Epoch()}
		if listed {
			k.AgeMillis = age.Milliseconds()
		}
		s.Kinds = append(s.Kinds, k)
	}
	i.lockState()
	defer i.mu.Unlock()
	s.Config, s.Flows = i.forward.View.Config().Version, i.forward.Flows()
	for _, e := range i.forward.View.Evacuations() {
		s.Evacuations = append(s.Evacuations, evacuationStatus(now, e))
	}
	i.forward.View.Targets(func(t *view.Target) { s.Targets = append(s.Targets, i.targetStatus(now, t)) })
	slices.SortFunc(s.Targets, func(a, b explain.TargetStatus) int { return cmp.Compare(a.Target, b.Target) })
	return s, nil
}

func evacuationStatus(now time.Duration, e view.Evacuation) explain.EvacuationStatus {
	version := objectstore.Version(e.Version)
	return explain.EvacuationStatus{
		Zone: e.Zone, SinceMillis: (now - e.Since).Milliseconds(), Version: version.Revision(), Epoch: version.Epoch(),
	}
}

func (i *Instance) targetStatus(now time.Duration, t *view.Target) explain.TargetStatus {
	load, suspected := i.forward.Load(now, t.ID)
	reported := i.forward.Reported(now, t.ID)
	state := "ready"
	switch {
	case i.forward.View.Ended(now, t):
		state = "ended"
	case t.Removed:
		state = "removed"
	case t.Draining:
		state = "draining"
	case t.Unreadable:
		state = "unreadable"
	case i.forward.View.Evacuated(t.Zone):
		state = "evacuated"
	case suspected:
		state = "suspected"
	}
	return explain.TargetStatus{
		Target: string(t.ID), Service: string(t.Service), Zone: t.Zone, State: state,
		Open: load.Open, Busy: load.Busy, LatencyMillis: load.Latency.Milliseconds(), Pace: load.Pace,
		Allowance:  i.allowanceStatus(now, t),
		ReportedBy: reported.Sources, ReportedSilent: reported.Silent, ReportedLatency: reported.Latency,
	}
}
