// Package allowance limits the flows that a cold target gets. Each instance computes its share
// of the target's rate without messages, and uses it within a sliding second. The package is
// pure: the time is an argument.
package allowance
