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
	// queueLines is the number of lines that can be queued for the output.
	queueLines = 2048
	// linesPerSecond and burstLines are the rate and the burst of the limit on
	// log lines. Lines beyond the limit are dropped and counted.
	linesPerSecond = 200
	burstLines     = 400
	// reservedTokens is the part of the burst that the lines of each importance leave to
	// those of the next one.
	reservedTokens = burstLines / 8
	// reportInterval is the interval at which the number of dropped lines is
	// logged.
	reportInterval = time.Second
)

// A Writer is the output of a logger. It queues lines for a goroutine that
// writes them. If the queue is full, lines are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}

	mu sync.Mutex
	// tokens is the number of tokens in the bucket of the rate limit at
	// refilledAt.
	tokens     float64
	refilledAt time.Time
}

// An importance orders lines by which are dropped first.
type importance int

// The importances of lines. A line about the state of the host comes before those about
// single requests, of which there may be thousands a second: the next line about the same
// state may come much later.
const (
	requestInfo importance = iota
	requestWarning
	stateInfo
	stateWarning

	mostImportant = stateWarning
)

// importanceOf returns the importance of a line. Lines about a request or a session name
// it in a field.
func importanceOf(e *logrus.Entry) importance {
	_, request := e.Data[fieldRequest]
	_, session := e.Data[fieldSession]
	warning := e.Level <= logrus.WarnLevel
	switch {
	case (request || session) && warning:
		return requestWarning
	case request || session:
		return requestInfo
	case warning:
		return stateWarning
	}
	return stateInfo
}

// NewWriter returns a Writer that writes to out. It must be closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:        out,
		lines:      make(chan []byte, queueLines),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		tokens:     burstLines,
		refilledAt: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
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

// allow takes a token for a line and reports whether there was one.
func (w *Writer) allow(i importance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if floor := 1 + reservedTokens*float64(mostImportant-i); w.tokens < floor {
		w.dropped.Add(1)
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case p := <-w.lines:
			w.writeLine(p)
		case <-t.C:
			w.report()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// writeLine writes a line to the output. It ignores errors, since there is no
// place to report them.
func (w *Writer) writeLine(p []byte) { _, _ = w.out.Write(p) }

// report logs the number of lines dropped since the last report.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", n))
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case p := <-w.lines:
			w.writeLine(p)
		default:
			w.report()
			return
		}
	}
}

// Close writes the queued lines and stops the Writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}

// A formatter drops lines beyond the rate limit before they are encoded.
type formatter struct {
	inner  logrus.Formatter
	writer *Writer
}

// Format returns nil for a line that is dropped.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.writer.allow(importanceOf(e)) {
		return nil, nil
	}
	return f.inner.Format(e)
}

// New returns a logger that writes JSON lines of at least the given level to w.
func New(w *Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(formatter{&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, w})
	return l
}
