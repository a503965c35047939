package simulation

import (
	"time"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	requestService = service.ID("lookups")
	maxRounds      = 8
	maxHops        = 3
	peerTimeout    = 3 * time.Second
)

// counter is the request part of a host: the scheduler and the idempotency records.
type counter struct {
	h       *host
	desk    *hostScheduler
	home    *idempotency.KeyStore
	waiting map[idempotency.Key][]func()
	homes   uint32
	leaving bool
}

func newCounter(h *host) *counter {
	return &counter{h: h, desk: newDesk(h, admission.Config{Plain: h.w.setting.plain}), home: idempotency.New(h.ref, idempotency.Limits{}), waiting: map[idempotency.Key][]func(){}}
}

// install takes a new table and hands over records when the home set changed.
func (c *counter) install(t *zone.Table) {
	if st := t.Service(requestService); st != nil {
		var members []instance.ID
		for _, m := range t.Homes[0].Members {
			members = append(members, m.ID)
		}
		var targets []admission.Target
		for _, e := range st.Targets {
			if !e.Removed {
				targets = append(targets, admission.Target{ID: e.Target.ID, State: e.State, Slots: e.Target.Slots})
			}
		}
		c.desk.desk.SetTargets(c.h.clock(), admission.Assign(requestService, members, c.h.ref.ID, targets))
	}
	c.home.Install(c.h.clock(), t)
	if t.Homes[0].Number > c.homes {
		c.homes = t.Homes[0].Number
		c.handOver(t.Homes[0])
	}
}

func (c *counter) handOver(set zone.HomeSet) {
	for _, o := range c.home.Export(c.h.clock(), set, 1<<20) {
		to := c.h.w.find(&o.To, nil)
		c.h.w.link(c.h, to, func() { to.counter.home.Import(to.clock(), o) })
	}
}

// leave ends the request work before the zone core leaves.
func (c *counter) leave(then func()) {
	c.leaving = true
	c.home.Leave()
	if c.home.InFlight() == 0 && c.desk.desk.OpenCount() == 0 {
		then()
		return
	}
	c.h.w.after(100*time.Millisecond, func() { c.h.do(func() { c.leave(then) }) })
}

// accept handles a call that arrives from a caller or another instance.
func (c *counter) accept(k *call, hops int, deadline time.Duration, done func(reply)) {
	switch {
	case c.leaving && k.key == "":
		done(reply{outcome: dispatch.Refused, reason: string(dispatch.ShuttingDown)})
	case k.key != "":
		c.keyed(k, hops, 0, deadline, done)
	default:
		leased := func() bool { return c.h.node.Leased(c.h.clock()) }
		c.desk.serve(&job{call: k, idempotent: k.op.idempotent, class: k.op.class, deadline: deadline, confirm: leased, done: done})
	}
}

func (c *counter) keyed(k *call, hops, round int, deadline time.Duration, done func(reply)) {
	if round >= maxRounds {
		done(reply{outcome: dispatch.Refused, reason: "rounds"})
		return
	}
	again := func() { c.keyed(k, hops, round+1, deadline, done) }
	key := idempotency.Key{Service: requestService, Value: k.key}
	now, leased := c.h.clock(), c.h.node.Leased(c.h.clock())
	var v idempotency.Verdict
	if k.token != nil {
		v = c.home.BeginToken(now, *k.token, key, idempotency.Fingerprint{1}, leased)
	} else {
		v = c.home.Begin(now, key, idempotency.Fingerprint{1}, leased)
	}
	switch v.Kind {
	case idempotency.Run:
		c.run(k, key, deadline, done)
	case idempotency.Replay:
		done(reply{outcome: dispatch.Answered, answer: v.Answer})
	case idempotency.Wait:
		c.waiting[key] = append(c.waiting[key], again)
	case idempotency.Forward:
		c.handOn(k, v.Home, hops, deadline, done)
	case idempotency.QueryFormer:
		c.ask(key, v.HomeSet, v.Former, nil, nil, func(ok bool) {
			if ok {
				again()
				return
			}
			done(reply{outcome: dispatch.Refused, reason: string(idempotency.HomeUnreachable)})
		})
	case idempotency.Unknown:
		done(reply{outcome: dispatch.Unknown, reason: string(v.Reason)})
	default:
		done(reply{outcome: dispatch.Refused, reason: string(v.Reason)})
	}
}

func (c *counter) run(k *call, key idempotency.Key, deadline time.Duration, done func(reply)) {
	confirm := func() bool { return c.home.ConfirmSend(c.h.clock(), key, c.h.node.Leased(c.h.clock())) }
	c.desk.serve(&job{call: k, idempotent: k.op.idempotent, class: k.op.class, deadline: deadline, confirm: confirm, done: func(r reply) {
		switch r.outcome {
		case dispatch.Answered:
			c.home.Answered(key, r.answer)
		case dispatch.Refused:
			c.home.NotRun(key)
		default:
			c.home.OutcomeUnknown(key)
		}
		waiting := c.waiting[key]
		delete(c.waiting, key)
		done(r)
		for _, f := range waiting {
			f()
		}
	}})
}

// call makes a request to another instance. An answer that does not arrive ends
// in failed; reached is false only if the request certainly did not arrive.
func (c *counter) call(to *host, f func(answer func(func())), failed func(reached bool)) {
	w := c.h.w
	if to == nil || to.dead || w.cut != nil && w.cut(c.h, to) && w.rng.Intn(2) == 0 {
		w.after(time.Millisecond, func() { c.h.do(func() { failed(false) }) })
		return
	}
	ended := false
	w.link(c.h, to, func() {
		f(func(back func()) {
			w.link(to, c.h, func() {
				if !ended {
					ended = true
					back()
				}
			})
		})
	})
	w.after(peerTimeout, func() {
		c.h.do(func() {
			if !ended {
				ended = true
				failed(true)
			}
		})
	})
}

func (c *counter) handOn(k *call, home instance.Ref, hops int, deadline time.Duration, done func(reply)) {
	if hops >= maxHops {
		done(reply{outcome: dispatch.Refused, reason: "hops"})
		return
	}
	left := deadline - c.h.clock()
	to := c.h.w.find(&home, nil)
	c.call(to, func(answer func(func())) {
		to.counter.accept(k, hops+1, to.clock()+left, func(r reply) { answer(func() { done(r) }) })
	}, func(reached bool) {
		if reached {
			done(reply{outcome: dispatch.Unknown, reason: string(dispatch.ConnectionLost)})
			return
		}
		done(reply{outcome: dispatch.Refused, reason: string(idempotency.HomeUnreachable)})
	})
}

// ask asks the former homes of a key one after the other.
func (c *counter) ask(key idempotency.Key, set uint32, ask, asked []instance.Ref, replies []idempotency.KeyQueryReply, done func(bool)) {
	if len(ask) == 0 {
		more := c.home.ApplyReplies(c.h.clock(), key, set, asked, replies)
		if len(more) == 0 {
			done(true)
			return
		}
		ask = more
	}
	to := c.h.w.find(&ask[0], nil)
	c.call(to, func(answer func(func())) {
		r := to.counter.home.HandleQuery(to.clock(), idempotency.KeyQuery{Key: key, HomeSet: set})
		answer(func() { c.ask(key, set, ask[1:], append(asked, ask[0]), append(replies, r), done) })
	}, func(bool) { done(false) })
}
