package settings

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"guavaloom.example/guavaloom/internal/inifile"
	"guavaloom.example/guavaloom/internal/instance"
)

// reader converts the content of a file to settings and problems.
type reader struct {
	file     string
	lines    map[entry]int // line of each section and key, also of keys that scan rejected
	values   map[entry]string
	out      *Settings
	problems Problems
}

// entry identifies a key, or a section if the key is empty.
type entry struct{ section, key string }

func (r *reader) report(e entry, wrong, allowed string) {
	r.reportAt(r.line(e), e, wrong, allowed)
}

func (r *reader) reportAt(line int, e entry, wrong, allowed string) {
	r.problems = append(r.problems, Problem{r.file, line, e.section, e.key, wrong, allowed})
}

// line returns the line of an entry. If the file lacks the entry, it returns the line
// of the section, or 1 if the file lacks that too.
func (r *reader) line(e entry) int {
	if n, ok := r.lines[e]; ok {
		return n
	}
	return max(r.lines[entry{e.section, ""}], 1)
}

var (
	sectionLine = regexp.MustCompile(`^\[([A-Za-z0-9_.-]+)\]$`)
	keyLine     = regexp.MustCompile(`^([A-Za-z0-9_.-]+)\s*=\s*(.*)$`)
)

// scan reads the valid lines, records the sections and keys, and reports the others.
func (r *reader) scan(data []byte) {
	r.lines, r.values = map[entry]int{}, map[entry]string{}
	f := inifile.Scan(r.file, []byte(r.acceptedLines(string(data))))
	for _, p := range f.Problems {
		e := entry{p.Section, p.Key}
		wrong, allowed, ok := strings.Cut(p.Message, ", allowed is ")
		switch {
		case p.FirstLine > 0:
			wrong, _, _ = strings.Cut(p.Message, ",")
			r.reportRepeated(p.Line, e, wrong, p.FirstLine)
		case ok:
			r.reportAt(p.Line, e, wrong, allowed)
		default:
			r.reportAt(p.Line, e, p.Message, "an INI file")
		}
	}
	for _, s := range f.Sections {
		r.lines[entry{s.Name, ""}] = s.Line
		for _, key := range s.Keys {
			e := entry{s.Name, key}
			if first := r.lines[e]; first > 0 && first < s.KeyLines[key] {
				r.reportRepeated(s.KeyLines[key], e, "key is repeated", first)
				continue
			}
			r.lines[e], r.values[e] = s.KeyLines[key], s.Values[key]
		}
	}
}

func (r *reader) reportRepeated(line int, e entry, wrong string, first int) {
	r.reportAt(line, e, fmt.Sprintf("%s, first in line %d", wrong, first), "one")
}

// defaultSection is reserved by ini.v1 and rejected by package inifile. Here it is
// reported as an unknown section.
const defaultSection = "DEFAULT"

// acceptedLines blanks and reports the lines that violate the grammar, which is
// stricter than that of package inifile.
func (r *reader) acceptedLines(text string) string {
	lines := strings.Split(text, "\n")
	section, seen := "", map[string]bool{}
	skipping := false // within a repeated section, which is reported once
	for i, raw := range lines {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case sectionLine.MatchString(line):
			section = sectionLine.FindStringSubmatch(line)[1]
			skipping, seen[section] = seen[section], true
			if strings.EqualFold(section, defaultSection) {
				r.recordDefaultSection(i+1, section)
				lines[i], skipping = "", true
			}
		case skipping:
			lines[i] = ""
		case !keyLine.MatchString(line):
			r.reportAt(i+1, entry{section, ""}, fmt.Sprintf("line %q can't be read", line), "[section], key = value or a comment")
			lines[i] = ""
		case !r.checkKeyLine(i+1, section, line):
			lines[i] = ""
		}
	}
	return strings.Join(lines, "\n")
}

func (r *reader) recordDefaultSection(n int, section string) {
	e := entry{section, ""}
	if first := r.lines[e]; first > 0 {
		r.reportRepeated(n, e, "section is repeated", first)
		return
	}
	r.lines[e] = n
}

