// Package store emulates the platform's service: an HTTP/JSON object API with
// versions, conditional updates and watches, and a list of hosts that shows
// changes after a lag.
//
//	GET    /objects/NAME                       one object, or 404
//	PUT    /objects/NAME?expected=V            new version, or 409; 413 over 1 MB
//	DELETE /objects/NAME?expected=V            new version, or 409
//	GET    /objects?prefix=P                   objects and the store's version
//	GET    /watch?prefix=P&after=V&timeout=D   changes after V, waits for one
//	GET    /hosts                              the list of hosts
//
// Calls are rejected with 429 (rate limit) and 503 (outage).
package store
