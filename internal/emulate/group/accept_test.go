package group

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// failingListener returns each of errs in turn from Accept.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against an instance that stops accepting connections after one accept
// has failed for lack of file descriptors.
func TestAcceptGoesOn(t *testing.T) {
	is := is.New(t)
	l := &failingListener{errs: []error{syscall.EMFILE, net.ErrClosed}}
	(&Instance{}).accept(l)
	is.Equal(len(l.errs), 0)
}
