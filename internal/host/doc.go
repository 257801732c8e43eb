// Package host creates the services of one host from its settings, and starts,
// drains and stops them.
package host
