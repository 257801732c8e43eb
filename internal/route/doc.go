// Package route chooses the instances that may serve a read.
package route
