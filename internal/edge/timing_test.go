package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// deployment returns the default bounds with some of them changed.
func deployment(change func(*Deployment)) Deployment {
	d := DefaultDeployment()
	change(&d)
	return d
}

// Guards against derived times that keep a deployment's bounds only for the defaults: the
// rules are checked against the bounds, not against the derived times.
func TestTimingKeepsTheBounds(t *testing.T) {
	const (
		// routersNotice is how long the routers may take to stop sending to an instance.
		routersNotice = time.Second
		// link is the maximum one-way delay of a link.
		link = 30 * time.Millisecond
		// storeAnswer is the store's time for an answer, and again for the list after it.
		storeAnswer = 2 * 20 * time.Millisecond
		// logDelay is how long writing the last log lines may take.
		logDelay = 300 * time.Millisecond
		// treeSteps is how many instances forward a change.
		treeSteps = 2
	)
	for name, d := range map[string]Deployment{
		"the users' first deployments": DefaultDeployment(),
		"the large deployment": deployment(func(d *Deployment) {
			d.ConfigBound, d.DrainBound, d.StableWindow = 6*time.Second, 6*time.Second, 6*time.Second
			d.ReadsPerSecond = 16_000
		}),
		"3 s to stop":      deployment(func(d *Deployment) { d.StopGrace = 3 * time.Second }),
		"2 s to stop":      deployment(func(d *Deployment) { d.StopGrace = 2 * time.Second }),
		"1.5 s for change": deployment(func(d *Deployment) { d.ConfigBound, d.DrainBound = 1500*time.Millisecond, 1500*time.Millisecond }),
		"2 s stable":       deployment(func(d *Deployment) { d.StableWindow = 2 * time.Second }),
		"quick heartbeats": deployment(func(d *Deployment) { d.Heartbeat = 600 * time.Millisecond }),
		"slow heartbeats":  deployment(func(d *Deployment) { d.Heartbeat = 2500 * time.Millisecond }),
		"small store":      deployment(func(d *Deployment) { d.ReadsPerSecond = 500 }),
		"5 s of history":   deployment(func(d *Deployment) { d.History = 5 * time.Second }),
		"short flows":      deployment(func(d *Deployment) { d.MaxFlow = 20 * time.Second }),
		"all at once": deployment(func(d *Deployment) {
			d.StopGrace, d.ConfigBound, d.DrainBound = 3*time.Second, 1500*time.Millisecond, 1500*time.Millisecond
			d.StableWindow, d.History, d.Heartbeat = 2*time.Second, 5*time.Second, 2500*time.Millisecond
		}),
	} {
		t.Run(name, func(t *testing.T) {
			x := d.Timing()
			must.Less(t, d.StableWindow, x.WatchWait+x.WatchSlack, must.Sprint("a disturbed watch ends within the stable window"))
			must.Less(t, d.StableWindow, x.CallTimeout)
			must.Less(t, d.StableWindow, x.Stream.IdleTimeout)
			must.Less(t, x.Stream.IdleTimeout, x.Stream.HeartbeatInterval+10*link)
			change := storeAnswer + x.Coalesce + treeSteps*link
			must.Less(t, d.ConfigBound, change, must.Sprint("a change is in force in time"))
			must.Less(t, d.DrainBound, change)
			others := x.PeerQueryAfter + x.PeerQueryInterval + x.PeerQueryTimeout
			must.Less(t, min(d.ConfigBound, d.DrainBound), others, must.Sprint("a change known to other instances arrives in time"))
			must.LessEq(t, d.History, 2*max(x.WatchWait, x.InstanceWatchWait), must.Sprint("a watch resumes from the previous answer"))
			must.Less(t, x.ReadStoreAfter, x.WatchWait+2*link, must.Sprint("a watch without changes ends before"))
			must.Less(t, x.Forwarding.MaxConfigAge, x.WatchWait+x.WatchSlack)
			must.Less(t, d.StopGrace, x.StopTimeout+logDelay, must.Sprint("a stop ends before the process is killed"))
			must.GreaterEq(t, routersNotice, x.MinStopTime)
			must.LessEq(t, x.StopTimeout, x.MinStopTime)
			must.Less(t, x.View.ForgetAfter, d.MaxFlow, must.Sprint("a flow's target is known for the flow's whole life"))
			must.GreaterEq(t, 2*time.Second+returnGraceMargin, x.View.ReturnGrace, must.Sprint("an expired entry has time to return"))
			must.GreaterEq(t, d.Heartbeat+returnGraceMargin, x.View.ReturnGrace)
			must.Positive(t, x.WatchWait)
			must.LessEq(t, d.ReadsPerSecond/20, x.CallsPerSecond, must.Sprint("twenty instances fit in the store's rate limit"))
		})
	}
}