// checkKeyLine reports whether a key line is within a section and has a plain value.
func (r *reader) checkKeyLine(n int, section, line string) bool {
	m := keyLine.FindStringSubmatch(line)
	e := entry{section, m[1]}
	switch {
	case section == "":
		r.reportAt(n, e, "key is before the first section", "a key within a section")
	case strings.ContainsAny(m[2], "\"'`\\"):
		r.reportAt(n, e, "value has a quote or a backslash", "a plain value")
	case m[2] == "" || m[2][0] == '#' || m[2][0] == ';':
		r.reportAt(n, e, "value is empty", "a value, or no such line")
	default:
		return true
	}
	if r.lines[e] == 0 {
		r.lines[e] = n // known, so that it is not also reported as missing
	}
	return false
}

// value returns the value of a key that scan accepted.
func (r *reader) value(e entry) (string, bool) {
	v, ok := r.values[e]
	return v, ok
}

// checkFixedKeys reads all keys with a fixed name and reports unknown sections and keys.
func (r *reader) checkFixedKeys() {
	known := fixedKeys()
	for _, e := range r.entries() {
		if hasNamedKeys(e.section) {
			continue
		}
		switch keys, ok := known[e.section]; {
		case !ok && e.key == "":
			r.report(e, "unknown section", "one of "+strings.Join(sections(known), ", "))
		case ok && e.key != "" && keys[e.key] == nil:
			r.report(e, "unknown key", "one of "+strings.Join(slices.Sorted(maps.Keys(keys)), ", "))
		}
	}
	for section, keys := range known {
		for key, f := range keys {
			r.checkFixedKey(entry{section, key}, f)
		}
	}
}

func (r *reader) checkFixedKey(e entry, f *field) {
	v, ok := r.value(e)
	if !ok {
		if _, reported := r.lines[e]; f.required && !reported {
			r.report(e, "is missing", f.allowed)
		}
		return
	}
	if wrong := f.parse(r.out, v); wrong != "" {
		r.report(e, wrong, f.allowed)
	}
}

// entries returns all sections and keys in line order.
func (r *reader) entries() []entry {
	return slices.SortedFunc(maps.Keys(r.lines), func(a, b entry) int { return cmp.Compare(r.lines[a], r.lines[b]) })
}

const (
	seedsSection  = "seeds"
	peersPrefix   = "peers."
	signerSection = "signers"
)

// hasNamedKeys reports whether the section's keys are names that the operator chooses.
func hasNamedKeys(section string) bool {
	return section == seedsSection || section == signerSection || strings.HasPrefix(section, peersPrefix)
}

func sections(known map[string]map[string]*field) []string {
	names := append(slices.Collect(maps.Keys(known)), seedsSection, signerSection, peersPrefix+"ZONE")
	slices.Sort(names)
	return names
}

// readNamedKeys reads the sections for which hasNamedKeys is true.
func (r *reader) readNamedKeys() {
	for _, e := range r.entries() {
		v, ok := r.value(e)
		switch zone, other := strings.CutPrefix(e.section, peersPrefix); {
		case other && e.key == "":
			r.checkPeerZone(e, zone)
		case !ok:
		case e.section == seedsSection:
			r.addSeed(e, r.out.Zone, v, &r.out.Seeds)
		case other:
			r.addSeed(e, zone, v, &r.out.Peers)
		case e.section == signerSection:
			r.addSigner(e, v)
		}
	}
}

func (r *reader) checkPeerZone(e entry, zone string) {
	if !nameFormat.MatchString(zone) {
		r.report(e, "bad zone name "+zone, nameAllowed)
	} else if zone == r.out.Zone {
		r.report(e, "is the zone of this instance", "another zone; instances of the same zone belong in ["+seedsSection+"]")
	}
}

func (r *reader) addSeed(e entry, zone, v string, to *[]Seed) {
	s := Seed{ID: instance.ID(e.key), Zone: zone}
	if !nameFormat.MatchString(e.key) {
		r.report(e, "bad instance name", nameAllowed)
		return
	}
	if s.ID == r.out.Instance {
		r.report(e, "is this instance itself", "another instance")
		return
	}
	for _, known := range append(slices.Clone(r.out.Seeds), r.out.Peers...) {
		if known.ID == s.ID {
			r.report(e, "instance is listed in zone "+known.Zone+" too", "one zone per instance")
			return
		}
	}
	if wrong := parseAddr(&s.Control, v); wrong != "" {
		r.report(e, wrong, addrAllowed)
		return
	}
	*to = append(*to, s)
}
