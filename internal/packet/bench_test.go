package packet

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/ipv4"

	"guavaloom.example/guavaloom/internal/zone"
)

// forwardingPath is the measured path: a source, a receive socket with a handler,
// and a sink.
type forwardingPath struct {
	source         *ipv4.PacketConn
	sourceMessages []ipv4.Message
	rd             *reader
	batch          *Batch
	forwarded      []ipv4.Message
	in             []Datagram
	sink           *reader
	sinkDatagrams  []Datagram
}

func newForwardingPath(b *testing.B, payload []byte, conn, source, sink *net.UDPConn) *forwardingPath {
	var stats Stats
	p := &forwardingPath{source: ipv4.NewPacketConn(source),
		in: make([]Datagram, BatchSize), sinkDatagrams: make([]Datagram, BatchSize)}
	var err error
	p.rd, err = newReader(conn, BatchSize, MaxDatagram)
	must.NoError(b, err)
	p.batch = newBatch(conn, p.rd, &stats)
	p.sink, err = newReader(sink, BatchSize, MaxDatagram)
	must.NoError(b, err)
	for range BatchSize {
		p.forwarded = append(p.forwarded, ipv4.Message{Buffers: [][]byte{nil}, Addr: sink.LocalAddr()})
		p.sourceMessages = append(p.sourceMessages, ipv4.Message{Buffers: [][]byte{payload}, Addr: conn.LocalAddr()})
	}
	return p
}

// forwardBatch forwards one batch and returns the time from the first receive call
// to the last send call.
func (p *forwardingPath) forwardBatch(b *testing.B, handle Handler) time.Duration {
	if n, err := p.source.WriteBatch(p.sourceMessages, 0); err != nil || n != BatchSize {
		b.Fatal(n, err)
	}
	start := time.Now()
	for got := 0; got < BatchSize; {
		n, _, err := p.rd.read(p.in)
		if err != nil {
			b.Fatal(err)
		}
		p.batch.In = p.in[:n]
		handle(p.batch)
		p.batch.flush()
		got += n
	}
	spent := time.Since(start)
	for got := 0; got < BatchSize; {
		n, _, err := p.sink.read(p.sinkDatagrams)
		if err != nil {
			b.Fatal(err)
		}
		got += n
	}
	return spent
}

// BenchmarkPath compares the full packet path on one core (receive, decode, one
// hash, one table lookup, encapsulate, send) with a bare loop of the same system
// calls that forwards each datagram without reading it. The two alternate within
// one run. The metric "%ofbare" is the rate of the full path relative to the bare
// loop.
func BenchmarkPath(b *testing.B) {
	conn, source, sink := listenUDP(b), listenUDP(b), listenUDP(b)
	to := addrOf(sink)
	path := newForwardingPath(b, Encapsulate(nil, samplePackets(b)["tcp4 later"]), conn, source, sink)
	table := make([]zone.TargetIndex, 1801)
	targets := []netip.AddrPort{to}
	bare := func(batch *Batch) {
		for i := range batch.In {
			path.forwarded[i].Buffers[0] = batch.In[i].Data
		}
		if n, err := batch.conn.WriteBatch(path.forwarded[:len(batch.In)], 0); err != nil || n != len(batch.In) {
			b.Fatal(n, err)
		}
	}
	full := func(batch *Batch) {
		var h Header
		for i := range batch.In {
			inner, err := Decapsulate(batch.In[i].Data)
			if err != nil || Decode(inner, &h) != nil {
				b.Fatal("refused")
			}
			slot := h.Key.Hash() % uint64(len(table))
			batch.Send(targets[table[slot]], GUEHeader(inner), inner)
		}
	}
	b.ReportAllocs()
	var bareTime, fullTime time.Duration
	rounds := 0
	for b.Loop() {
		bareTime += path.forwardBatch(b, bare)
		fullTime += path.forwardBatch(b, full)
		rounds++
	}
	packets := float64(rounds * BatchSize)
	b.ReportMetric(float64(bareTime.Nanoseconds())/packets, "bare-ns/packet")
	b.ReportMetric(float64(fullTime.Nanoseconds())/packets, "full-ns/packet")
	b.ReportMetric(100*float64(bareTime)/float64(fullTime), "%ofbare")
}
