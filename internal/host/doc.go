// Package host assembles the services of one host from its settings.
package host
