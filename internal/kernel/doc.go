// Package kernel is a registry of services. Services find each other by name,
// start in the order of their dependencies and stop in the reverse order.
package kernel
