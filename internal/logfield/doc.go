// Package logfield declares the names of log fields, so that all packages use the
// same ones, and creates the logger. Each event is one line.
package logfield
