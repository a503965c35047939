package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/targetreport"
)

const (
	// reportInterval is how often an instance reports while it has something to report.
	reportInterval = 300 * time.Millisecond
	// reportRetryDelay is the delay after a read error, so that a lasting one uses no processor time.
	reportRetryDelay = 100 * time.Millisecond
)

// reporter exchanges reports about targets with other instances of the data centre.
type reporter struct {
	i        *Instance
	conn     *net.UDPConn
	random   *rand.Rand // used by the sending goroutine only
	sequence uint32
}

// startReports starts the exchange of reports, if it is enabled. An instance that can't open the
// socket serves without reports.
func (i *Instance) startReports(ctx context.Context) {
	if !i.settings.Reports.IsValid() {
		return
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", i.settings.Reports.String())
	if err != nil {
		i.log.Event(lifecycleClass, "no reports about targets", logrus.Fields{logfield.Address: i.settings.Reports.String(), logfield.Error: err.Error()})
		return
	}
	r := &reporter{i: i, conn: conn.(*net.UDPConn), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), sequence: rand.Uint32()}
	context.AfterFunc(ctx, func() { _ = conn.Close() }) // the process ends
	go r.sendLoop(ctx)
	go r.receiveLoop(ctx)
}

func (r *reporter) count(event string, n int) {
	r.i.metrics.Counter(metric.EdgeReports, event).Inc(int64(n))
}

func (r *reporter) sendLoop(ctx context.Context) {
	// Instances that start together do not send at the same moment.
	sleep(ctx, time.Duration(r.random.Int64N(int64(reportInterval))))
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		r.send()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// send reports the present observations to some other instances, if there are any.
func (r *reporter) send() {
	defer r.i.recoverPanic("own report")
	now := r.i.now()
	entries := targetreport.Select(r.i.observations(now), r.random)
	if len(entries) == 0 {
		return
	}
	r.sequence++
	data, err := (&targetreport.Report{Sequence: r.sequence, Entries: entries}).Encode()
	if err != nil {
		r.count("dropped:encoding", 1)
		return
	}
	for _, to := range targetreport.ChooseReceivers(r.i.registry.othersInZone(), r.random) {
		if _, err := r.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, r.i.settings.Reports.Port())); err != nil {
			r.count("dropped:write", 1)
			continue
		}
		r.count("sent", 1)
	}
}

// observations returns what the forwarder has observed of targets.
func (i *Instance) observations(now time.Duration) []targetreport.Entry {
	i.lockState()
	defer i.mu.Unlock()
	return i.forward.Observations(now)
}

func (r *reporter) receiveLoop(ctx context.Context) {
	var buf [targetreport.MaxBytes + 1]byte // a longer datagram is cut off and counts as oversized
	for ctx.Err() == nil {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.count("dropped:read", 1)
			sleep(ctx, reportRetryDelay)
			continue
		}
		r.receive(from.Addr().Unmap(), buf[:n])
	}
}

// receive applies a datagram.
func (r *reporter) receive(from netip.Addr, data []byte) {
	defer r.i.recoverPanic("report")
	if !r.i.registry.isOtherInZone(from) {
		r.count("dropped:source", 1)
		return
	}
	report, err := targetreport.Decode(data)
	switch {
	case errors.Is(err, targetreport.ErrOversized):
		r.count("dropped:oversized", 1)
	case errors.Is(err, targetreport.ErrVersion):
		r.count("dropped:version", 1)
	case err != nil:
		r.count("dropped:malformed", 1)
	case !r.i.addReport(from, report):
		r.count("dropped:old", 1)
	default:
		r.count("received", 1)
	}
}

// addReport passes a report to the forwarder. It returns false for one that is not used.
func (i *Instance) addReport(from netip.Addr, report targetreport.Report) bool {
	i.lockState()
	defer i.mu.Unlock()
	return i.forward.AddReport(i.now(), from, report)
}
