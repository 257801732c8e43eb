package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// A blockingWriter blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against logging that blocks while the output of the log is blocked.
func TestStuckReaderStopsNobody(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{release: make(chan struct{})}
	w := NewWriter(out)
	log := New(w, logrus.InfoLevel)
	began := time.Now()
	for range 5 * queueLines {
		log.Warn("instance lost")
	}
	is.True(time.Since(began) < time.Second)
	close(out.release)
	w.Close()
	is.True(strings.Contains(out.out.String(), "log lines left out"))
}

// Guards against dropping warnings because info lines have used up the rate
// limit.
func TestWarningsGoFirst(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out)
	log := New(w, logrus.InfoLevel)
	for range 2 * burstLines {
		log.Info("statement has run")
	}
	log.Warn("instance lost")
	w.Close()
	is.True(strings.Contains(out.out.String(), "instance lost"))
	is.True(strings.Count(out.out.String(), "statement has run") < 2*burstLines)
}

// Guards against lines about the state of a host that are dropped because lines about
// single requests have used up the rate limit: an operator saw a wait that had ended, and
// accepted a loss that did not end the present one (soak seed 9203).
func TestStateGoesBeforeRequests(t *testing.T) {
	for _, field := range []string{"request", "session"} {
		for _, level := range []logrus.Level{logrus.InfoLevel, logrus.WarnLevel} {
			t.Run(field+" "+level.String(), func(t *testing.T) {
				is := is.New(t)
				out := &blockingWriter{release: make(chan struct{})}
				close(out.release)
				w := NewWriter(out)
				log := New(w, logrus.InfoLevel)
				for range 2 * burstLines {
					log.WithField(field, "r1").Log(level, "statement refused")
				}
				for range 10 {
					log.Info("election waits no longer")
				}
				w.Close()
				is.Equal(strings.Count(out.out.String(), "election waits no longer"), 10)
				is.True(strings.Count(out.out.String(), "statement refused") < 2*burstLines)
			})
		}
	}
}

// Guards against an explanation that includes lines of other requests or
// groups, or lacks lines about the database group of the request.
func TestExplain(t *testing.T) {
	is := is.New(t)
	line := func(at, host, rest string) string {
		return `{"time":"2026-12-04T10:00:` + at + `Z","host":"` + host + `",` + rest + "}\n"
	}
	a := line("01.0", "a", `"msg":"statement refused","request":"r1","database":"g","code":"INDOUBT"`) +
		line("01.5", "a", `"msg":"statement refused","request":"r2","database":"g"`) + "not a log line\n"
	b := line("00.5", "b", `"msg":"instance lost","database":"g","instance":"i-1"`) +
		line("00.6", "b", `"msg":"instance lost","database":"other"`) +
		line("09.0", "b", `"msg":"election begins","database":"g"`)
	var out bytes.Buffer
	is.NoErr(Explain(&out, "r1", strings.NewReader(a), strings.NewReader("prefix "+b)))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "instance lost"))
	is.True(strings.HasPrefix(lines[1], "*"))
	is.True(Explain(&out, "r3", strings.NewReader(a)) != nil)
}
