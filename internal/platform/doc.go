// Package platform is a client of the platform's service, which provides an
// object store and the list of hosts. The client limits the rate of the host's
// calls, coalesces concurrent reads of the same object or list and bounds every
// wait.
package platform
