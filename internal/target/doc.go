// Package target describes the backend servers that serve a service.
package target
