// Package targetreport encodes the reports about targets that instances of a data centre exchange,
// chooses what to report and to whom, and merges the reports received. The time and the random
// source are arguments; the package opens no socket, starts no goroutine and reads no clock.
package targetreport
