// Package listen limits the number of open connections of a TCP listener, in total and
// per client address.
package listen
