package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is what a proxy does to its connections.
type linkFault string

// Faults of a link.
const (
	linkPass    linkFault = ""
	linkDelay   linkFault = "delay"   // bytes are late
	linkReset   linkFault = "reset"   // connections are reset
	linkSilence linkFault = "silence" // bytes vanish in both directions
	linkOneWay  linkFault = "one_way" // bytes from the server vanish
)

// linkDelayTime is how late the bytes of a delayed link are.
const linkDelayTime = 300 * time.Millisecond

// proxy is a TCP proxy on loopback that a fault can be set on.
type proxy struct {
	listener net.Listener
	server   string

	mu    sync.Mutex // guards all below
	fault linkFault
	conns map[net.Conn]bool
}

func newProxy(server netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server.String(), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// set changes the fault; a reset ends the open connections at once.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == linkReset {
		p.reset()
	}
}

// reset closes all connections without a FIN. The caller holds mu.
func (p *proxy) reset() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection may be gone already
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkReset)
}

func (p *proxy) current() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		if p.current() == linkReset {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.server)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, false)
		go p.copy(client, server, true)
	}
}

// copy passes bytes on until one end closes.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch f := p.current(); {
			case f == linkSilence, f == linkOneWay && fromServer:
				continue
			case f == linkDelay:
				time.Sleep(linkDelayTime)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
