package peer

import (
	"runtime/debug"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// recoverPanic turns a panic in the work for another host into an error after which
// the work may have been done, instead of the end of the process.
func (s *Service) recoverPanic(err *error) {
	r := recover()
	if r == nil {
		return
	}
	s.panics.Inc(1)
	s.log.WithFields(logrus.Fields{"panic": r, "stack": string(debug.Stack())}).Error("request of another host failed")
	*err = gypsumyard.Errorf(gypsumyard.ClassUnknown, "the request failed unexpectedly: %v", r)
}
