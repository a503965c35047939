package daemon

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/settings"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func localSettings() *settings.Settings {
	return &settings.Settings{Instance: "a1", Zone: "galle", Budget: 10_000, Workers: 2, TLS: settings.TLS{Plaintext: true},
		Listen: settings.Listen{Packet: anyPort, Relay: anyPort, Control: anyPort, Request: anyPort, Admin: anyPort}}
}

// Guards against listeners that stay open after a failed start, and against
// unusable TLS files that don't count as bad settings.
func TestFailedStart(t *testing.T) {
	taken, err := net.Listen("tcp", anyPort.String())
	must.NoError(t, err)
	defer func() { _ = taken.Close() }()
	hold, err := net.Listen("tcp", anyPort.String())
	must.NoError(t, err)
	admin := hold.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(t, hold.Close())

	s := localSettings()
	s.Listen.Admin = admin
	s.Listen.Control = taken.Addr().(*net.TCPAddr).AddrPort()
	must.ErrorContains(t, Run(context.Background(), s, WithLogger(logrus.New())), "control listener")
	again, err := net.Listen("tcp", admin.String())
	must.NoError(t, err)
	must.NoError(t, again.Close())

	s = localSettings()
	s.TLS = settings.TLS{CA: filepath.Join(t.TempDir(), "ca.pem")}
	must.True(t, errors.Is(Run(context.Background(), s, WithLogger(logrus.New())), ErrSettings))
}

// Guards against components that are stopped in the wrong order, and against a
// failed component that leaves the others running.
func TestPartsStopInReverse(t *testing.T) {
	var order []string
	components := make([]component, 0, 3)
	for _, name := range []string{"a", "b", "c"} {
		end := make(chan struct{})
		components = append(components, component{name, func() error {
			if name == "b" {
				return errors.New("broken")
			}
			<-end
			return nil
		}, func(context.Context) error {
			order = append(order, name)
			close(end)
			return nil
		}})
	}
	r := &runner{log: logrus.New(), leave: func(context.Context) { order = append(order, "leaving") }}
	must.ErrorContains(t, r.run(context.Background(), components), "b: broken")
	must.Eq(t, []string{"leaving", "c", "b", "a"}, order)
}
