// Package objectstore is the object API of the product: the interface of a store of
// objects with versions, and a client of it over HTTP. Instances serve each other with
// it; package platform has the implementation for the users' store.
//
// An object has a key, a version and a value of at most 1 MB. Changes are
// conditional on the version. Versions come from one counter of the store, so
// that a watch can ask for everything after a version. The API is HTTP with JSON:
//
//	GET    /v1/objects/KEY                       -> object
//	GET    /v1/objects?prefix=P                  -> listing
//	GET    /v1/objects?prefix=P&after=V&wait=S   -> listing of changes after version V (long poll)
//	PUT    /v1/objects/KEY?version=V             -> {"version": N}; V=0 creates
//	DELETE /v1/objects/KEY?version=V             -> {"version": N}
//	GET    /v1/instances                         -> list of live and leaving instances
//
// Status 404 means no such object, 409 that the version did not match, 429 that
// the caller is over its rate, and 410 that the watch's version is too old or
// ahead of the store.
package objectstore
