// Package scheduler joins admission and dispatch of one service: dispatch asks for a
// target, admission gives one or refuses, and the end of an attempt frees the slot
// that it held.
//
// The core makes no calls and starts no goroutines. Its owner performs attempts and
// reports how they end; the request server and package simulation both do.
package scheduler
