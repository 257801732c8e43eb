// Package upstream speaks PostgreSQL protocol 3 towards the instances of a
// database: control connections, connection pools and the exchange of one
// request with its status checks.
package upstream
