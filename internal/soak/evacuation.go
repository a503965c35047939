package soak

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/platform"
)

// Data centres: all instances are in the first, targets in both.
const (
	ownZone   = "a"
	otherZone = "b"
)

// evacuationSettings are the settings that enable evacuations.
const evacuationSettings = "[deployment]\nevacuation_bound_ms = 5000\nzones = a=north,b=south\n"

const (
	// evacuationBound is how soon the targets of an evacuated data centre must get no new flows.
	evacuationBound = 5 * time.Second
	// withdrawalKnown is how soon an instance in touch knows a withdrawal: an evacuation that a
	// restored store lacks holds for the return grace.
	withdrawalKnown = evacuationBound + 3*time.Second
	// coldFor is how long targets that come back after an evacuation are cold.
	coldFor = 5 * time.Second
	// evacuationChance is one in how many steps begins an evacuation while there is none.
	evacuationChance = 2
	// minEvacuation and maxEvacuation are the lengths of evacuations. Most are longer than the
	// bound; short ones are withdrawn before all instances know them.
	minEvacuation = time.Second
	maxEvacuation = 20 * time.Second
)

// evacuation is a data centre's evacuation from the store's acknowledgement to the withdrawal.
type evacuation struct {
	zone string
	from time.Time
	// until is when the withdrawal began, or is planned while withdrawn is not set.
	until     time.Time
	withdrawn bool
	// switchOff is set if the targets are to be switched off after the bound.
	switchOff bool
}

// evacuationStep begins an evacuation, switches the targets of an evacuated data centre off and
// on again, or withdraws an evacuation when it is due. At most one data centre is evacuated at a
// time, so that all routes can be served.
func (w *world) evacuationStep(script *[]string) {
	if w.evacuating == nil {
		return
	}
	now := time.Now()
	w.mu.Lock()
	var e *evacuation
	if n := len(w.evacuations); n > 0 && !w.evacuations[n-1].withdrawn {
		e = &w.evacuations[n-1]
	}
	switch {
	case e == nil:
		w.mu.Unlock()
		if w.evacuating.Intn(evacuationChance) == 0 {
			*script = append(*script, w.evacuate())
		}
	case now.After(e.until):
		e.until, e.withdrawn = now, true
		w.mu.Unlock()
		w.store.Delete(platform.EvacuationKind, e.zone)
		*script = append(*script, "withdraw "+e.zone)
	case e.switchOff && now.Sub(e.from) > evacuationBound:
		e.switchOff = false
		inTouch := w.running == 0 && now.Sub(w.faultUntil) > evacuationBound
		w.mu.Unlock()
		if !inTouch { // an instance may still place flows on these targets
			w.begin()
			time.AfterFunc(time.Second, w.end)
		}
		w.comeBackCold(e.zone)
		*script = append(*script, "targets of "+e.zone+" come back cold")
	default:
		w.mu.Unlock()
	}
}

// holdEvacuation makes most calms begin with an evacuation that lasts for their length, since the
// bound is judged only there.
func (w *world) holdEvacuation(length time.Duration, script *[]string) {
	if w.evacuating == nil || w.evacuating.Intn(4) == 0 {
		return
	}
	w.mu.Lock()
	n := len(w.evacuations)
	held := n > 0 && !w.evacuations[n-1].withdrawn
	w.mu.Unlock()
	if !held {
		*script = append(*script, w.evacuate())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &w.evacuations[len(w.evacuations)-1]
	if end := time.Now().Add(length); e.until.Before(end) {
		e.until = end
	}
}

func (w *world) evacuate() string {
	zone := []string{ownZone, otherZone}[w.evacuating.Intn(2)]
	length := minEvacuation + time.Duration(w.evacuating.Int63n(int64(maxEvacuation-minEvacuation)))
	switchOff := w.evacuating.Intn(2) == 0
	w.store.Put(platform.EvacuationKind, zone, "{}")
	now := time.Now() // the store has acknowledged it
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuations = append(w.evacuations, evacuation{zone: zone, from: now, until: now.Add(length), switchOff: switchOff})
	return "evacuate " + zone
}

// comeBackCold ends the targets of a data centre and starts cold ones in their place.
func (w *world) comeBackCold(zone string) {
	for _, service := range []string{"booking", "proofing"} {
		for _, t := range w.living(service, zone) {
			w.finish(t)
			w.store.RemoveTarget(t.ID())
			if err := w.addColdTarget(service, zone, netip.AddrPort{}, coldFor); err != nil {
				w.report("the run itself: %v", err)
			}
		}
	}
}

// checkEvacuations checks that no first packet reached a target of an evacuated data centre later
// than the bound after the acknowledgement, from instances that were in touch for as long. It
// returns for how long evacuations were judged.
func (w *world) checkEvacuations(calms []span) (judged time.Duration) {
	w.mu.Lock()
	targets, evacuations := slices.Clone(w.targets), slices.Clone(w.evacuations)
	w.mu.Unlock()
	for _, e := range evacuations {
		for _, s := range calms {
			from, to := s.quietSince(), s.to
			if e.from.After(from) {
				from = e.from
			}
			if from = from.Add(evacuationBound); e.withdrawn && e.until.Before(to) {
				to = e.until
			}
			judged += max(to.Sub(from), 0)
			for _, t := range targets {
				arrivals, _ := t.Arrivals()
				for _, a := range arrivals {
					if t.zone == e.zone && a.SYN && a.At.After(from) && a.At.Before(to) {
						w.report("target %s was given flow %s %s after the evacuation of %s", t.ID(), a.Flow, a.At.Sub(e.from), e.zone)
					}
				}
			}
		}
	}
	return judged
}

// quietSince returns when the last fault before a calm's span had ended.
func (s span) quietSince() time.Time { return s.from.Add(-calmFor) }

// checkKnownEvacuations checks at the end of a calm that every instance knows the present
// evacuation or withdrawal, if it has had the time to.
func (w *world) checkKnownEvacuations(s span) {
	w.mu.Lock()
	if len(w.evacuations) == 0 {
		w.mu.Unlock()
		return
	}
	last := w.evacuations[len(w.evacuations)-1]
	w.mu.Unlock()
	want, since, bound := last.zone, last.from, evacuationBound
	if last.withdrawn {
		want, since, bound = "", last.until, withdrawalKnown
	}
	if s.to.Sub(since) < bound || s.to.Sub(s.quietSince()) < bound {
		return
	}
	for _, i := range w.instances {
		known, err := i.knownEvacuation()
		if err != nil || known != want {
			w.report("%s takes %q for the evacuated data centre (error %v), %q is since %s", i.name, known, err, want, s.to.Sub(since))
		}
	}
}

// knownEvacuation returns the evacuated data centre that the process knows, "" if there is none.
func (i *instance) knownEvacuation() (string, error) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + i.admin.String() + explain.EdgeStatusPath)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var status explain.EdgeStatus
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil || len(status.Evacuations) == 0 {
		return "", err
	}
	return status.Evacuations[0].Zone, nil
}
