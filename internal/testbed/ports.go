package testbed

import (
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Ports are chosen below the range from which Linux takes the ports of outgoing
// connections (32768 and above), so that a port stays free until it is used.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

var loopback = netip.MustParseAddr("127.0.0.1")

// ports picks addresses that are free for TCP and UDP and picks none twice.
type ports struct {
	mu    sync.Mutex
	rng   *rand.Rand
	taken map[uint16]bool
}

// newPorts draws ports differently in each process, so that processes that run at
// the same time don't try the same ones.
func newPorts() *ports {
	seed := time.Now().UnixNano() ^ int64(os.Getpid())<<32
	return &ports{rng: rand.New(rand.NewSource(seed)), taken: map[uint16]bool{}}
}

func (p *ports) pick() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		port := uint16(firstPort + p.rng.Intn(lastPort-firstPort))
		if p.taken[port] || !isFree(port) {
			continue
		}
		p.taken[port] = true
		return netip.AddrPortFrom(loopback, port)
	}
}

func isFree(port uint16) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}
