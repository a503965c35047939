// Package objectstore defines the object API of the product: the interface of a store of
// versioned objects, and an HTTP client for it. Instances serve it to each other;
// package platform implements it for the users' store.
//
// An object has a key, a version and a value of at most 1 MB. Changes are
// conditional on the version. Versions come from one counter of the store, so
// that a watch can request all changes after a version. The API is HTTP with JSON:
//
//	GET    /v1/objects/KEY                       -> object
//	GET    /v1/objects?prefix=P                  -> listing
//	GET    /v1/objects?prefix=P&after=V&wait=S   -> listing of changes after version V (long poll)
//	PUT    /v1/objects/KEY?version=V             -> {"version": N}; V=0 creates
//	DELETE /v1/objects/KEY?version=V             -> {"version": N}
//	GET    /v1/instances                         -> list of live and leaving instances
//
// Status 404 means that the object does not exist, 409 that the version did not match,
// 429 that the caller exceeded its rate limit, and 410 that the watch's version is too
// old or ahead of the store.
package objectstore
