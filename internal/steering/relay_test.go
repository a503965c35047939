package steering

import (
	"math/rand"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// Guards against a backup that opens a flow while a member may still have an older
// table, and against decisions without a lease.
func TestRefusals(t *testing.T) {
	l := newTestCluster(t, 8, 3, 5)
	l.replace(generation(2, 5, 0))
	f, n := l.touchedFlow()
	home, backup := n.st.View().holders(f.key.Hash())
	x := l.node(&backup.ref, nil)
	x.st.SetSuspects([]instance.Ref{home.ref})
	x.st.SetCommitted(zone.Version{})
	must.Eq(t, HomeSuspected, x.st.Packet(l.now, Packet{Key: f.key, First: true}).Reason)
	x.st.SetCommitted(l.table.Version)
	must.Eq(t, Forward, x.st.Packet(l.now, Packet{Key: f.key, First: true}).Action)
	x.st.SetLease(l.now - 1)
	must.Eq(t, LeaseLapsed, x.st.Packet(l.now, Packet{Key: f.key}).Reason)
}

// Guards against a flow that is opened without a copy while its backup is behind a
// network partition: the backup sends packets that reach it to Base's target.
func TestFlowWithoutCopyTakesBase(t *testing.T) {
	l := newTestCluster(t, 8, 3, 5)
	l.replace(generation(2, 5, 0))
	f, n := l.touchedFlow()
	home, backup := n.st.View().holders(f.key.Hash())
	h, s := l.node(&home.ref, nil), l.node(&backup.ref, nil)
	h.st.SetSuspects([]instance.Ref{backup.ref})
	s.st.SetSuspects([]instance.Ref{home.ref})
	opened := h.st.Packet(l.now, Packet{Key: f.key, First: true})
	later := s.st.Packet(l.now, Packet{Key: f.key})
	must.Eq(t, Forward, opened.Action)
	must.Eq(t, Forward, later.Action)
	must.Eq(t, opened.Target, later.Target)
}

// Guards against a relayed packet that reaches a target of another service, and
// against headers with a wrong cookie or too many hops.
func TestRelayedPacketOfAnotherServiceIsDropped(t *testing.T) {
	l := newTestCluster(t, 9, 3, 5)
	l.replace(generation(2, 5, 0))
	f, n := l.touchedFlow()
	home, _ := n.st.View().holders(f.key.Hash())
	h := l.node(&home.ref, nil)
	s := n.st.View().services[0]
	hdr := RelayHeader{Kind: Copy, HomeSet: 1, Version: l.table.Version, Service: s.tag, Target: s.targets[1].tag}
	for name, c := range map[string]struct {
		change func(*RelayHeader, *Packet)
		want   Reason
	}{
		"service": {func(h *RelayHeader, _ *Packet) { h.Service++ }, UnknownService},
		"target":  {func(h *RelayHeader, _ *Packet) { h.Target++ }, UnknownTarget},
		"address": {func(_ *RelayHeader, p *Packet) { p.Key.DstPort++ }, WrongService},
		"cookie":  {func(h *RelayHeader, _ *Packet) { h.Cookie++ }, BadCookie},
		"hops":    {func(h *RelayHeader, _ *Packet) { h.Hops, h.Kind, h.Target = MaxHops, ToHome, 0 }, HopLimit},
	} {
		changed, p := hdr, Packet{Key: f.key, First: true}
		c.change(&changed, &p)
		must.Eq(t, c.want, h.st.Relayed(l.now, changed, p).Reason, must.Sprint(name))
	}
}

// drawHeader draws a header that has only the fields of its kind.
func drawHeader(t *rapid.T) RelayHeader {
	h := RelayHeader{
		Kind: Kind(rapid.IntRange(int(ToHome), int(Pin)).Draw(t, "kind")), Flags: uint8(rapid.IntRange(0, 15).Draw(t, "flags")),
		Hops: rapid.Uint8Range(0, 31).Draw(t, "hops"), Asked: rapid.Uint8Range(0, 7).Draw(t, "asked"), HomeSet: rapid.Uint32().Draw(t, "set"),
		Service: rapid.Uint64().Draw(t, "service"), Target: rapid.Uint64().Draw(t, "target"), From: rapid.Uint64().Draw(t, "from"),
		Cookie: rapid.Uint64().Draw(t, "cookie"),
	}
	if h.Flags&FlagShort != 0 {
		h.Service, h.Target, h.From = h.Service&0xffffffff, h.Target&0xffffffff, h.From&0xffffffff
	}
	if h.Kind == Ask || h.Kind == NoPin {
		h.Version = zone.Version{Term: rapid.Uint64().Draw(t, "term"), Seq: rapid.Uint64().Draw(t, "seq")}
	}
	if h.Kind == Pin {
		h.SrcPort = rapid.Uint16().Draw(t, "port")
		copy(h.Src[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "src"))
		if rapid.Bool().Draw(t, "ipv4") {
			copy(h.Src[:], ipv4Prefix[:])
		}
	}
	return h
}

// Guards against relay headers that decode to other values than were encoded, and
// against reads beyond the end of a truncated or altered datagram.
func TestHeaderCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHeader(t)
		size := len(h.Append(nil))
		must.LessEq(t, HeaderSize, size)
		b := append(h.Append(nil), 1, 2, 3)
		got, rest, err := DecodeHeader(b)
		must.NoError(t, err)
		must.Eq(t, h, got)
		must.Eq(t, []byte{1, 2, 3}, rest)
		_, _, err = DecodeHeader(b[:rapid.IntRange(0, size-1).Draw(t, "cut")])
		must.ErrorIs(t, err, ErrShortHeader)
		b[rapid.IntRange(0, 1).Draw(t, "byte")] = 0x3e // another format, or an unknown flag
		_, _, err = DecodeHeader(b)
		must.Error(t, err)
	})
}

