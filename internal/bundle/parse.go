package bundle

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaloom.example/guavaloom/internal/inifile"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Limits of a bundle.
const (
	// MaxTargetsPerService is half of the range of zone.TargetIndex, so that all
	// targets can be replaced while the old indexes are still in use.
	MaxTargetsPerService = 1<<15 - 1
	// MaxTargets is about three times the design size of 13,000 targets.
	MaxTargets = 40_000
	// MaxSlotsPerTarget limits the concurrent requests of one target.
	MaxSlotsPerTarget = 4096
	// MaxRoutesPerService limits the routes of one service.
	MaxRoutesPerService = 256
	// MaxBodyBytes is the largest allowed request body in bytes.
	MaxBodyBytes = 1 << 30
	maxName      = 63
)

// Defaults of optional keys.
const (
	defaultIdleTimeout = 5 * time.Minute
	defaultColdStart   = 10 * time.Second
	defaultDeadline    = 10 * time.Second
	defaultMaxBody     = 1 << 20
)

// parsedSection is a value with the section from which it was parsed.
type parsedSection[T any] struct {
	value T
	sec   *inifile.Section
}

// parser collects the content of a bundle file, which check then joins and verifies.
type parser struct {
	*inifile.File
	bundle        Bundle
	bundleSection *inifile.Section
	services      []parsedSection[service.Service]
	routes        []parsedSection[service.Route]
	targets       []parsedSection[target.Target]
}

// Parse reads and checks a bundle file. The error is of type inifile.Problems and names
// every mistake in the file.
func Parse(file string, data []byte) (*Bundle, error) {
	d := &parser{File: inifile.Scan(file, data)}
	for _, sec := range d.Sections {
		d.parseSection(sec)
	}
	if d.bundleSection == nil {
		d.Fail(nil, "", "section [bundle] is missing, allowed is exactly one")
	}
	d.check()
	if err := d.Err(); err != nil {
		return nil, err
	}
	d.bundle.sortCanonical()
	if err := d.checkParts(); err != nil {
		return nil, err
	}
	return &d.bundle, nil
}

// checkParts rejects a bundle that the platform can't store because a part exceeds
// the size limit of a value. Many long routes can cause that.
func (d *parser) checkParts() error {
	for _, part := range d.bundle.Encode().Parts {
		if len(part) > MaxValueBytes {
			d.Fail(d.bundleSection, "", "an encoded part has %d bytes, allowed are up to %d; use fewer or shorter routes", len(part), MaxValueBytes)
			break
		}
	}
	return d.Err()
}

func (d *parser) parseSection(sec *inifile.Section) {
	kind, name, _ := strings.Cut(sec.Name, " ")
	switch kind {
	case "bundle":
		if name != "" {
			d.Fail(sec, "", "the section takes no name, allowed is [bundle]")
		}
		d.bundleSection = sec
		d.parseHeader(sec)
	case "service":
		d.checkName(sec, name)
		d.parseService(sec, service.ID(name))
	case "route":
		d.checkName(sec, name)
		d.parseRoute(sec)
	case "target":
		d.checkName(sec, name)
		d.parseTarget(sec, target.ID(name))
	default:
		d.Fail(sec, "", "unknown section, allowed are [bundle], [service NAME], [route NAME], [target NAME]")
	}
}

func (d *parser) checkName(sec *inifile.Section, name string) {
	if !inifile.ValidName(name) {
		d.Fail(sec, "", "bad name %q, %s", name, inifile.NameRule)
	}
}

func (d *parser) parseHeader(sec *inifile.Section) {
	b := &d.bundle
	d.ReadFields(sec,
		inifile.Field{Key: "name", Required: true, Set: inifile.Name(&b.Name)},
		inifile.Field{Key: "epoch", Required: true, Set: inifile.Number(&b.Revision.Epoch)},
		inifile.Field{Key: "revision", Required: true, Set: inifile.Number(&b.Revision.Number)},
		inifile.Field{Key: "zones", Required: true, Set: inifile.Names(&b.Zones)},
	)
}

func (d *parser) parseService(sec *inifile.Section, id service.ID) {
	s := service.Service{ID: id, ColdStart: defaultColdStart}
	var protocol string
	d.ReadFields(sec,
		inifile.Field{Key: "kind", Required: true, Set: inifile.Choice(&s.Kind, "flow", service.Flow, "request", service.Request)},
		inifile.Field{Key: "address", Set: inifile.Address(&s.Address)},
		inifile.Field{Key: "protocol", Set: func(v string) string {
			protocol = v
			return inifile.Choice(&s.Protocol, "tcp", service.TCP, "udp", service.UDP)(v)
		}},
		inifile.Field{Key: "host", Set: inifile.Name(&s.Host)},
		inifile.Field{Key: "idle_timeout", Set: inifile.Duration(&s.IdleTimeout, time.Second, 7*24*time.Hour)},
		inifile.Field{Key: "quiet_period", Set: inifile.Duration(&s.QuietPeriod, time.Millisecond, time.Hour)},
		inifile.Field{Key: "cold_start", Set: inifile.Duration(&s.ColdStart, 0, time.Hour)},
		inifile.Field{Key: "deadline", Set: inifile.Duration(&s.Deadline, 10*time.Millisecond, time.Hour)},
		inifile.Field{Key: "max_body", Set: sizeInto(&s.MaxBody)},
		inifile.Field{Key: "health_path", Set: pathInto(&s.HealthPath)},
	)
	if s.Kind == service.Flow {
		d.finishFlowService(sec, &s)
	} else {
		d.finishRequestService(sec, &s)
	}
	if protocol == "" {
		s.Protocol = service.TCP
	}
	d.services = append(d.services, parsedSection[service.Service]{s, sec})
}

