package packet

import (
	"net"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/shoenig/test/must"
)

// build serialises a packet with gopacket, an implementation independent of the one
// under test.
func build(t testing.TB, parts ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buf := gopacket.NewSerializeBuffer()
	must.NoError(t, gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true}, parts...))
	return buf.Bytes()
}

func ip4(proto layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{Version: 4, TTL: 64, Protocol: proto, SrcIP: net.IP{192, 0, 2, 1}, DstIP: net.IP{198, 51, 100, 7}}
}

func ip6(proto layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: proto, SrcIP: net.ParseIP("2001:db8::1"), DstIP: net.ParseIP("2001:db8::2")}
}

func tcp(syn, ack bool) *layers.TCP {
	return &layers.TCP{SrcPort: 40000, DstPort: 443, SYN: syn, ACK: ack,
		Options: []layers.TCPOption{{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 180}}}}
}

func samplePackets(t testing.TB) map[string][]byte {
	udp := &layers.UDP{SrcPort: 40000, DstPort: 443}
	body := gopacket.Payload("proof")
	hop := build(t, ip6(layers.IPProtocolIPv6HopByHop), gopacket.Payload([]byte{17, 0, 1, 4, 0, 0, 0, 0}), udp, body)
	return map[string][]byte{
		"tcp4 syn":   build(t, ip4(layers.IPProtocolTCP), tcp(true, false)),
		"tcp4 later": build(t, ip4(layers.IPProtocolTCP), tcp(false, true), body),
		"tcp6 syn":   build(t, ip6(layers.IPProtocolTCP), tcp(true, false)),
		"tcp6 reply": build(t, ip6(layers.IPProtocolTCP), tcp(true, true)),
		"udp4":       build(t, ip4(layers.IPProtocolUDP), udp, body),
		"udp6":       build(t, ip6(layers.IPProtocolUDP), udp, body),
		"udp6 hop":   hop,
	}
}

// Guards against a wrong five-tuple or a wrong IsInitialSYN, which would send a
// packet to another flow's target.
func TestDecodeFields(t *testing.T) {
	for name, b := range samplePackets(t) {
		var h Header
		must.NoError(t, Decode(append(b, 0, 0), &h), must.Sprint(name))
		must.Eq(t, uint16(40000), h.Key.SrcPort, must.Sprint(name))
		must.Eq(t, uint16(443), h.Key.DstPort, must.Sprint(name))
		must.Eq(t, len(b), h.Length, must.Sprint(name, " counts padding"))
		must.Eq(t, name == "tcp4 syn" || name == "tcp6 syn", h.IsInitialSYN(), must.Sprint(name))
		wantDst := "198.51.100.7"
		if b[0]>>4 == 6 {
			wantDst = "2001:db8::2"
		}
		must.Eq(t, wantDst, h.Key.Dst.String(), must.Sprint(name))
	}
}

// Guards against wrong headers or checksums, which make real targets drop the
// packets: Build must produce the same bytes as gopacket.
func TestBuild(t *testing.T) {
	for _, proto := range []layers.IPProtocol{layers.IPProtocolTCP, layers.IPProtocolUDP} {
		v4, v6 := ip4(proto), ip6(proto)
		for _, ip := range []gopacket.NetworkLayer{v4, v6} {
			tr := &layers.TCP{SrcPort: 40000, DstPort: 443, SYN: true, Window: 65535}
			ud := &layers.UDP{SrcPort: 40000, DstPort: 443}
			must.NoError(t, tr.SetNetworkLayerForChecksum(ip))
			must.NoError(t, ud.SetNetworkLayerForChecksum(ip))
			head, segment := gopacket.SerializableLayer(v4), gopacket.SerializableLayer(tr)
			if ip == gopacket.NetworkLayer(v6) {
				head = v6
			}
			if proto == layers.IPProtocolUDP {
				segment = ud
			}
			buf := gopacket.NewSerializeBuffer()
			must.NoError(t, gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true},
				head, segment, gopacket.Payload("proof")))
			var h Header
			must.NoError(t, Decode(buf.Bytes(), &h))
			must.Eq(t, buf.Bytes(), Build(nil, h.Key, h.TCPFlags, []byte("proof")))
		}
	}
}

// Guards against reading past the end: every truncation of a valid packet must be
// rejected.
func TestDecodeTruncated(t *testing.T) {
	for name, b := range samplePackets(t) {
		for n := range b {
			var h Header
			must.ErrorIs(t, Decode(b[:n:n], &h), ErrTruncated, must.Sprintf("%s truncated to %d", name, n))
		}
	}
}

