package bundle

import (
	"fmt"
	"reflect"
	"strings"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Change is one difference between two bundles.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind    string     `json:"kind"`
	Service service.ID `json:"service"`
	Target  target.ID  `json:"target,omitempty"`
	// Fields lists what changed, as "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	s := c.Kind + " service " + string(c.Service)
	if c.Target != "" {
		s = c.Kind + " target " + string(c.Target) + " of service " + string(c.Service)
	}
	if len(c.Fields) > 0 {
		s += ": " + strings.Join(c.Fields, ", ")
	}
	return s
}

// Diff returns the differences from a to b, ordered by service and target.
func Diff(a, b *Bundle) []Change {
	var changes []Change
	merge(a.Services, b.Services, func(s service.Service) string { return string(s.ID) },
		func(old, now *service.Service) { changes = append(changes, diffService(old, now)...) })
	return changes
}

func diffService(old, now *service.Service) []Change {
	switch {
	case old == nil:
		return []Change{{Kind: "added", Service: now.ID}}
	case now == nil:
		return []Change{{Kind: "removed", Service: old.ID}}
	}
	var changes []Change
	x, y := *old, *now
	x.Targets, y.Targets = nil, nil
	if f := diffFields(x, y); len(f) > 0 {
		changes = append(changes, Change{Kind: "changed", Service: now.ID, Fields: f})
	}
	merge(old.Targets, now.Targets, func(t target.Target) string { return string(t.ID) }, func(x, y *target.Target) {
		switch {
		case x == nil:
			changes = append(changes, Change{Kind: "added", Service: now.ID, Target: y.ID})
		case y == nil:
			changes = append(changes, Change{Kind: "removed", Service: now.ID, Target: x.ID})
		default:
			if f := diffFields(*x, *y); len(f) > 0 {
				changes = append(changes, Change{Kind: "changed", Service: now.ID, Target: x.ID, Fields: f})
			}
		}
	})
	return changes
}

// merge walks two lists ordered by name and calls visit once for each name, with nil
// for the list that lacks it.
func merge[T any](a, b []T, name func(T) string, visit func(x, y *T)) {
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case j == len(b) || i < len(a) && name(a[i]) < name(b[j]):
			visit(&a[i], nil)
			i++
		case i == len(a) || name(b[j]) < name(a[i]):
			visit(nil, &b[j])
			j++
		default:
			visit(&a[i], &b[j])
			i, j = i+1, j+1
		}
	}
}

func diffFields(x, y any) []string {
	var fields []string
	vx, vy := reflect.ValueOf(x), reflect.ValueOf(y)
	for i := range vx.NumField() {
		p, q := vx.Field(i).Interface(), vy.Field(i).Interface()
		if !reflect.DeepEqual(p, q) {
			fields = append(fields, fmt.Sprintf("%s: %v -> %v", strings.ToLower(vx.Type().Field(i).Name), p, q))
		}
	}
	return fields
}
