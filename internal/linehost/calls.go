package linehost

import (
	"github.com/gypsumyard/gypsumyard"
	"github.com/uber-go/tally/v4"
)

// countCalls returns a function that counts the calls to the platform by kind and
// reason.
func countCalls(m tally.Scope) func(gypsumyard.CallKind, gypsumyard.CallReason) {
	return func(k gypsumyard.CallKind, r gypsumyard.CallReason) {
		m.Tagged(map[string]string{"kind": string(k), "reason": string(r)}).Counter("platform_calls").Inc(1)
	}
}
