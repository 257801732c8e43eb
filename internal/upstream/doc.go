// Package upstream is the PostgreSQL protocol 3 client side of the proxy. It
// holds the control connections to the instances of a database, the connection
// pools, and the exchange of one request together with its status queries.
package upstream
