package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"strings"

	"guavaloom.example/guavaloom/internal/admin"
	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/zone"
)

// notReady returns the reasons for which the instance accepts no packets.
func (d *daemon) notReady() []string {
	reasons := d.tableNotReady()
	if !d.leased() {
		reasons = append(reasons, "lease_lapsed")
	}
	if !d.secrets.known() {
		reasons = append(reasons, "no_secrets")
	}
	return reasons
}

// requestsNotReady returns the reasons for which the request listener accepts no
// requests. An isolated instance accepts those that need no agreement.
func (d *daemon) requestsNotReady() []string {
	reasons := d.tableNotReady()
	if !d.leased() && !d.isolated() {
		reasons = append(reasons, "lease_lapsed")
	}
	return reasons
}

func (d *daemon) tableNotReady() []string {
	var reasons []string
	if d.stopping.Load() {
		reasons = append(reasons, "leaving")
	}
	t := d.table.Load()
	switch {
	case t == nil:
		reasons = append(reasons, "no_table")
	case t.Bundle == (zone.Revision{}):
		reasons = append(reasons, "no_bundle")
	}
	return reasons
}

// status is the answer of GET /status.
type status struct {
	Instance    string               `json:"instance"`
	Incarnation instance.Incarnation `json:"incarnation"` // as in the platform's list
	Version     string               `json:"version"`     // of the zone table
	Revision    string               `json:"revision"`    // in force here
	Held        string               `json:"held"`        // newest bundle held
	Leader      string               `json:"leader"`      // empty if unknown
	Members     []string             `json:"members"`     // of the roster
	Suspects    []string             `json:"suspects"`    // members that missed renewals
	Leased      bool                 `json:"leased"`      // may steer packets
	Isolated    bool                 `json:"isolated"`    // serves requests that need no agreement, without a lease
	NotReady    []string             `json:"not_ready"`   // reasons
	Pins        int                  `json:"pins"`        // pins and copies held
}

func (d *daemon) status(context.Context, url.Values) (any, error) {
	s := status{Instance: string(d.self.ID), Incarnation: d.self.Incarnation, Leased: d.leased(), Isolated: !d.leased() && d.isolated(), NotReady: append([]string{}, d.notReady()...),
		Members: []string{}, Suspects: []string{}, Pins: d.steerer.Stats().Pins}
	if b := d.bundle.Load(); b != nil {
		s.Held = b.Revision.String()
	}
	if l, ok := d.zone.leader(); ok {
		s.Leader = string(l.ID)
	}
	if t := d.table.Load(); t != nil {
		s.Version, s.Revision = t.Version.String(), t.Bundle.String()
		for _, r := range t.Roster {
			s.Members = append(s.Members, string(r.ID))
		}
	}
	d.zone.mu.Lock()
	defer d.zone.mu.Unlock()
	for _, r := range d.zone.suspects {
		s.Suspects = append(s.Suspects, string(r.ID))
	}
	return s, nil
}

// explainFlow answers `guavaloom explain flow`.
func (d *daemon) explainFlow(question []byte) (any, error) {
	var q explain.FlowQuery
	if err := json.Unmarshal(question, &q); err != nil {
		return nil, &admin.BadRequest{Problem: "question is not valid JSON"}
	}
	key, problem := flowKey(q)
	if problem != "" {
		return nil, &admin.BadRequest{Problem: problem}
	}
	e := d.steerer.Explain(d.now(), steering.Packet{Key: key, First: q.First && q.Protocol == "tcp"})
	a := explain.FlowAnswer{Instance: string(d.self.ID), Leased: d.leased(), Service: string(e.Service), Slot: e.Slot,
		Touched: e.Touched, Base: e.Base, Current: e.Current, Home: string(e.Home), Second: string(e.Backup), Pin: e.Pin,
		Reason: strings.Join(e.Steps, "; "), Decision: e.Action.String()}
	t := d.table.Load()
	if t == nil {
		return a, nil
	}
	a.Version, a.Revision = t.Version.String(), t.Bundle.String()
	if s := t.Service(e.Service); s != nil {
		a.Phase = s.Phase.String()
		if e.Target != zone.NoTarget && int(e.Target) < len(s.Targets) {
			a.Target = string(s.Targets[e.Target].Target.ID)
		}
	}
	return a, nil
}

func flowKey(q explain.FlowQuery) (flow.Key, string) {
	var k flow.Key
	switch q.Protocol {
	case "tcp":
		k.Protocol = uint8(service.TCP)
	case "udp":
		k.Protocol = uint8(service.UDP)
	default:
		return k, "protocol must be tcp or udp"
	}
	src, err := netip.ParseAddrPort(q.Source)
	if err != nil {
		return k, "source must be IP:PORT"
	}
	dst, err := netip.ParseAddrPort(q.Destination)
	if err != nil {
		return k, "destination must be IP:PORT"
	}
	k.Src, k.SrcPort, k.Dst, k.DstPort = src.Addr(), src.Port(), dst.Addr(), dst.Port()
	return k, ""
}

// explainRequest answers `guavaloom explain request`.
func (d *daemon) explainRequest(question []byte) (any, error) {
	var q explain.RequestQuery
	if err := json.Unmarshal(question, &q); err != nil {
		return nil, &admin.BadRequest{Problem: "question is not valid JSON"}
	}
	a := d.request.Explain(q)
	if t := d.table.Load(); t != nil {
		a.Revision = t.Bundle.String()
	}
	return a, nil
}
