// Package rendezvous ranks candidates by highest random weight hashing
// (Thaler and Ravishankar, 1998): all processes with the same candidates
// compute the same ranking, and a candidate that leaves moves only its own keys.
package rendezvous
