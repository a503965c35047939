package idempotency

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// zoneModel simulates a zone whose members install tables at different times, at most
// one version apart, as the zone protocol guarantees.
type zoneModel struct {
	rng        *rand.Rand
	now        time.Duration
	homes      map[instance.ID]*member
	tables     []*zone.Table
	runs       map[Key]int
	lastRunAt  map[Key]time.Duration
	tokens     []Key
	token      map[Key]Token
	violations []string
	counts     map[string]int
	spawned    int
	retention  time.Duration
}

type member struct {
	ref       instance.Ref
	home      *KeyStore
	table     int // index of the installed table
	alive     bool
	leased    bool
	leaving   bool
	sending   []Key // keys with a Run verdict that have not been sent
	answering []Key // keys that have been sent and not answered
}

func newZone(seed int64, keep time.Duration) *zoneModel {
	m := &zoneModel{rng: rand.New(rand.NewSource(seed)), homes: map[instance.ID]*member{}, runs: map[Key]int{}, lastRunAt: map[Key]time.Duration{}, token: map[Key]Token{}, counts: map[string]int{}, retention: keep}
	var first []instance.Ref
	for range 3 {
		first = append(first, m.spawn().ref)
	}
	m.tables = []*zone.Table{m.table(first)}
	for _, x := range m.homes {
		x.home.Install(0, m.tables[0])
	}
	return m
}

func (m *zoneModel) spawn() *member {
	m.spawned++
	r := instance.Ref{ID: instance.ID(fmt.Sprintf("i%d", m.spawned)), Incarnation: 1, Zone: "z"}
	x := &member{ref: r, alive: true, leased: true, table: -1, home: New(r, Limits{Retention: m.retention, Records: 40, AnswerBytes: 100, TotalBytes: 800})}
	m.homes[r.ID] = x
	return x
}

func (m *zoneModel) table(members []instance.Ref) *zone.Table {
	n := len(m.tables) + 1
	t := &zone.Table{Zone: "z", Version: zone.Version{Term: 1, Seq: uint64(n)}, Roster: members, Homes: []zone.HomeSet{{Number: uint32(n), Members: members}}}
	if len(m.tables) > 0 {
		old := m.tables[len(m.tables)-1].Homes
		t.Homes = append(t.Homes, old[:min(len(old), zone.MaxHomeSets-1)]...)
	}
	return t
}

// changeHomeSet adds or removes one member, once all members have installed the last table.
func (m *zoneModel) changeHomeSet() {
	last := m.tables[len(m.tables)-1]
	for _, r := range last.Roster {
		if x := m.homes[r.ID]; x.alive && x.leased && x.table != len(m.tables)-1 {
			return
		}
	}
	var next []instance.Ref
	gone := false
	for _, r := range last.Roster {
		x := m.homes[r.ID]
		if !gone && (!x.alive || !x.leased || x.leaving) {
			gone = true
			continue
		}
		next = append(next, r)
	}
	if !gone {
		if len(next) >= 5 {
			return
		}
		next = append(next, m.joiner(last).ref)
	}
	if len(next) == 0 {
		return
	}
	m.tables = append(m.tables, m.table(next))
	if !gone { // the joiner starts with this table
		x := m.homes[next[len(next)-1].ID]
		x.leased = true
		m.install(x)
	}
}

// joiner returns a new instance, or one that was removed from the roster while paused.
func (m *zoneModel) joiner(last *zone.Table) *member {
	for n := 1; n <= m.spawned; n++ {
		x := m.homes[instance.ID(fmt.Sprintf("i%d", n))]
		if x.alive && !x.leaving && !slices.ContainsFunc(last.Roster, x.ref.Same) && m.rng.Intn(2) == 0 {
			return x
		}
	}
	return m.spawn()
}

func (m *zoneModel) install(x *member) {
	to := len(m.tables) - 1
	if x.table == to || !x.alive {
		return
	}
	t := m.tables[to]
	x.table = to
	x.home.Install(m.now, t)
	if x.leaving && len(x.sending)+len(x.answering) > 0 {
		return
	}
	m.export(x, t.Homes[0])
}

func (m *zoneModel) export(x *member, set zone.HomeSet) {
	for _, h := range x.home.Export(m.now, set, 500) {
		if y := m.homes[h.To.ID]; y != nil && y.alive && m.rng.Intn(4) > 0 { // one handover in four is lost
			y.home.Import(m.now, h)
		}
	}
}

func (m *zoneModel) request(k Key, x *member) {
	fp := Fingerprint{1}
	for range 4 {
		var v Verdict
		if t, ok := m.token[k]; ok {
			v = x.home.BeginToken(m.now, t, k, fp, x.leased)
		} else {
			v = x.home.Begin(m.now, k, fp, x.leased)
		}
		m.counts[fmt.Sprint(v.Kind, v.Reason)]++
		switch v.Kind {
		case Run:
			x.sending = append(x.sending, k)
			if m.runs[k] > 0 && m.now-m.lastRunAt[k] < m.retention {
				m.violations = append(m.violations, fmt.Sprintf("%v begins twice, first at %v, now %v", k, m.lastRunAt[k], m.now))
			}
			return
		case Forward:
			if x = m.homes[v.Home.ID]; x == nil || !x.alive {
				return
			}
		case QueryFormer:
			if !m.ask(x, k, v) {
				return
			}
		case Replay:
			if m.runs[k] == 0 {
				m.violations = append(m.violations, "an answer was replayed for a key that never ran")
			}
			return
		case Refuse:
			return
		default:
			return
		}
	}
}

