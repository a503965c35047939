package inifile

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// Problem is one mistake in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
	// FirstLine is the line of the first occurrence of a repeated section or key, else 0.
	FirstLine int `json:"-"`
}

// String returns "FILE:LINE: [section] key: message".
func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Section != "" {
		s += "[" + p.Section + "] "
	}
	if p.Key != "" {
		s += p.Key + ": "
	}
	return s + p.Message
}

// Problems is an error that lists all mistakes in a file.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// MaxFileBytes is the largest accepted file in bytes, about eight times a bundle of 13,000 targets.
const MaxFileBytes = 16 << 20

// Section is one section with its values and line numbers.
type Section struct {
	Name     string
	Line     int
	Keys     []string          // in file order
	Values   map[string]string // by key
	KeyLines map[string]int    // line by key
}

// Has reports whether the section sets the key.
func (s *Section) Has(key string) bool { return s.KeyLines[key] != 0 }

// scanner records the lines of sections and keys, which ini.v1 does not report, and
// finds the duplicates that ini.v1 would merge. It blanks invalid lines, so that
// ini.v1 accepts the rest and that can be checked as well.
type scanner struct {
	file     string
	sections []*Section
	byName   map[string]*Section
	problems Problems
	accepted bytes.Buffer
}

func (s *scanner) fail(line int, section, key, format string, args ...any) {
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (s *scanner) failRepeated(line int, section, key, what string, first int) {
	s.fail(line, section, key, "%s is repeated, allowed is one (first at line %d)", what, first)
	s.problems[len(s.problems)-1].FirstLine = first
}

// Scan reads the sections of an INI file. Invalid lines are recorded as problems; the
// remaining lines can still be checked.
func Scan(file string, data []byte) *File {
	s := &scanner{file: file, byName: make(map[string]*Section)}
	if len(data) > MaxFileBytes {
		s.fail(1, "", "", "file has %d bytes, allowed are at most %d", len(data), MaxFileBytes)
		return &File{Name: file, Problems: s.problems}
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	var current *Section
	for i, line := range strings.Split(string(data), "\n") {
		kept := ""
		if text := strings.TrimSpace(line); text != "" && text[0] != '#' && text[0] != ';' {
			if text[0] == '[' {
				current = s.parseHeader(i+1, text)
			} else if s.parseKey(i+1, current, text) {
				kept = withoutComment(text)
			}
			if text[0] == '[' && current != nil && current.Line == i+1 {
				kept = "[" + current.Name + "]"
			}
		}
		s.accepted.WriteString(kept + "\n")
	}
	if err := s.readValues(); err != nil {
		s.fail(1, "", "", "can't be read as INI: %v", err)
	}
	return &File{Name: file, Sections: s.sections, Problems: s.problems}
}

// parseHeader parses a section header, or returns nil if it is invalid. For a repeated
// section it returns a section with line 0, whose keys are checked and then discarded.
func (s *scanner) parseHeader(line int, text string) *Section {
	name, rest, closed := strings.Cut(text[1:], "]")
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') || name != strings.TrimSpace(name) || name == "" ||
		strings.ContainsAny(name, "\"`[%") || strings.EqualFold(name, ini.DefaultSection) {
		s.fail(line, "", "", "bad section header %q, allowed is [name] alone on its line", text)
		return nil
	}
	sec := &Section{Name: name, Line: line, Values: map[string]string{}, KeyLines: map[string]int{}}
	if first := s.byName[name]; first != nil {
		s.failRepeated(line, name, "", "section", first.Line)
		sec.Line = 0
		return sec
	}
	s.byName[name] = sec
	s.sections = append(s.sections, sec)
	return sec
}

// parseKey records a "key = value" line and reports whether to pass it to ini.v1.
func (s *scanner) parseKey(line int, sec *Section, text string) bool {
	key, value, found := strings.Cut(withoutComment(text), "=")
	key = strings.TrimSpace(key)
	switch {
	case sec == nil:
		s.fail(line, "", "", "line %q is outside of a section, allowed are lines below a section header", text)
		return false
	case !found || key == "":
		s.fail(line, sec.Name, "", "line %q is not a setting, allowed is key = value", text)
		return false
	case strings.ContainsAny(key, "\"`'\\#;%:") || strings.ContainsAny(value, "`\"'\\"):
		s.fail(line, sec.Name, key, "quotes and backslashes are not supported, allowed is a plain value")
		return false
	case sec.KeyLines[key] != 0:
		s.failRepeated(line, sec.Name, key, "key", sec.KeyLines[key])
		return false
	case sec.Line == 0:
		return false
	}
	sec.Keys = append(sec.Keys, key)
	sec.KeyLines[key] = line
	return true
}

// withoutComment removes a trailing comment, which begins with '#' or ';' after a space
// or tab.
func withoutComment(text string) string {
	for i := 1; i < len(text); i++ {
		if (text[i] == '#' || text[i] == ';') && (text[i-1] == ' ' || text[i-1] == '\t') {
			return strings.TrimSpace(text[:i])
		}
	}
	return text
}

func (s *scanner) readValues() error {
	// Sections are unique already. AllowNonUniqueSections avoids a linear search for each.
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, IgnoreContinuation: true, IgnoreInlineComment: true,
		KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00",
	}, s.accepted.Bytes())
	if err != nil {
		return errors.Wrap(err, "ini")
	}
	parsed.BlockMode = false
	for _, p := range parsed.Sections() {
		sec := s.byName[p.Name()]
		if sec == nil {
			continue
		}
		for _, key := range p.Keys() {
			sec.Values[key.Name()] = key.Value()
		}
	}
	return nil
}

// File is a scanned file. Checks add their problems with Fail.
type File struct {
	Name     string
	Sections []*Section
	Problems Problems
}

// Fail records a problem at the line of the key, or of the section if it does not set
// the key. If sec is nil, the problem concerns the whole file.
func (f *File) Fail(sec *Section, key, format string, args ...any) {
	p := Problem{File: f.Name, Line: 1, Key: key, Message: fmt.Sprintf(format, args...)}
	if sec != nil {
		p.Line, p.Section = sec.Line, sec.Name
		if at := sec.KeyLines[key]; at != 0 {
			p.Line = at
		}
	}
	f.Problems = append(f.Problems, p)
}

// Err returns the problems in line order, or nil if there are none.
func (f *File) Err() error {
	if len(f.Problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.Problems, func(x, y Problem) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Key, y.Key))
	})
	return f.Problems
}
