// Command guavaloomd runs one instance of the load balancer.
package main
