// Package statecheck checks a desired state before the operator sends it, and compares it
// with the one in force. It finds what the decoder accepts but cannot work as intended:
// entries that can never match and limits that contradict each other. The package is pure
// code and does not know the form in which desired states are written.
//
// Whether the instances of a group can serve the rates of the customers is not checked: the
// desired state holds neither the slots of instances nor the run times of statements.
package statecheck
