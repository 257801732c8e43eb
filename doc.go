// Package gypsumyard holds the vocabulary of a database proxy with session
// consistency: the types that its parts exchange and the interfaces between
// them. Implementations live in the packages below internal.
//
// A request travels from a caller to an entry host, from there to the host
// that owns the database, and from the owner to one instance of the database.
package gypsumyard
