package edge

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/inifile"
)

// Settings of an instance, read from an INI file.
type Settings struct {
	Name, Zone string
	// Packet is where the routers send packets (UDP). Clients are answered at the
	// same port number.
	Packet netip.AddrPort
	// Ready, Peer and Admin are the addresses (TCP) of the readiness check, of other
	// instances and of metrics.
	Ready, Peer, Admin netip.AddrPort
	Store              netip.AddrPort
	// Seeds are Peer addresses of other instances, which may be out of date.
	Seeds []netip.AddrPort
	// MemoryMB is the limit of the process in MB.
	MemoryMB uint64
	// Workers is the number of packet workers.
	Workers uint64
	// FirstStart tells that all instances start together for the first time, some
	// seconds before there is traffic.
	FirstStart bool
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
	s := &Settings{Workers: 1, MemoryMB: 128}
	f := inifile.Scan(file, data)
	sections := map[string][]inifile.Field{
		"instance": {
			{Key: "name", Required: true, Set: word(&s.Name)},
			{Key: "zone", Required: true, Set: word(&s.Zone)},
			{Key: "first_start", Set: inifile.Choice(&s.FirstStart, "true", true, "false", false)},
		},
		"listen": {
			{Key: "packet", Required: true, Set: inifile.Address(&s.Packet)},
			{Key: "ready", Required: true, Set: inifile.Address(&s.Ready)},
			{Key: "peer", Required: true, Set: inifile.Address(&s.Peer)},
			{Key: "admin", Required: true, Set: inifile.Address(&s.Admin)},
		},
		"store": {{Key: "address", Required: true, Set: inifile.Address(&s.Store)}},
		"peers": {{Key: "seeds", Set: addresses(&s.Seeds)}},
		"limits": {
			{Key: "memory_mb", Set: inifile.Number(&s.MemoryMB)},
			{Key: "workers", Set: workers(&s.Workers)},
		},
	}
	present := map[string]bool{}
	for _, sec := range f.Sections {
		fields, known := sections[sec.Name]
		if !known {
			f.Fail(sec, "", "unknown section, allowed are instance, listen, store, peers, limits")
			continue
		}
		present[sec.Name] = true
		f.Read(sec, fields...)
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

// word returns a setter for a name that others choose.
func word(dst *string) func(string) string {
	return func(v string) string {
		if v == "" || strings.ContainsAny(v, " \t/") {
			return fmt.Sprintf("bad name %q, allowed is text without spaces and slashes", v)
		}
		*dst = v
		return ""
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
