package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestUsageExitCode guards against wrong usage that exits with the code of a
// failure, which scripts retry.
func TestUsageExitCode(t *testing.T) {
	for _, line := range [][]string{
		{"nosuch"}, {"--nosuch"}, {"status", "--nosuch"}, {"status", "extra"},
		{"plans", "nosuch"}, {"plans", "get", "--nosuch"}, {"plans", "get", "colours", "red"},
		{"serve"}, {"check"}, {"plans", "check"}, {"plans", "check", "no-such-file"}, {"plans", "check", "--format", "xml", "no-such-file"}, {"bench", "--hosts", "many"},
	} {
		t.Run(line[0], func(t *testing.T) {
			is.New(t).Equal(run(append([]string{"gypsumyard"}, line...)), exitUsage)
		})
	}
}
