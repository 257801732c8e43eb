package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/dispatch"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// leavingMembers is the view of a host that is leaving. It knows a live host from the
// given call of Owner on, or never if that is zero.
type leavingMembers struct {
	stubService
	ownerFrom int
	calls     int
}

func (m *leavingMembers) Self() gypsumyard.Host {
	return gypsumyard.Host{Name: "self", State: gypsumyard.HostLeaving}
}

func (m *leavingMembers) Hosts() []gypsumyard.Host { return []gypsumyard.Host{m.Self()} }
func (m *leavingMembers) Changes() <-chan struct{} { return nil }

func (m *leavingMembers) Owner(string) (gypsumyard.Host, bool) {
	m.calls++
	return gypsumyard.Host{Name: "a"}, m.ownerFrom > 0 && m.calls >= m.ownerFrom
}

// Guards against requests that wait until their deadline or the end of the drain for an
// owner, on a host that is leaving together with all others, and against requests that
// such a host rejects although another one can run them.
func TestNoOwnerWhileAllHostsLeave(t *testing.T) {
	read := gypsumyard.Request{Database: "d", Class: gypsumyard.StatementRead, Repeatable: true}
	write := gypsumyard.Request{Database: "d", Class: gypsumyard.StatementWrite}
	tests := []struct {
		name      string
		request   gypsumyard.Request
		ownerFrom int
		outcomes  []error
		class     gypsumyard.ErrorClass
	}{
		{"read", read, 0, []error{nil}, gypsumyard.ClassNotRun},
		{"write", write, 0, []error{nil}, gypsumyard.ClassNotRun},
		{"other host", write, 1, []error{nil}, ""},
		{"other host refuses first", write, 1, []error{gypsumyard.Errorf(gypsumyard.ClassNotOwner, "scripted"), nil}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := &leavingMembers{stubService: stubService{"members", make(chan struct{})}, ownerFrom: tt.ownerFrom}
			f := &fakePeers{stubService: stubService{"peer", make(chan struct{})}, outcomes: tt.outcomes}
			log := logrus.New()
			log.SetOutput(io.Discard)
			s := dispatch.New(dispatch.WithLogger(log))
			k, err := kernel.New(m, f, s)
			is.NoErr(err)
			is.NoErr(k.Start(t.Context()))
			defer func() { is.NoErr(k.Stop(context.Background())) }()
			r := tt.request
			r.Deadline = time.Now().Add(5 * time.Second)
			began := time.Now()
			var sink bytes.Buffer
			_, err = s.Execute(t.Context(), &r, &sink)
			is.True(time.Since(began) < time.Second)
			if tt.class == "" {
				is.NoErr(err)
				return
			}
			is.Equal(gypsumyard.ClassOf(err), tt.class)
			var e *gypsumyard.Error
			is.True(errors.As(err, &e) && e.RetryAfter > 0)
		})
	}
}
