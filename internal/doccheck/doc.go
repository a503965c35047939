// Package doccheck checks that docs/OPERATIONS.md explains every setting, metric
// and reason that the code declares. It has tests only.
package doccheck
