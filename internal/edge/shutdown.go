package edge

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
)

const (
	// quietPeriod is how long no packet may arrive before a stopping instance ends.
	quietPeriod = 500 * time.Millisecond
	// settingsCheckInterval is how often the settings file is checked.
	settingsCheckInterval = 3 * time.Second
)

// stop reports not ready and forwards until packets stop arriving or StopTimeout has passed.
func (i *Instance) stop() {
	began := i.now()
	i.mu.Lock()
	i.stopping = true
	close(i.stopped)
	i.log.Event(lifecycleClass, "stopping", nil)
	i.logReadinessChange()
	i.mu.Unlock()
	for {
		time.Sleep(quietPeriod / 5)
		now := i.now()
		i.mu.Lock()
		quiet := now - i.lastPacketAt
		i.mu.Unlock()
		if now-began >= i.timing.StopTimeout || now-began >= i.timing.MinStopTime && quiet >= quietPeriod {
			i.log.Event(lifecycleClass, "stopped", logrus.Fields{logfield.Age: milliseconds(now - began)})
			return
		}
	}
}

// watchSettings checks the settings file after each signal and periodically. Only the
// seeds are reloaded; a change of other settings is logged and takes effect at the next
// start.
func (i *Instance) watchSettings(ctx context.Context, file string, reload <-chan os.Signal) {
	old, err := os.ReadFile(file)
	if err != nil {
		i.log.Event(lifecycleClass, "settings unreadable", logrus.Fields{logfield.File: file, logfield.Error: err.Error()})
	}
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-t.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			i.log.Event(lifecycleClass, "settings unreadable", logrus.Fields{logfield.File: file, logfield.Error: err.Error()})
			continue
		}
		if changed := !bytes.Equal(data, old); changed || signalled {
			old = data
			i.reload(file, data, changed)
		}
	}
}

func (i *Instance) reload(file string, data []byte, changed bool) {
	fields := logrus.Fields{logfield.File: file, logfield.Change: changed}
	s, err := parseSettings(file, data)
	if err != nil {
		fields[logfield.Error] = err.Error()
		i.log.Event(lifecycleClass, "reload refused, keeping the previous settings", fields)
		return
	}
	i.registry.setSeeds(s.Seeds)
	i.log.Event(lifecycleClass, "reload", fields)
	if s.Seeds = i.settings.Seeds; !reflect.DeepEqual(s, i.settings) {
		i.log.Event(lifecycleClass, "settings changed that apply at the next start", logrus.Fields{logfield.File: file})
	}
}
