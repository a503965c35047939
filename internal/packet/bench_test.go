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

// forwardingPath is a path to measure: a receive socket, a sink, and the code between.
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
	l := &forwardingPath{source: ipv4.NewPacketConn(source),
		in: make([]Datagram, BatchSize), sinkDatagrams: make([]Datagram, BatchSize)}
	var err error
	l.rd, err = newReader(conn, BatchSize, MaxDatagram)
	must.NoError(b, err)
	l.batch = newBatch(conn, l.rd, &stats)
	l.sink, err = newReader(sink, BatchSize, MaxDatagram)
	must.NoError(b, err)
	for range BatchSize {
		l.forwarded = append(l.forwarded, ipv4.Message{Buffers: [][]byte{nil}, Addr: sink.LocalAddr()})
		l.sourceMessages = append(l.sourceMessages, ipv4.Message{Buffers: [][]byte{payload}, Addr: conn.LocalAddr()})
	}
	return l
}

// forwardBatch passes one batch through and returns the time from receive to sent.
func (l *forwardingPath) forwardBatch(b *testing.B, handle Handler) time.Duration {
	if n, err := l.source.WriteBatch(l.sourceMessages, 0); err != nil || n != BatchSize {
		b.Fatal(n, err)
	}
	start := time.Now()
	for got := 0; got < BatchSize; {
		n, _, err := l.rd.read(l.in)
		if err != nil {
			b.Fatal(err)
		}
		l.batch.In = l.in[:n]
		handle(l.batch)
		l.batch.flush()
		got += n
	}
	spent := time.Since(start)
	for got := 0; got < BatchSize; {
		n, _, err := l.sink.read(l.sinkDatagrams)
		if err != nil {
			b.Fatal(err)
		}
		got += n
	}
	return spent
}

// BenchmarkPath measures receive, decode, one hash and one table read,
// encapsulate and send on one core against a loop of the same system calls that
// sends each datagram on unread. Both alternate within one run. The metric
// "%ofbare" is the rate of the full path relative to the bare loop.
func BenchmarkPath(b *testing.B) {
	conn, source, sink := listenUDP(b), listenUDP(b), listenUDP(b)
	to := addrOf(sink)
	l := newForwardingPath(b, Encapsulate(nil, samplePackets(b)["tcp4 later"]), conn, source, sink)
	table := make([]zone.TargetIndex, 1801)
	targets := []netip.AddrPort{to}
	bare := func(batch *Batch) {
		for i := range batch.In {
			l.forwarded[i].Buffers[0] = batch.In[i].Data
		}
		if n, err := batch.conn.WriteBatch(l.forwarded[:len(batch.In)], 0); err != nil || n != len(batch.In) {
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
	laps := 0
	for b.Loop() {
		bareTime += l.forwardBatch(b, bare)
		fullTime += l.forwardBatch(b, full)
		laps++
	}
	packets := float64(laps * BatchSize)
	b.ReportMetric(float64(bareTime.Nanoseconds())/packets, "bare-ns/packet")
	b.ReportMetric(float64(fullTime.Nanoseconds())/packets, "full-ns/packet")
	b.ReportMetric(100*float64(bareTime)/float64(fullTime), "%ofbare")
}
