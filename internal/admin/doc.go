// Package admin serves the administrative HTTP interface of an instance:
// /metrics (Prometheus text format), /healthz (200 while the process runs), /readyz
// (200 if the instance takes packets, else 503 with the reasons), and readiness checks
// and JSON endpoints that other packages add. The interface is read-only.
package admin
