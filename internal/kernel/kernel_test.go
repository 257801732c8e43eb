package kernel_test

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/matryer/is"
)

type service struct {
	name  string
	needs []string
	log   *[]string
	fail  error
	done  chan struct{}
}

func (s *service) Name() string    { return s.name }
func (s *service) Needs() []string { return s.needs }

func (s *service) Start(context.Context, *kernel.Kernel) error {
	*s.log = append(*s.log, "start "+s.name)
	return s.fail
}

func (s *service) Stop(context.Context) error {
	*s.log = append(*s.log, "stop "+s.name)
	close(s.done)
	return nil
}

func (s *service) Done() <-chan struct{} { return s.done }

func build(log *[]string, fail error) []kernel.Service {
	return []kernel.Service{
		&service{"caller", []string{"lists"}, log, fail, make(chan struct{})},
		&service{"lists", []string{"store"}, log, nil, make(chan struct{})},
		&service{"store", nil, log, nil, make(chan struct{})},
	}
}

// Guards against a service that starts before its dependencies, or stops after
// them.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := kernel.New(build(&log, nil)...)
	is.NoErr(err)
	is.NoErr(k.Start(t.Context()))
	is.NoErr(k.Stop(t.Context()))
	is.Equal(log, []string{"start store", "start lists", "start caller", "stop caller", "stop lists", "stop store"})
}

// Guards against services that are left running after the start of another one
// has failed.
func TestFailedStartStopsOthers(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := kernel.New(build(&log, errors.New("no port"))...)
	is.NoErr(err)
	is.True(k.Start(t.Context()) != nil)
	is.True(slices.Contains(log, "stop store"))
	is.True(!slices.Contains(log, "stop caller"))
}

// Guards against infinite recursion on circular dependencies.
func TestCycle(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := kernel.New(&service{"a", []string{"b"}, &log, nil, nil}, &service{"b", []string{"a"}, &log, nil, nil})
	is.NoErr(err)
	is.True(k.Start(t.Context()) != nil)
}
