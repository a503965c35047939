// Package explain defines the JSON types with which an instance explains its
// decisions, and searches log files for the lines on one request or flow.
//
// The operator's tool sends a query to the admin address of a daemon: POST
// /explain/flow with a FlowQuery or POST /explain/request with a RequestQuery. The
// response has status 200 and a FlowAnswer or RequestAnswer, or status 400 and an Error.
package explain
