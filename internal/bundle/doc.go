// Package bundle reads, checks, signs, compares and splits bundles.
//
// A bundle is the complete description of services and targets that an operator
// rolls out. It is written as an INI file and checked as a whole:
//
//	[bundle]
//	name = kandy                    ; installation
//	epoch = 1                       ; a higher epoch takes precedence over any revision
//	revision = 7
//	zones = lk-central-a, lk-central-b
//
//	[service booking]
//	kind = request                  ; or flow
//	host = booking.kandy.example    ; request: host or address
//	address = 192.0.2.10:443        ; flow: required
//	protocol = tcp                  ; flow: tcp (default) or udp
//	idle_timeout = 5m               ; flow
//	quiet_period = 30s              ; udp: required
//	cold_start = 10s
//	deadline = 10s                  ; request
//	max_body = 1048576              ; request, bytes
//	health_path = /healthz          ; default: TCP connect
//
//	[route booking-place]           ; of a request service
//	service = booking
//	method = POST                   ; default: all
//	prefix = /bookings
//	class = urgent                  ; urgent, normal (default), bulk
//	idempotent = false
//
//	[target booking-01]
//	service = booking
//	address = 10.20.1.11:8080
//	zone = lk-central-a
//	slots = 3                       ; request: required
//	drain = false
//
// For storage and transfer it is encoded as content-addressed parts under a
// manifest, and its digest is the root of that hash tree: comments, order and
// spacing of the file don't change it. See docs/decisions/rollout.md.
package bundle
