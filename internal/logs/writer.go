package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines is how many lines may wait for the output.
	queueLines = 2048
	// linesPerSecond is the rate of lines, and burstLines how many may come at
	// once. Lines beyond it are left out and counted.
	linesPerSecond = 200
	burstLines     = 400
	// reserved is the part of the burst that is kept for warnings and errors.
	reserved = burstLines / 4
	// reportEvery is the time between two lines about what was left out.
	reportEvery = time.Second
)

// A Writer is an output for a logger. It hands lines to one goroutine that
// writes them. A line that does not fit is left out and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// NewWriter returns a Writer to out. It must be closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:    out,
		lines:  make(chan []byte, queueLines),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		tokens: burstLines,
		at:     time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// allow takes a token for a line. Lines that are not urgent leave some tokens
// for those that are.
func (w *Writer) allow(urgent bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*now.Sub(w.at).Seconds())
	w.at = now
	floor := 1.0
	if !urgent {
		floor += reserved
	}
	if w.tokens < floor {
		w.dropped.Add(1)
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case p := <-w.lines:
			w.put(p)
		case <-t.C:
			w.report()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// put ignores errors: there is nowhere to tell of them.
func (w *Writer) put(p []byte) { _, _ = w.out.Write(p) }

func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.put(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", n))
	}
}

func (w *Writer) flush() {
	for {
		select {
		case p := <-w.lines:
			w.put(p)
		default:
			w.report()
			return
		}
	}
}

// Close writes the queued lines and ends the Writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}

// A formatter leaves out lines beyond the rate before they are encoded.
type formatter struct {
	inner  logrus.Formatter
	writer *Writer
}

// Format returns nothing for a line that is left out.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.writer.allow(e.Level <= logrus.WarnLevel) {
		return nil, nil
	}
	return f.inner.Format(e)
}

// New returns a logger of JSON lines to w at the given level.
func New(w *Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(formatter{&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, w})
	return l
}
