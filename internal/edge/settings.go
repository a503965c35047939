package edge

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/inifile"
)

// Settings of an instance, read from an INI file.
type Settings struct {
	Name, Zone string
	// Packet is the address to which the routers send packets (UDP). Packets to
	// clients go to the same port number.
	Packet netip.AddrPort
	// Ready, Peer and Admin are the addresses (TCP) of the readiness check, of other
	// instances and of metrics.
	Ready, Peer, Admin netip.AddrPort
	Store              netip.AddrPort
	// Seeds are Peer addresses of other instances, which may be out of date.
	Seeds []netip.AddrPort
	// MemoryMB is the limit of the process in MB.
	MemoryMB uint64
	// LinkMbps is the rate of the instance's network link in Mbit/s; 0 if not given.
	LinkMbps float64
	// Workers is the number of packet workers.
	Workers uint64
	// FirstStart means that all instances start together for the first time, a few
	// seconds before there is traffic.
	FirstStart bool
	// Regions has the region of each data centre of the deployment; empty if not given.
	Regions map[string]string
	// Reports is the address (UDP) for reports about targets from other instances; invalid if
	// there are none.
	Reports netip.AddrPort
	// Pace and Overload enable the pacing of targets and the admission by class under overload.
	Pace, Overload bool
	// Deployment has the bounds that the deployment sets.
	Deployment Deployment
}

// LoadSettings reads and checks a file. It reports all mistakes at once as
// inifile.Problems.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return parseSettings(file, data)
}

