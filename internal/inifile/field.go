package inifile

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field describes a key of a section.
type Field struct {
	Key      string
	Required bool
	// Set stores the value, or returns what is wrong with it and what is allowed.
	Set func(value string) string
}

// ReadFields reads the fields of a section and reports missing and unknown keys.
func (f *File) ReadFields(sec *Section, fields ...Field) {
	allowed := make([]string, len(fields))
	for i, field := range fields {
		allowed[i] = field.Key
		if !sec.Has(field.Key) {
			if field.Required {
				f.Fail(sec, field.Key, "key is missing, allowed is exactly one")
			}
			continue
		}
		if wrong := field.Set(sec.Values[field.Key]); wrong != "" {
			f.Fail(sec, field.Key, "%s", wrong)
		}
	}
	for _, key := range sec.Keys {
		if !slices.Contains(allowed, key) {
			f.Fail(sec, key, "unknown key, allowed are %s", strings.Join(allowed, ", "))
		}
	}
}

// NameRule describes the names that ValidName accepts, for messages.
const NameRule = "allowed are 1 to 63 of a-z, 0-9, '-' and '.', beginning with a letter or digit"

const maxNameLength = 63

// ValidName reports whether s is a valid name of a zone, service, target or similar object.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' || s[0] == '.' {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") == ""
}

// Names returns a setter for a comma-separated list of distinct names.
func Names(dst *[]string) func(string) string {
	return func(v string) string {
		for part := range strings.SplitSeq(v, ",") {
			name := strings.TrimSpace(part)
			if !ValidName(name) {
				return fmt.Sprintf("bad name %q, %s", name, NameRule)
			}
			if slices.Contains(*dst, name) {
				return fmt.Sprintf("name %q is repeated, allowed is one", name)
			}
			*dst = append(*dst, name)
		}
		return ""
	}
}

// Name returns a setter for a name.
func Name(dst *string) func(string) string {
	return func(v string) string {
		*dst = v
		if !ValidName(v) {
			return fmt.Sprintf("bad name %q, %s", v, NameRule)
		}
		return ""
	}
}

// Number returns a setter for a positive integer.
func Number(dst *uint64) func(string) string {
	return func(v string) string {
		n, err := strconv.ParseUint(v, 10, 63)
		if err != nil || n == 0 {
			return fmt.Sprintf("bad number %q, allowed is 1 to %d", v, uint64(1)<<63-1)
		}
		*dst = n
		return ""
	}
}

// Address returns a setter for a unicast IP address with port.
func Address(dst *netip.AddrPort) func(string) string {
	return func(v string) string {
		a, err := netip.ParseAddrPort(v)
		if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().Is4In6() ||
			a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
			return fmt.Sprintf("bad address %q, allowed is a unicast IP:PORT such as 10.0.0.1:443 or [fd00::1]:443", v)
		}
		*dst = a
		return ""
	}
}

// Duration returns a setter for a duration from least to most.
func Duration(dst *time.Duration, least, most time.Duration) func(string) string {
	return func(v string) string {
		n, err := time.ParseDuration(v)
		if err != nil || n < least || n > most {
			return fmt.Sprintf("bad duration %q, allowed is %s to %s such as 30s or 5m", v, least, most)
		}
		*dst = n
		return ""
	}
}

// Choice returns a setter for one of several words. The pairs are words, each followed
// by the value of type T that it sets.
func Choice[T any](dst *T, pairs ...any) func(string) string {
	return func(v string) string {
		var words []string
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i] == v {
				*dst = pairs[i+1].(T)
				return ""
			}
			words = append(words, pairs[i].(string))
		}
		return fmt.Sprintf("bad value %q, allowed are %s", v, strings.Join(words, ", "))
	}
}
