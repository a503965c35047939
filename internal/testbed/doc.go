// Package testbed runs instances of one zone with real sockets on loopback, next to a
// platform stand-in, small targets and a source of packets. The demonstration and
// the tests of package daemon use it.
package testbed
