package testbed

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Services of the bundles of a testbed.
const (
	Feed    = "feed"    // flow service
	Board   = "board"   // second flow service
	Booking = "booking" // request service
)

// Addresses of the flow services (documentation prefix, RFC 5737).
var (
	FeedAddr  = netip.MustParseAddrPort("192.0.2.10:443")
	BoardAddr = netip.MustParseAddrPort("192.0.2.11:443")
)

// IdleTimeout is that of the flow services. Packets of a flow follow each other
// within a fraction of a second.
const IdleTimeout = 6 * time.Second

// Listed is a target in a bundle.
type Listed struct {
	Name, Service string
	Addr          netip.AddrPort
	Drain         bool
}

// BundleText returns a bundle of the testbed's services with the given targets.
func BundleText(revision int, targets []Listed) string {
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	p("[bundle]\nname = %s\nepoch = 1\nrevision = %d\nzones = %s", Name, revision, Zone)
	for name, addr := range map[string]netip.AddrPort{Feed: FeedAddr, Board: BoardAddr} {
		p("[service %s]\nkind = flow\naddress = %s\nprotocol = tcp\nidle_timeout = %s\ncold_start = 0s", name, addr, IdleTimeout)
	}
	p("[service %s]\nkind = request\nhost = %s\ncold_start = 0s\ndeadline = 30s", Booking, Host)
	p("[route slots]\nservice = %s\nmethod = GET\nprefix = /\nidempotent = true", Booking)
	p("[route bookings]\nservice = %s\nmethod = POST\nprefix = /bookings\nclass = urgent", Booking)
	p("[route proofs]\nservice = %s\nmethod = PUT\nprefix = /proofs\nclass = bulk\nidempotent = true", Booking)
	for _, t := range targets {
		p("[target %s]\nservice = %s\naddress = %s\nzone = %s\ndrain = %t", t.Name, t.Service, t.Addr, Zone, t.Drain)
		if t.Service == Booking {
			p("slots = 4")
		}
	}
	return b.String()
}
