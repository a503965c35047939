// Package peer is the transport for control messages between instances.
//
// It uses connect-go over HTTP/2 with one unary procedure,
// /guavaloom.Peer/Exchange, which carries a batch of typed messages encoded as
// CBOR (RFC 8949). A message is a plain Go struct that its package registers
// under a small kind number; an envelope holds the number and the encoded
// struct. Delivery is at most once: messages of a failed exchange are dropped and
// counted, and the sending package retries them if they are still needed.
//
// Connections use mutual TLS 1.3. A certificate names its instance in a SAN of
// type URI, guavaloom://ZONE/INSTANCE, and must be signed by the configured CA.
// A client accepts only the certificate of the instance it connects to; a server
// accepts instances of the configured zones. Refusals are counted by reason. The
// TLS files are reloaded when they change, and the certificates of connections that
// were opened before are verified again. Plain text needs an explicit setting, and a
// second one for addresses other than loopback.
//
// All bytes written to control connections, TLS and HTTP included, are charged
// to the control budget of the instance. Urgent messages have a token bucket of
// their own and are never delayed by other classes; bundle messages come next, then
// background messages (transfers and health). Messages of class Data (request
// dispatch) use separate connections that are counted but not charged, because
// their volume depends on the client load.
//
// Kind numbers: 1-19 membership, 20-39 steering, 40-59 rollout and health,
// 60-79 dispatch and idempotency, 200-255 tests.
package peer
