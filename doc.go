// Package gypsumyard defines the types and interfaces that the components of the
// database proxy share. The proxy guarantees session consistency (read your
// writes). The packages below internal implement the interfaces.
//
// A caller (a client of the proxy) sends a request to any host, its entry host.
// The entry host forwards the request to the host that owns the database, and
// the owner runs it on one instance of the database.
package gypsumyard
