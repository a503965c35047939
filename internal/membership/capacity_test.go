package membership

import (
	"container/heap"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"guavaloom.example/guavaloom/internal/health"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// threadTime returns the processor time of the calling thread, which other load on
// the machine does not lengthen by waiting.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// meter runs a zone and adds up, per instance, the processor time of the core and of
// CBOR and, if health is set, sends the reports of real probers.
type meter struct {
	*fakenet
	spent   map[instance.ID]time.Duration
	probers map[instance.ID]*health.Prober
	sent    map[instance.ID]time.Duration
}

func (m *meter) run(d time.Duration) {
	for end := m.now + d; len(m.queue) > 0 && m.queue[0].at <= end; {
		e := heap.Pop(&m.queue).(event)
		m.now = max(m.now, e.at)
		h := m.hosts[e.to.ID]
		var raw []byte
		if e.message != nil {
			raw, _ = cbor.Marshal(e.message)
		}
		start := threadTime()
		var actions []Action
		if e.message != nil {
			var decoded Message
			if err := cbor.Unmarshal(raw, &decoded); err != nil {
				panic(err)
			}
			actions = h.Receive(m.now, e.from, decoded)
		} else {
			actions = append(h.Tick(m.now), m.report(h)...)
		}
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				_, _ = cbor.Marshal(&s.Message)
			}
		}
		m.spent[h.self.ID] += threadTime() - start
		m.act(h, actions)
		if e.message == nil {
			m.steer(h)
			m.push(event{at: m.now + tick, to: e.to})
		}
	}
}

// report hands the prober's report to the core once a second, as the daemon does.
func (m *meter) report(h *host) []Action {
	p := m.probers[h.self.ID]
	if p == nil || m.now < m.sent[h.self.ID]+time.Second {
		return nil
	}
	m.sent[h.self.ID] = m.now
	for _, k := range p.Due(m.now) {
		p.RecordProbe(k, true, -1)
	}
	data, err := p.Report(m.now).Encode()
	if err != nil {
		panic(err)
	}
	return h.SetPayload(m.now, Payload{Kind: health.PayloadKind, Data: data})
}

func (m *meter) probe() {
	m.probers, m.sent = map[instance.ID]*health.Prober{}, map[instance.ID]time.Duration{}
	roster := m.leader().Table().Roster
	for _, r := range roster {
		p := health.NewProber(r)
		p.Plan(roster, m.desired.Services)
		m.probers[r.ID] = p
	}
}

// BenchmarkControlRoles reports processor time and bytes of each role, with and
// without health reports, at 2.45 targets a service and one change every 8 s.
func BenchmarkControlRoles(b *testing.B) {
	for _, size := range []struct{ instances, services int }{{7, 17}, {35, 85}, {137, 331}, {7, 331}, {137, 85}} {
		for _, probing := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/health=%t", size.instances, probing), func(b *testing.B) {
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				m := &meter{fakenet: zoneOf(b, 20, size.instances), spent: map[instance.ID]time.Duration{}}
				m.desired = desiredServices(size.services)
				m.repropose(1)
				m.fakenet.run(30 * time.Second)
				if probing {
					m.probe()
					m.run(16 * time.Second)
				}
				const span = 32 * time.Second
				for b.Loop() {
					m.measureRoles(b, span, size.services)
				}
				table, _ := cbor.Marshal(m.leader().Table())
				b.ReportMetric(float64(len(table)), "table-B")
			})
		}
	}
}

// desiredServices has 2.45 targets a service, the mean of the target size.
func desiredServices(services int) zone.Desired {
	var d zone.Desired
	for i := range services {
		s := zone.DesiredService{Service: service.Service{ID: service.ID(fmt.Sprintf("service-%04d", i)), Protocol: service.TCP, IdleTimeout: 20 * time.Second}}
		for j := range 2 + ((i+1)*45/100 - i*45/100) {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(j), byte(i >> 8), byte(i)}), 80)
			s.Targets = append(s.Targets, zone.DesiredTarget{State: target.Active, Percent: 100,
				Target: target.Target{ID: target.ID(fmt.Sprintf("t-%04d-%d", i, j)), Addr: addr, Zone: "lk-a"}})
		}
		d.Services = append(d.Services, s)
	}
	d.Bundle = zone.Revision{Epoch: 1}
	return d
}

func (m *meter) measureRoles(b *testing.B, span time.Duration, services int) {
	clear(m.spent)
	m.count = countMessage
	for _, h := range m.hosts {
		h.bytes = 0
	}
	for round := range int(span / (8 * time.Second)) {
		m.desired.Services[round%services].Targets[0].Percent = 75
		m.repropose(m.desired.Bundle.Number + 1)
		m.run(8 * time.Second)
	}
	m.count = nil
	for role, v := range m.roles() {
		b.ReportMetric(v.bytes/span.Seconds(), role+"-B/s")
		b.ReportMetric(float64(v.spent.Microseconds())/span.Seconds(), role+"-cpu-us/s")
	}
}

type roleCost struct {
	bytes float64
	spent time.Duration
}

// roles returns the highest cost of each role.
func (m *meter) roles() map[string]roleCost {
	out := map[string]roleCost{}
	for id, h := range m.hosts {
		role := "member"
		if h.lead != nil {
			role = "leader"
		} else if h.isRelay() {
			role = "relay"
		}
		c := out[role]
		out[role] = roleCost{max(c.bytes, float64(h.bytes)), max(c.spent, m.spent[id])}
	}
	return out
}
