// Package kerneltest provides a stub service for tests that need a kernel.
package kerneltest