// rejectKeys reports those of the keys that a section sets although they have no
// meaning for its kind of service.
func (d *parser) rejectKeys(sec *inifile.Section, what string, keys ...string) {
	for _, key := range keys {
		if sec.Has(key) {
			d.Fail(sec, key, "has no meaning for %s, allowed is to leave it out", what)
		}
	}
}

func (d *parser) finishFlowService(sec *inifile.Section, s *service.Service) {
	d.rejectKeys(sec, "a flow service", "host", "deadline", "max_body")
	if !sec.Has("address") {
		d.Fail(sec, "address", "key is missing, allowed is exactly one for a flow service")
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	switch {
	case s.Protocol != service.UDP:
		d.rejectKeys(sec, "TCP", "quiet_period")
	case !sec.Has("quiet_period"):
		d.Fail(sec, "quiet_period", "key is missing, allowed is exactly one for a UDP service")
	case s.QuietPeriod > s.IdleTimeout:
		d.Fail(sec, "quiet_period", "%s is above idle_timeout %s, allowed is up to idle_timeout", s.QuietPeriod, s.IdleTimeout)
	}
}

func (d *parser) finishRequestService(sec *inifile.Section, s *service.Service) {
	d.rejectKeys(sec, "a request service", "protocol", "idle_timeout", "quiet_period")
	if (sec.Has("host")) == (sec.Has("address")) {
		d.Fail(sec, "host", "a request service has either host or address, allowed is exactly one of them")
	}
	if s.Deadline == 0 {
		s.Deadline = defaultDeadline
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
}

func (d *parser) parseRoute(sec *inifile.Section) {
	r := service.Route{Class: service.Normal}
	var owner string
	d.ReadFields(sec,
		inifile.Field{Key: "service", Required: true, Set: inifile.Name(&owner)},
		inifile.Field{Key: "method", Set: func(v string) string {
			r.Method = v
			if !slices.Contains(methods, v) {
				return fmt.Sprintf("bad method %q, allowed are %s", v, strings.Join(methods, ", "))
			}
			return ""
		}},
		inifile.Field{Key: "prefix", Required: true, Set: pathInto(&r.Prefix)},
		inifile.Field{Key: "class", Set: inifile.Choice(&r.Class, "urgent", service.Urgent, "normal", service.Normal, "bulk", service.Bulk)},
		inifile.Field{Key: "idempotent", Set: inifile.Choice(&r.Idempotent, "true", true, "false", false)},
	)
	d.routes = append(d.routes, parsedSection[service.Route]{r, sec})
}

func (d *parser) parseTarget(sec *inifile.Section, id target.ID) {
	t := target.Target{ID: id}
	var owner string
	slots := uint64(0)
	d.ReadFields(sec,
		inifile.Field{Key: "service", Required: true, Set: inifile.Name(&owner)},
		inifile.Field{Key: "address", Required: true, Set: inifile.Address(&t.Addr)},
		inifile.Field{Key: "zone", Required: true, Set: inifile.Name(&t.Zone)},
		inifile.Field{Key: "slots", Set: func(v string) string {
			n, err := strconv.ParseUint(v, 10, 32)
			if err != nil || n < 1 || n > MaxSlotsPerTarget {
				return fmt.Sprintf("bad number %q, allowed is 1 to %d", v, MaxSlotsPerTarget)
			}
			slots = n
			return ""
		}},
		inifile.Field{Key: "drain", Set: inifile.Choice(&t.Drain, "true", true, "false", false)},
	)
	t.Slots = int(slots)
	d.targets = append(d.targets, parsedSection[target.Target]{t, sec})
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func sizeInto(dst *int64) func(string) string {
	return func(v string) string {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 1 || n > MaxBodyBytes {
			return fmt.Sprintf("bad size %q, allowed is 1 to %d bytes", v, MaxBodyBytes)
		}
		*dst = n
		return ""
	}
}

func pathInto(dst *string) func(string) string {
	return func(v string) string {
		if !strings.HasPrefix(v, "/") || len(v) > 1024 || strings.ContainsAny(v, " ?#") {
			return fmt.Sprintf("bad path %q, allowed is a path of up to 1024 bytes that begins with / and has no space, ? or #", v)
		}
		*dst = v
		return ""
	}
}