// Guards against steering packets whose ports are missing or invalid.
func TestDecodeRefused(t *testing.T) {
	change := func(name string, at int, v byte) []byte {
		b := append([]byte(nil), samplePackets(t)[name]...)
		b[at] = v
		return b
	}
	long := ip6(layers.IPProtocolIPv6HopByHop)
	chain := build(t, long, gopacket.Payload(make([]byte, 8*(maxExtensions+1))))
	cases := map[string]struct {
		b    []byte
		want error
	}{
		"version 5":           {change("tcp4 syn", 0, 0x55), ErrVersion},
		"header length 16":    {change("tcp4 syn", 0, 0x44), ErrHeader},
		"more fragments":      {change("udp4", 6, 0x20), ErrFragment},
		"fragment offset":     {change("udp4", 7, 1), ErrFragment},
		"ICMP":                {change("udp4", 9, 1), ErrProtocol},
		"TCP offset 4":        {change("tcp4 syn", 32, 0x40), ErrHeader},
		"UDP length 7":        {change("udp4", 25, 7), ErrHeader},
		"extension overflow":  {change("udp6 hop", 41, 255), ErrTruncated},
		"too many extensions": {chain, ErrHeader},
	}
	for name, c := range cases {
		var h Header
		must.ErrorIs(t, Decode(c.b, &h), c.want, must.Sprint(name))
	}
}

// Guards against GUE datagrams that can't be decapsulated, and against accepting
// control messages or unknown extensions as packets.
func TestGUE(t *testing.T) {
	for name, b := range samplePackets(t) {
		inner, err := Decapsulate(Encapsulate(nil, b))
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, b, inner)
		inner, err = Decapsulate(b) // variant 1
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, b, inner)
	}
	p := samplePackets(t)["udp4"]
	refused := map[string][]byte{
		"empty":          {},
		"short":          {0, 4, 0},
		"header only":    {0, 4, 0, 0},
		"control":        append([]byte{0x20, 4, 0, 0}, p...),
		"flags":          append([]byte{0, 4, 0x80, 0}, p...),
		"wrong protocol": append([]byte{0, 41, 0, 0}, p...),
		"length":         append([]byte{31, 4, 0, 0}, p...),
		"variant 2":      append([]byte{0x80, 4, 0, 0}, p...),
		"variant 1 v5":   {0x55},
	}
	for name, b := range refused {
		_, err := Decapsulate(b)
		must.Error(t, err, must.Sprint(name))
	}
}

// Guards against a panic or an out-of-range length on hostile input.
func FuzzDecode(f *testing.F) {
	for _, b := range samplePackets(f) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h Header
		if err := Decode(b, &h); err != nil {
			must.StrNotEqFold(t, "other", Reason(err))
			return
		}
		must.Between(t, 0, h.Transport+udpHeaderLen, h.Length)
		must.LessEq(t, len(b), h.Length)
		must.Eq(t, h.Key.Src.Is4(), b[0]>>4 == 4)
	})
}

// Guards against a panic on hostile input, and against an inner packet that isn't
// the end of the datagram.
func FuzzGUE(f *testing.F) {
	for _, b := range samplePackets(f) {
		f.Add(b)
		f.Add(Encapsulate(nil, b))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		inner, err := Decapsulate(b)
		if err != nil {
			must.StrNotEqFold(t, "other", Reason(err))
			return
		}
		must.Positive(t, len(inner))
		must.Eq(t, b[len(b)-len(inner):], inner)
	})
}

// BenchmarkDecode compares the fixed-offset decoder with gopacket's.
func BenchmarkDecode(b *testing.B) {
	p := samplePackets(b)["tcp4 later"]
	b.Run("fixed", func(b *testing.B) {
		b.ReportAllocs()
		var h Header
		for b.Loop() {
			if Decode(p, &h) != nil {
				b.Fatal("refused")
			}
		}
	})
	b.Run("gopacket", func(b *testing.B) {
		b.ReportAllocs()
		var ip layers.IPv4
		var tcp layers.TCP
		var payload gopacket.Payload
		parser := gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &ip, &tcp, &payload)
		parser.IgnoreUnsupported = true // otherwise gopacket also parses TLS
		var found []gopacket.LayerType
		for b.Loop() {
			if parser.DecodeLayers(p, &found) != nil {
				b.Fatal("refused")
			}
		}
	})
}
