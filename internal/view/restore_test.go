package view

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a configuration from the copy that replaces a later one, and against the
// configuration confirmed after the restore that loses to one of the same version.
func TestConfigurationsOverARestore(t *testing.T) {
	v := New(limits)
	e := Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}
	must.True(t, v.SetConfig(Config{Version: 11}, 1))
	must.False(t, v.SetConfig(Config{Version: 4}, 2))
	must.True(t, v.SetConfig(Config{Version: 11, Routes: []Route{{Name: "again", Endpoint: e}}}, 2))
	must.False(t, v.SetConfig(Config{Version: 11}, 1))
	must.Eq(t, "again", v.Route(e).Name)
}