func (m *zoneModel) ask(x *member, k Key, v Verdict) bool {
	var asked []instance.Ref
	var replies []KeyQueryReply
	for ask := v.Former; len(ask) > 0; {
		for _, to := range ask {
			y := m.homes[to.ID]
			if !y.alive || m.rng.Intn(5) == 0 {
				return false
			}
			asked, replies = append(asked, to), append(replies, y.home.HandleQuery(m.now, KeyQuery{Key: k, HomeSet: v.HomeSet}))
		}
		ask = x.home.ApplyReplies(m.now, k, v.HomeSet, asked, replies)
	}
	return true
}

// send performs a pending send. Sends are delayed so that tables can change between the
// verdict and the send.
func (m *zoneModel) send(x *member) {
	k := x.sending[0]
	x.sending = x.sending[1:]
	if !x.home.ConfirmSend(m.now, k, x.leased) {
		x.home.NotRun(k)
		return
	}
	if _, token := m.token[k]; m.runs[k] > 0 && (token || m.now-m.lastRunAt[k] < m.retention) {
		m.violations = append(m.violations, fmt.Sprintf("%v ran twice, first at %v, now %v", k, m.lastRunAt[k], m.now))
	}
	m.runs[k]++
	m.lastRunAt[k] = m.now
	x.answering = append(x.answering, k)
}

func (m *zoneModel) answer(x *member) {
	k := x.answering[0]
	x.answering = x.answering[1:]
	switch m.rng.Intn(4) {
	case 0:
		x.home.OutcomeUnknown(k)
	case 1: // the target states that it did not run
		m.runs[k]--
		m.lastRunAt[k] = -time.Hour // an earlier run, if any, is older than the retention period
		x.home.NotRun(k)
	default:
		x.home.Answered(k, &Answer{Status: 200, Body: make([]byte, m.rng.Intn(150))})
	}
}

func (m *zoneModel) fault(x *member) {
	switch m.rng.Intn(12) {
	case 0:
		x.alive = false
	case 1:
		x.leaving = true
		x.home.Leave()
	case 2:
		x.leased = !x.leased // paused beyond its lease, or renewed while still a member
		if x.leased && !m.current(x) {
			x.leased = false
		}
	}
}

func (m *zoneModel) current(x *member) bool {
	for _, r := range m.tables[len(m.tables)-1].Roster {
		if r.Same(x.ref) {
			return true
		}
	}
	return false
}

func (m *zoneModel) run(steps int) {
	for range steps {
		m.now += time.Duration(m.rng.Intn(400)) * time.Millisecond
		x := m.homes[instance.ID(fmt.Sprintf("i%d", 1+m.rng.Intn(m.spawned)))]
		if !x.alive {
			continue
		}
		if !m.current(x) && x.table < len(m.tables)-1 {
			x.leased = false // a removed member's lease has expired
		}
		switch r := m.rng.Intn(100); {
		case r < 50:
			k := Key{Service: "s", Value: fmt.Sprint(m.rng.Intn(25))}
			if len(m.tokens) > 0 && r < 15 {
				k = m.tokens[m.rng.Intn(len(m.tokens))]
			}
			m.request(k, x)
		case r < 55 && !x.leaving:
			t := x.home.IssueToken(m.now)
			k := Key{Service: "s", Value: t.Encode([]byte("k"))}
			m.tokens, m.token[k] = append(m.tokens, k), t
		case r < 70 && len(x.sending) > 0:
			m.send(x)
		case r < 85 && len(x.answering) > 0:
			m.answer(x)
		case r < 89:
			m.install(x)
		case r < 97:
			m.changeHomeSet()
		case r < 98:
			m.fault(x)
		case x.leaving && len(x.sending)+len(x.answering) == 0:
			m.export(x, m.tables[len(m.tables)-1].Homes[0])
		}
	}
}

// Guards against a key that runs twice within the retention period, or a token that
// runs twice at all, during joins, leaves, crashes, pauses, lost messages and
// differing tables.
func TestNoDoubleRun(t *testing.T) {
	total := map[string]int{}
	runs := 0
	for seed := range int64(1000) {
		// 1,200 steps take 240 s: within the retention period for even seeds, and beyond it for odd ones.
		m := newZone(seed, []time.Duration{10 * time.Minute, time.Minute}[seed%2])
		m.run(1200)
		must.Eq(t, []string(nil), m.violations, must.Sprint("seed ", seed))
		for k, n := range m.counts {
			total[k] += n
		}
		for _, n := range m.runs {
			runs += n
		}
	}
	t.Log("runs", runs, "verdicts", total)
	must.Positive(t, runs)
}
