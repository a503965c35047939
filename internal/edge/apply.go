package edge

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/replica"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// applyListing applies a listing from a source to the replica and the view. Both change under
// one lock, so that updates from two sources reach them in the same order. full means
// that the listing has all objects of the kind.
func (i *Instance) applyListing(now time.Duration, kind, source string, l objectstore.Listing, full bool) {
	i.lockState()
	defer i.mu.Unlock()
	held := i.replica.Version(kind)
	var u replica.Update
	if full {
		u = i.replica.ApplyList(now, kind, l)
	} else {
		u = i.replica.ApplyEvents(now, kind, l)
	}
	if u.Stale {
		i.metrics.Counter(metric.EdgeStaleLists, source).Inc(1)
		i.log.Event(viewClass, "older list ignored", versionFields(kind, source, l.Version, held))
		return
	}
	if u.Restored {
		i.metrics.Counter(metric.EdgeRestores, kind).Inc(1)
		i.log.Event(viewClass, "store was restored", versionFields(kind, source, l.Version, held))
	}
	i.metrics.Gauge(metric.EdgeStoreEpoch, kind).Update(float64(max(l.Version, held).Epoch()))
	i.reportConflicts(kind, source, u.Conflicts)
	if len(u.Objects) > 0 {
		i.metrics.Histogram(metric.EdgeChangeAge, source).Observe(l.Age)
	}
	age, _ := i.replica.Age(now, kind)
	if u.Outage || u.Restored {
		i.forward.View.OutageAt = now
	}
	if u.Restored && kind == i.platform.TargetKind {
		i.forward.View.ExtendClaims(now)
	}
	for _, o := range u.Objects {
		i.applyObject(now, kind, source, o, u.Restored)
	}
	i.recordListed(now, kind, age, u.First)
	if kind == i.platform.ConfigKind && l.Version.Epoch() > held.Epoch() && i.forward.View.OutageAt > 0 {
		i.forward.View.ConfigRestoredAt = now
	}
	i.releaseHeld(now)
	i.logReadinessChange()
	if u.First {
		i.log.Event(viewClass, "first list", logrus.Fields{
			logfield.Kind: kind, logfield.Source: source, logfield.Count: len(u.Objects),
			logfield.Epoch: l.Version.Epoch(), logfield.Version: l.Version.Revision(),
		})
	}
}

// recordListed records how old the state of a kind is that was applied; first means that all its
// objects were applied for the first time.
func (i *Instance) recordListed(now time.Duration, kind string, age time.Duration, first bool) {
	switch kind {
	case i.platform.ConfigKind:
		i.forward.View.ConfigFreshAt = now - age
	case i.platform.TargetKind:
		i.forward.View.TargetsFreshAt = now - age
		if first {
			i.forward.View.MarkListed()
		}
	case i.platform.InstanceKind:
		i.forward.SetInstances(i.registry.zoneSize())
		i.updateColdInstances(now)
	case i.platform.EvacuationKind:
		i.forward.View.EvacuationsFreshAt = now - age
		if first {
			i.forward.View.MarkEvacuationsListed()
		}
	}
}

// versionFields returns the log fields that compare the version of an answer with the one held.
func versionFields(kind, source string, version, held objectstore.Version) logrus.Fields {
	return logrus.Fields{
		logfield.Kind: kind, logfield.Source: source,
		logfield.Epoch: version.Epoch(), logfield.Version: version.Revision(),
		logfield.HeldEpoch: held.Epoch(), logfield.HeldVersion: held.Revision(),
	}
}

// reportConflicts logs objects that were ignored because their version is known, although
// their content differs.
func (i *Instance) reportConflicts(kind, source string, conflicts []objectstore.Object) {
	for _, o := range conflicts {
		i.metrics.Counter(metric.EdgeConflicts, kind).Inc(1)
		i.log.Event(viewClass, "object ignored, version is known with another content", logrus.Fields{
			logfield.Kind: kind, logfield.Source: source, logfield.Target: o.Key, logfield.Epoch: o.Version.Epoch(), logfield.Version: o.Version.Revision(),
		})
	}
}

// applyObject applies a change to the view. restored means that it is from the first answer
// of a restored store, which may show an older state than the view.
func (i *Instance) applyObject(now time.Duration, kind, source string, o objectstore.Object, restored bool) {
	defer i.recoverPanic("entry")
	_, name, _ := strings.Cut(o.Key, "/")
	switch kind {
	case i.platform.ConfigKind:
		i.applyConfig(name, source, o)
	case i.platform.TargetKind:
		i.applyTarget(now, name, source, o, restored)
	case i.platform.InstanceKind:
		i.applyInstance(now, name, o, restored)
	case i.platform.EvacuationKind:
		i.applyEvacuation(now, name, source, o, restored)
	}
}

