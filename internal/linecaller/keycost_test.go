package linecaller

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against keys in log lines or answers, and against callers without a valid key
// that fill the log.
func TestKeysAreNotLogged(t *testing.T) {
	is := is.New(t)
	var lines logBuffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetLevel(logrus.TraceLevel)
	f := newFixture(t, WithLogger(log))
	f.set(7, map[string]string{testKey: "mill"})
	for range 4 * denialLogBurst {
		c := f.dial("START orders secret-key")
		answer, err := c.in.ReadString('\n')
		is.NoErr(err)
		is.True(strings.HasPrefix(answer, "ERROR DENIED") && !strings.Contains(answer, "secret"))
	}
	c := f.dial("START orders " + testKey)
	c.expect("READY")
	c.send("QUERY a1 NONSENSE")
	c.expect("ERROR MALFORMED", "READY")
	f.set(8, nil)
	c.send("QUERY a2 READ a")
	c.expect("ERROR DENIED", "READY")
	c.expectEnd()
	text := lines.String()
	is.True(!strings.Contains(text, "secret-key") && !strings.Contains(text, testKey))
	n := strings.Count(text, "key not accepted")
	is.True(n >= denialLogBurst && n < 3*denialLogBurst)
}

// recordedPayload is the payload of "READ item" with the ID a1 on the route "orders", as
// hosts encoded it before the introduction of customers.
const recordedPayload = "\x02\x80\x88\xde\xbe\x01\x07primary\x02a1\x09READ item\x00\x00"

// Guards against requests of a deployment without customers that differ from those of
// earlier versions, whatever callers send as the second field.
func TestBytesWithoutCustomers(t *testing.T) {
	for _, strict := range []time.Duration{0, revokeTimeout} {
		is := is.New(t)
		f := newFixture(t, WithRevokeTimeout(strict))
		c := f.dial("START orders " + testKey)
		c.expect("READY I -\r\n")
		c.send("QUERY a1 READ item")
		c.expect("COMPLETE 7.1f\r\n", "READY I -\r\n")
		r := f.executor.last()
		is.Equal(string(r.Messages), recordedPayload)
		is.Equal(r.Customer, "orders")
		is.Equal(r.Login, "")
	}
}

// Guards against a check that allocates, or that takes long with many customers.
func TestCheckAllocatesNothing(t *testing.T) {
	f := newFixture(t, WithRevokeTimeout(revokeTimeout))
	f.set(7, map[string]string{testKey: "mill"})
	f.prove(0)
	h, now := gypsumyard.HashKey(testKey), f.server.clock.Now()
	n := testing.AllocsPerRun(1000, func() {
		if _, customer, _ := f.server.keys.check(h, "orders", now); customer != "mill" {
			t.Error("key not accepted")
		}
	})
	if n != 0 {
		t.Errorf("%v allocations", n)
	}
}

var errBenchmark = errors.New("unexpected payload")

// pairedBlock is how many statements one side of BenchmarkKeyCost runs at a time.
const pairedBlock = 500

// Measures the CPU time of a statement from its receipt to its answer, with the decoding
// and the second check of an owner but without its other work, on a deployment with 100,000
// customers. Reports its ratio to that of one without customers: blocks of statements
// of either side take turns, and the ratio is the median of those of adjacent blocks.
func BenchmarkKeyCost(b *testing.B) {
	many := map[string]string{testKey: "mill"}
	for n := range 100_000 {
		many["key-"+strconv.Itoa(n)] = "other"
	}
	start := func(keys map[string]string) *caller {
		f := newFixture(b, WithRevokeTimeout(time.Hour))
		f.prove(0)
		if keys != nil {
			f.set(7, keys)
		}
		f.executor.reply = func(r *gypsumyard.Request, p line.Payload) (string, gypsumyard.Result, error) {
			f.executor.requests = f.executor.requests[:0]
			if !p.Key.IsZero() {
				if customer, _ := f.lists.Desired().CustomerOf(p.Key); customer != p.KeyHolder {
					return "", gypsumyard.Result{}, errBenchmark
				}
			}
			if (p.KeyHolder == "mill") != (keys != nil) {
				return "", gypsumyard.Result{}, errBenchmark
			}
			return ok(r, p)
		}
		c := f.dial("START orders " + testKey)
		c.expect("READY")
		return c
	}
	block := func(c *caller) time.Duration {
		before := cpuTime()
		for range pairedBlock {
			c.send("QUERY a1 READ item")
			c.expect("COMPLETE", "READY")
		}
		return cpuTime() - before
	}
	without, with := start(nil), start(many)
	var ratios []float64
	var total [2]time.Duration
	for b.Loop() {
		w, k := block(without), block(with)
		ratios = append(ratios, float64(k)/float64(w))
		total[0], total[1] = total[0]+w, total[1]+k
	}
	slices.Sort(ratios)
	statements := float64(len(ratios) * pairedBlock)
	b.ReportMetric(ratios[len(ratios)/2], "ratio")
	b.ReportMetric(float64(total[0].Nanoseconds())/statements, "cpu-ns/without")
	b.ReportMetric(float64(total[1].Nanoseconds())/statements, "cpu-ns/with")
	b.ReportMetric(0, "ns/op") // A block, which says nothing.
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // It cannot fail with these arguments.
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a statement that runs for nobody: its transaction began with a key, and one
// desired state then removed the key and the route.
func TestRouteRemovedWithKey(t *testing.T) {
	f := newFixture(t)
	f.set(7, map[string]string{testKey: "mill"})
	c := f.dial("START orders " + testKey)
	c.expect("READY")
	c.send("QUERY a1 BEGIN")
	c.expect("COMPLETE", "READY T")
	d := f.keyed(8, nil)
	delete(d.Routes, "orders")
	f.lists.replaced.Store(d)
	before := f.sent()
	c.send("QUERY a2 WRITE a 1")
	c.expect("ERROR ABORTED")
	if n := f.sent() - before; n != 0 {
		t.Errorf("%d statements were sent", n)
	}
}