// Guards against out-of-bounds reads when decoding, and against accepting a header
// that differs after it is encoded and decoded again.
func FuzzDecodeHeader(f *testing.F) {
	f.Add([]byte{})
	f.Add((&RelayHeader{Kind: Copy, Flags: FlagShort, HomeSet: 300, Service: 1, Target: 2, From: 3}).Append(nil))
	f.Add((&RelayHeader{Kind: Pin, Target: 2, Src: [16]byte{10: 0xff, 11: 0xff, 12: 10}}).Append(nil))
	f.Add((&RelayHeader{Kind: Ask, Asked: 5, Hops: MaxHops}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rest, err := DecodeHeader(b)
		if err != nil {
			return
		}
		again, after, err := DecodeHeader(append(h.Append(nil), rest...))
		must.NoError(t, err)
		must.Eq(t, h, again)
		must.Eq(t, len(rest), len(after))
	})
}

// Guards against short tags that identify another target or service than the sender
// meant: if lower bits are equal, full tags are sent, and short ones refused.
func TestShortTagsAreRefusedWhereAmbiguous(t *testing.T) {
	l := newTestCluster(t, 9, 3, 5)
	v := NewView(l.table, nil)
	must.True(t, v.shortTags.usable)
	s := v.services[0]
	short := RelayHeader{Kind: Copy, Flags: FlagShort, Service: s.tag & 0xffffffff, Target: s.targets[1].tag & 0xffffffff}
	h := short
	must.Eq(t, NoReason, v.expandTags(&h))
	must.Eq(t, s.targets[1].tag, h.Target)
	must.Eq(t, s.tag, h.Service)
	h = short
	h.Target++
	must.Eq(t, UnknownTarget, v.expandTags(&h))
	h = short
	h.Service++
	must.Eq(t, UnknownService, v.expandTags(&h))

	s.targets[2].tag = s.targets[1].tag ^ 1<<40
	v.shortTags = newShortTags(v)
	must.False(t, v.shortTags.usable)
	h = short
	must.Eq(t, UnknownService, v.expandTags(&h))
	c := flowContext{v: v, in: &inputs{}, s: s}
	must.Eq(t, 0, c.header(Copy, 1).Flags&FlagShort)
}

// Guards against a pin table that loses or invents entries.
func TestPinTableAgainstMap(t *testing.T) {
	rng := rand.New(rand.NewSource(11))
	pt, want := newPinTable(3000), map[pinKey]zone.TargetIndex{}
	for range 100_000 {
		k := pinKey{service: uint32(rng.Intn(3)), port: uint16(rng.Intn(2000))}
		p := pt.find(&k)
		w, ok := want[k]
		must.Eq(t, ok, p != nil)
		switch {
		case ok && rng.Intn(2) == 0:
			pt.remove(k)
			delete(want, k)
		case ok:
			must.Eq(t, w, p.target)
		case pt.count < pt.limit:
			pt.add(k).target = zone.TargetIndex(k.port)
			want[k] = zone.TargetIndex(k.port)
		default:
			must.Nil(t, pt.add(k))
		}
	}
	must.Eq(t, len(want), pt.count)
}

