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
// A store that was restored from an older copy goes back to the copy's versions and gives the
// later ones out again. The header Store-Epoch of each response counts the restores; calls
// with a version also carry its epoch, as epoch=E. A version of another epoch does not match.
// In the product, a Version consists of both.
//
// Status 404 means that the object does not exist, 409 that the version did not match,
// 429 that the caller exceeded its rate limit, and 410 that the watch's version is too
// old, ahead of the store, or of another epoch.
package objectstore
