// Package certs creates a certificate authority and instance certificates for
// tests, the demo and `guavaloom keys new --tls`. Keys are ECDSA P-256.
package certs
