// Package cli implements the operator's tool guavaloom.
//
// Every command prints text or, with --output json, one JSON value. Exit codes
// are 0 for done, 1 for refused or not in force, and 2 for bad usage or input.
package cli