func parseSettings(file string, data []byte) (*Settings, error) {
	s := &Settings{Workers: 1, MemoryMB: 128, Deployment: DefaultDeployment()}
	d := &s.Deployment
	f := inifile.Scan(file, data)
	sections := map[string][]inifile.Field{
		"instance": {
			{Key: "name", Required: true, Set: name(&s.Name)},
			{Key: "zone", Required: true, Set: name(&s.Zone)},
			{Key: "first_start", Set: inifile.Choice(&s.FirstStart, "true", true, "false", false)},
		},
		"listen": {
			{Key: "packet", Required: true, Set: inifile.Address(&s.Packet)},
			{Key: "ready", Required: true, Set: inifile.Address(&s.Ready)},
			{Key: "peer", Required: true, Set: inifile.Address(&s.Peer)},
			{Key: "admin", Required: true, Set: inifile.Address(&s.Admin)},
			{Key: "reports", Set: optionalAddress(&s.Reports)},
		},
		"store": {
			{Key: "address", Required: true, Set: inifile.Address(&s.Store)},
			{Key: "history_s", Set: duration(&d.History, time.Second, time.Second, time.Hour)},
			{Key: "reads_per_s", Set: count(&d.ReadsPerSecond, 1, 1_000_000)},
		},
		"deployment": {
			{Key: "stop_grace_s", Set: duration(&d.StopGrace, time.Second, time.Second, time.Hour)},
			{Key: "config_bound_ms", Set: duration(&d.ConfigBound, time.Millisecond, 300*time.Millisecond, time.Hour)},
			{Key: "drain_bound_ms", Set: duration(&d.DrainBound, time.Millisecond, 300*time.Millisecond, time.Hour)},
			{Key: "evacuation_bound_ms", Set: duration(&d.EvacuationBound, time.Millisecond, 300*time.Millisecond, time.Hour)},
			{Key: "zones", Set: regions(&s.Regions)},
			{Key: "warmup_overage", Set: inRange(1.0, 100.0, func(n float64) { d.WarmUpOverage = n })},
			{Key: "warmup_slack", Set: inRange(0.0, 1e6, func(n float64) { d.WarmUpSlack = n })},
			{Key: "stable_window_ms", Set: duration(&d.StableWindow, time.Millisecond, 500*time.Millisecond, time.Hour)},
			{Key: "heartbeat_ms", Set: duration(&d.Heartbeat, time.Millisecond, 50*time.Millisecond, time.Minute)},
			{Key: "max_flow_s", Set: duration(&d.MaxFlow, time.Second, time.Second, 24*time.Hour)},
		},
		"balancing": {
			{Key: "pace", Set: inifile.Choice(&s.Pace, "on", true, "off", false)},
			{Key: "overload", Set: inifile.Choice(&s.Overload, "on", true, "off", false)},
		},
		"peers": {{Key: "seeds", Set: addresses(&s.Seeds)}},
		"limits": {
			{Key: "memory_mb", Set: inifile.Number(&s.MemoryMB)},
			{Key: "link_mbps", Set: inRange(0.0, 1e6, func(n float64) { s.LinkMbps = n })},
			{Key: "workers", Set: workers(&s.Workers)},
		},
	}
	present := map[string]bool{}
	for _, sec := range f.Sections {
		fields, known := sections[sec.Name]
		if !known {
			f.Fail(sec, "", "unknown section, allowed are instance, listen, store, deployment, balancing, peers, limits")
			continue
		}
		present[sec.Name] = true
		f.ReadFields(sec, fields...)
	}
	for _, name := range []string{"instance", "listen", "store"} {
		if !present[name] {
			f.Fail(nil, "", "section [%s] is missing, allowed is exactly one", name)
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// name returns a setter for a name.
func name(dst *string) func(string) string {
	return func(v string) string {
		if v == "" || strings.ContainsAny(v, " \t/") {
			return fmt.Sprintf("bad name %q, allowed is text without spaces and slashes", v)
		}
		*dst = v
		return ""
	}
}

// duration returns a setter for a number of units between two limits; fractions are allowed.
func duration(dst *time.Duration, unit, least, most time.Duration) func(string) string {
	in := func(d time.Duration) float64 { return float64(d) / float64(unit) }
	return inRange(in(least), in(most), func(n float64) { *dst = time.Duration(n * float64(unit)) })
}

// count returns a setter for a number between two limits. A fraction is rounded down.
func count(dst *uint64, least, most uint64) func(string) string {
	return inRange(least, most, func(n float64) { *dst = uint64(n) })
}

// inRange returns a setter that checks a number. An empty value keeps the default,
// for deployments that do not set the bound.
func inRange[N uint64 | float64](least, most N, set func(n float64)) func(string) string {
	return func(v string) string {
		if v == "" {
			return ""
		}
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= float64(least) && n <= float64(most)) {
			return fmt.Sprintf("bad number %q, allowed is %v to %v", v, least, most)
		}
		set(n)
		return ""
	}
}

// regions returns a setter for the data centres with their regions, "ZONE=REGION,...".
func regions(dst *map[string]string) func(string) string {
	return func(v string) string {
		all := map[string]string{}
		for part := range strings.SplitSeq(v, ",") {
			if part = strings.TrimSpace(part); part == "" {
				continue
			}
			zone, region, _ := strings.Cut(part, "=")
			zone, region = strings.TrimSpace(zone), strings.TrimSpace(region)
			if _, again := all[zone]; again || zone == "" || region == "" {
				return fmt.Sprintf("bad data centre %q, allowed is ZONE=REGION, once for each", part)
			}
			all[zone] = region
		}
		*dst = all
		return ""
	}
}

// optionalAddress returns a setter for an address that may be empty.
func optionalAddress(dst *netip.AddrPort) func(string) string {
	return func(v string) string {
		if v == "" {
			return ""
		}
		return inifile.Address(dst)(v)
	}
}

const maxWorkers = 64

func workers(dst *uint64) func(string) string {
	return func(v string) string {
		n, err := strconv.ParseUint(v, 10, 8)
		if err != nil || n == 0 || n > maxWorkers {
			return fmt.Sprintf("bad number %q, allowed is 1 to %d", v, maxWorkers)
		}
		*dst = n
		return ""
	}
}

func addresses(dst *[]netip.AddrPort) func(string) string {
	return func(v string) string {
		for part := range strings.SplitSeq(v, ",") {
			if strings.TrimSpace(part) == "" {
				continue
			}
			var a netip.AddrPort
			if wrong := inifile.Address(&a)(strings.TrimSpace(part)); wrong != "" {
				return wrong
			}
			*dst = append(*dst, a)
		}
		return ""
	}
}
