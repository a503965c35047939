package invariant

import "fmt"

// Violation is the panic value raised by Check.
type Violation struct {
	// Name identifies the invariant, for example "steering.single_target".
	Name string
	// Details describes the state that broke it.
	Details string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Details)
}

// Check panics with a Violation when ok is false. The format and its
// arguments state the facts; they are only formatted on a violation.
func Check(ok bool, name, format string, args ...any) {
	if !ok {
		panic(Violation{Name: name, Details: fmt.Sprintf(format, args...)})
	}
}
