package invariant

import "fmt"

// Violation is the panic value raised by Check.
type Violation struct {
	// Name identifies the invariant, for example "steering.single_target".
	Name string
	// Details describes the state that violates the invariant.
	Details string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Details)
}

// Check panics with a Violation if ok is false. The format and its arguments describe the
// state; they are formatted only on a violation.
func Check(ok bool, name, format string, args ...any) {
	if !ok {
		panic(Violation{Name: name, Details: fmt.Sprintf(format, args...)})
	}
}
