// Package kernel is a service registry with lifecycle management. Services look
// each other up by name, start in the order of their dependencies and stop in the
// reverse order.
package kernel
