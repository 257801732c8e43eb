// Package group emulates a database group: instances that speak PostgreSQL
// protocol 3 on loopback, replicate one log, and can be made to fail.
package group