// Guards against a member that transfers pins away which it received for a home set
// that it has not installed yet.
func TestPinsForNewerHomeSetAreKept(t *testing.T) {
	l := newTestCluster(t, 18, 4, 5)
	l.replace(generation(2, 5, 1))
	f, n := l.touchedFlow()
	l.stepAll(newHomeSet(without(allNodes(l), n.ref)...))
	l.transferAll()
	s := n.st.View().services[0]
	r := pinRecord{service: s.tag, target: s.targets[2].tag, src: f.key.Src.As16(), port: f.key.SrcPort, accepted: true}
	must.Len(t, 0, n.st.ReceivePins(l.now, PinBatch{HomeSet: 3, Records: r.append(nil)}).Refused)
	n.st.SetSuspects([]instance.Ref{n.ref}) // starts a transfer pass
	l.transferAll()
	must.Eq(t, map[zone.TargetIndex]int{2: 1}, n.st.PinsByTarget("board"))
}

// Guards against a former backup that stores the copies of a home one version
// behind: the new backup may act for that home and would not have the pin.
func TestFormerBackupRelaysCopiesToNewBackup(t *testing.T) {
	l := newTestCluster(t, 22, 5, 5)
	l.replace(generation(2, 5, 0))
	for i := range 200 {
		f := l.flow(i)
		hash := f.key.Hash()
		home, backup := l.nodes[0].st.View().holders(hash)
		members := without(allNodes(l), backup.ref)
		d := l.node(&home.ref, nil).st.Packet(l.now, Packet{Key: f.key, First: true})
		if d.Header.Kind != Copy {
			continue
		}
		l.step(newHomeSet(members...))
		x := l.node(&backup.ref, nil)
		x.st.Install(l.now, l.table)
		_, newBackup := x.st.View().holders(hash)
		got := x.st.Relayed(l.now, d.Header, Packet{Key: f.key, First: true})
		must.Eq(t, Copy, got.Header.Kind)
		must.Eq(t, newBackup.ref.ID, got.To.ID)
		must.Eq(t, home.tag, got.Header.From)
		return
	}
	t.Fatal("none of 200 first packets led to a Copy")
}

// Guards against evicting a pin without which its flow reaches another target:
// comparing the pin with Current's target only is not enough.
func TestEvictable(t *testing.T) {
	l := newTestCluster(t, 19, 3, 5)
	l.replace(generation(2, 5, 0))
	v := l.nodes[0].st.View()
	s := v.services[0]
	f, _ := l.touchedFlow()
	slot := f.key.Hash() % uint64(s.slots)
	k := pinKey{src: f.key.Src.As16(), service: s.handle, port: f.key.SrcPort}
	must.False(t, v.evictable(&pin{key: k, target: s.current[slot]}))
	must.False(t, v.evictable(&pin{key: k, target: s.base[slot]}))
	l.settle()
	l.stepAll(prepare(generation(3, 5, 1)))
	v = l.nodes[0].st.View()
	must.True(t, v.evictable(&pin{key: k, target: v.services[0].base[slot]}))
	v.services[0].protocol = service.UDP
	must.False(t, v.evictable(&pin{key: k, target: v.services[0].base[slot]}), must.Sprint("UDP in prepare"))
}

// Guards against a late answer to an older Copy that restores a dead target which
// the home has replaced.
func TestLateAnswerKeepsReplacedTarget(t *testing.T) {
	l := newTestCluster(t, 20, 3, 5)
	l.replace(generation(2, 5, 0))
	f, n := l.touchedFlow()
	home, _ := n.st.View().holders(f.key.Hash())
	h := l.node(&home.ref, nil)
	copied := h.st.Packet(l.now, Packet{Key: f.key, First: true}).Header
	sh := h.st.lock(f.key.Hash())
	c := h.st.newContext(l.now, sh.Shard)
	c.setFlow(c.v.services[0], f.key, f.key.Hash())
	p := sh.pins.find(&c.key)
	old := p.target
	p.target, p.flags = c.s.base[c.slot], repinned
	sh.mu.Unlock()
	must.NotEq(t, old, p.target)
	answer := copied
	answer.Kind = Pin
	must.Eq(t, Done, h.st.Relayed(l.now, answer, Packet{}).Action)
	must.NotEq(t, old, p.target)
}
