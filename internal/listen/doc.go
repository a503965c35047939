// Package listen bounds the connections that a listener's clients can hold open.
package listen
