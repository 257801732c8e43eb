// Package promote decides when the primary of a database is dead, and makes
// another instance the primary without losing an acknowledged write.
package promote
