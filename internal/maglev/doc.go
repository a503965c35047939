// Package maglev builds slot maps: tables that assign every slot of a service
// to a target in proportion to the targets' weights. A change of one target moves
// few slots of the others.
//
// The algorithm is the table population of "Maglev: A Fast and Reliable Software
// Network Load Balancer" (Eisenbud et al., NSDI 2016, section 3.4), extended by
// weights. A map is a pure function of its input, so all instances build the same
// map.
package maglev
