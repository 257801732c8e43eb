// Package listcheck checks the lists of plans, customers and databases before an operator
// puts their entries, and compares them with others. It finds what the check of a single
// entry cannot: entries that refer to missing ones or that nothing refers to, and shares
// that cannot all be guaranteed. The package is pure code.
package listcheck
