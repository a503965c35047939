// Package flow identifies transport flows.
package flow
