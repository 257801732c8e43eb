// Package kerneltest helps tests to assemble a kernel.
package kerneltest
