// Command guavaloom is the operator's tool.
package main
