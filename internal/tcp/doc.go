// Package tcp opens connections that notice a silent peer.
package tcp