func (i *Instance) applyConfig(name, source string, o objectstore.Object) {
	fields := logrus.Fields{logfield.Source: source, logfield.Epoch: o.Version.Epoch(), logfield.Version: o.Version.Revision()}
	if o.Deleted {
		i.log.Event(viewClass, "configuration deleted from the store, keeping the last one", fields)
		return
	}
	c, problems, err := i.platform.Entries.Config(name, o.Value)
	for _, p := range problems {
		i.reportUnreadable(i.platform.ConfigKind, name, p)
	}
	if err != nil {
		i.reportUnreadable(i.platform.ConfigKind, name, err)
		return
	}
	held := i.forward.View.Config().Version
	fields[logfield.Config], fields[logfield.Count] = c.Version, len(c.Routes)
	if !i.forward.View.SetConfig(c, o.Version.Epoch()) {
		fields[logfield.HeldVersion] = held
		i.log.Event(viewClass, "older configuration ignored", fields)
		return
	}
	i.metrics.Counter(metric.EdgeChanges, "config").Inc(1)
	i.log.Event(viewClass, "configuration", fields)
}

func (i *Instance) applyTarget(now time.Duration, name, source string, o objectstore.Object, restored bool) {
	t, change := i.updateTarget(now, name, o, restored)
	if change != view.Unchanged {
		i.reportTarget(name, source, o.Version, t, change)
	}
}

// updateTarget applies a change of a target's entry to the view.
func (i *Instance) updateTarget(now time.Duration, name string, o objectstore.Object, restored bool) (*view.Target, view.Change) {
	v, id, version := i.forward.View, target.ID(name), uint64(o.Version)
	if o.Deleted {
		if restored {
			v.RemoveRestored(now, id, version)
			return nil, view.Unchanged
		}
		return v.Remove(now, id, version)
	}
	e, err := i.platform.Entries.Target(name, o.Value)
	if err != nil {
		i.reportUnreadable(i.platform.TargetKind, name, err)
		if restored {
			v.PutUnreadableRestored(now, id, version)
			return nil, view.Unchanged
		}
		return nil, v.PutUnreadable(id, version)
	}
	if restored {
		return v.PutRestored(now, e, version)
	}
	return v.Put(now, e, version)
}

// settleTargets applies what a restored store says of targets that did not write again.
func (i *Instance) settleTargets(now time.Duration) {
	i.forward.View.Settle(now, func(t *view.Target, change view.Change) {
		i.reportTarget(string(t.ID), restoredSource, objectstore.Version(t.Version), t, change)
	})
}

// reportTarget logs and counts a change of a target and passes it to the forwarder. t is nil
// if the target's entry can't be read.
func (i *Instance) reportTarget(name, source string, version objectstore.Version, t *view.Target, change view.Change) {
	i.metrics.Counter(metric.EdgeChanges, string(change)).Inc(1)
	record := &changeRecord{target: name, change: change, source: source, version: version}
	if t != nil {
		i.forward.UpdateTarget(t)
		record.service, record.zone, record.addr = t.Service, t.Zone, t.Addr
	}
	i.log.Add(changeClass, record)
}

// maxLoggedBytes bounds the logged part of a text that may quote an entry of another writer.
const maxLoggedBytes = 300

func (i *Instance) reportUnreadable(kind, name string, err error) {
	i.metrics.Counter(metric.EdgeUnreadable, kind).Inc(1)
	i.log.Event(viewClass, "entry unreadable", logrus.Fields{logfield.Kind: kind, logfield.Target: clip(name), logfield.Error: clip(err.Error())})
}

// clip returns the first maxLoggedBytes of a text.
func clip(text string) string { return text[:min(len(text), maxLoggedBytes)] }

func (i *Instance) applyInstance(now time.Duration, name string, o objectstore.Object, restored bool) {
	if o.Deleted {
		if restored { // the instance registers again, and serves meanwhile
			i.registry.markLost(now, name)
		} else {
			i.registry.remove(name)
		}
		return
	}
	zone, addr, err := i.platform.Entries.Instance(o.Value)
	if err != nil {
		i.reportUnreadable(i.platform.InstanceKind, name, err)
		return
	}
	i.registry.put(name, zone, addr)
}
