package linegroup

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
)

// Guards against a commit that waits for a replica although its client has left, keeps
// one of the instance's connections and is acknowledged later to nobody.
func TestWaitingCommitSeesItsClientLeave(t *testing.T) {
	is := is.New(t)
	g, err := New("g", 2)
	is.NoErr(err)
	defer g.Close()
	primary, replica := g.Instances()[0], g.Instances()[1]
	replica.SetIsolated(true)
	n, err := net.Dial("tcp", primary.Addr().String())
	is.NoErr(err)
	defer n.Close()
	_, err = fmt.Fprint(n, "START g t\r\n")
	is.NoErr(err)
	m, err := line.NewReader(n, 4096).Read()
	is.NoErr(err)
	is.Equal(m.Word, line.WordReady)
	_, err = fmt.Fprint(n, "QUERY a1 WRITE item data\r\n")
	is.NoErr(err)
	eventually(t, "the commit waits", func() bool { return len(primary.Log()) == 1 })
	is.NoErr(n.Close())
	eventually(t, "the session has ended", func() (ended bool) {
		primary.update(func() { ended = len(primary.sessions) == 0 })
		return ended
	})
	replica.SetIsolated(false)
	is.Equal(len(replica.Log()), 1)
	is.Equal(len(g.Acknowledged()), 0)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 3 s: %s", what)
		}
	}
}
