// Package tcp opens TCP connections that detect an unresponsive peer.
package tcp
