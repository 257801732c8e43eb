//go:build review

// Command standin runs one case of the review: it starts the hosts as processes and
// stand-ins for callers, instances and the platform, and judges one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each returns the breaks of the rule that it has seen.
var scenarios = map[string]func(program []string, r *record, trouble bool) (breaks []string, err error){
	"roll":   runRoll,
	"memory": runMemory,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) < 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD COMMAND...")
		return exitNotRun
	}
	f, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	r := &record{file: f, began: time.Now()}
	breaks, err := scenarios[args[0]](args[2:], r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.logf("the case could not run: %v", err)
		return exitNotRun
	}
	for _, b := range breaks {
		r.logf("BROKEN: %s", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	r.logf("the rule held")
	return exitHeld
}
