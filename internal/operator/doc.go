// Package operator implements the operator's actions on the platform's store: rolling
// out a bundle, following it until it is in force, and reading the status of all zones.
package operator
