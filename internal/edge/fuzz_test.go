package edge

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against settings that crash the process, and against accepted settings from which
// invalid times are derived.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(minimalSettings + "history_s = 1e9\n[deployment]\nheartbeat_ms = 0x1p5\nstop_grace_s = 1\n[peers]\nseeds = 127.0.0.1:1,,\n"))
	f.Add([]byte("[limits]\nworkers = 0\n[limits]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parseSettings("f.ini", data)
		if err != nil {
			return
		}
		x := s.Deployment.Timing()
		must.Positive(t, x.WatchWait)
		must.Positive(t, x.Coalesce)
		must.Positive(t, x.PeerQueryInterval)
		must.Positive(t, x.Stream.HeartbeatInterval)
		must.Less(t, s.Deployment.StopGrace, x.StopTimeout)
		must.Positive(t, x.CallsPerSecond)
	})
}
