// Package e2e tests the programs guavaloomd and guavaloom as separate processes on
// loopback addresses. The platform stand-in, the targets, the callers and the
// source of packets run in the test process, which judges by their counts; time
// limits only end tests that hang.
package e2e