// Guards against unintended changes of the times in the users' current deployments.
func TestTimingOfTheFirstDeployments(t *testing.T) {
	x := DefaultDeployment().Timing()
	must.Eq(t, 3200*time.Millisecond, x.WatchWait)
	must.Eq(t, 9*time.Second, x.InstanceWatchWait)
	must.Eq(t, 600*time.Millisecond, x.WatchSlack)
	must.Eq(t, 500*time.Millisecond, x.Coalesce)
	must.Eq(t, time.Second, x.Stream.HeartbeatInterval)
	must.Eq(t, 1500*time.Millisecond, x.MinStopTime)
	must.Eq(t, 4500*time.Millisecond, x.StopTimeout)
	must.Eq(t, 5*time.Second, x.Forwarding.MaxConfigAge)
	must.Eq(t, 3*time.Second, x.View.ReturnGrace)
	must.Eq(t, 90*time.Second, x.View.ForgetAfter)
	must.Eq(t, 20, x.CallsPerSecond)
}

const minimalSettings = "[instance]\nname = i-1\nzone = a\n[listen]\npacket = 127.0.0.1:1\nready = 127.0.0.1:2\npeer = 127.0.0.1:3\nadmin = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n"

// Guards against a deployment whose bounds are ignored, and against one that sets only
// some of them.
func TestDeploymentSettings(t *testing.T) {
	s, err := parseSettings("f.ini", []byte(minimalSettings+
		"history_s = 5\nreads_per_s = 500.0\n[deployment]\nstop_grace_s = 3\nconfig_bound_ms = 1500\ndrain_bound_ms =\nheartbeat_ms = 2500.0\n"))
	must.NoError(t, err)
	must.Eq(t, deployment(func(d *Deployment) {
		d.History, d.ReadsPerSecond = 5*time.Second, 500
		d.StopGrace, d.ConfigBound, d.Heartbeat = 3*time.Second, 1500*time.Millisecond, 2500*time.Millisecond
	}), s.Deployment)
}

// Guards against data centres whose names or regions differ from those of the entries by a space, and
// against one with two regions: its targets would be no home, and could not be evacuated.
func TestZoneSettings(t *testing.T) {
	for value, want := range map[string]map[string]string{
		"":                     {},
		"a=north, b=south,":    {"a": "north", "b": "south"},
		"a = north,b= south":   {"a": "north", "b": "south"},
		"a=north,b":            nil,
		"=north":               nil,
		"a= ":                  nil,
		"a=north,a=south":      nil,
		"a=north,b=south,a=no": nil,
	} {
		s, err := parseSettings("f.ini", []byte(minimalSettings+"[deployment]\nzones = "+value+"\n"))
		if want == nil {
			must.ErrorContains(t, err, "[deployment] zones: bad data centre", must.Sprint(value))
			continue
		}
		must.NoError(t, err, must.Sprint(value))
		must.Eq(t, want, s.Regions, must.Sprint(value))
	}
}

// Guards against the use of a bound that no instance can keep or that can't be parsed.
func TestBadDeploymentSettings(t *testing.T) {
	_, err := parseSettings("f.ini", []byte(minimalSettings+
		"history_s = 0\nreads_per_s = many\n[deployment]\nstop_grace_s = 0.5\nconfig_bound_ms = NaN\nheartbeat_ms = -1\ngrace = 3\n"))
	must.Error(t, err)
	for _, want := range []string{
		`f.ini:11: [store] history_s: bad number "0", allowed is 1 to 3600`,
		`[store] reads_per_s: bad number "many", allowed is 1 to 1000000`,
		`[deployment] stop_grace_s: bad number "0.5", allowed is 1 to 3600`,
		`[deployment] config_bound_ms: bad number "NaN", allowed is 300 to 3.6e+06`,
		`[deployment] heartbeat_ms: bad number "-1", allowed is 50 to 60000`,
		`[deployment] grace: unknown key`,
	} {
		must.StrContains(t, err.Error(), want)
	}
}
