package bench

import (
	"errors"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// maxLatency is the highest latency that histograms can represent.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of a histogram.
	latencyDigits = 3
)

// kindRecord holds the results of one kind of request.
type kindRecord struct {
	all, peak *hdrhistogram.Histogram
	outcomes  map[history.Outcome]int64
	peakOK    int64
	peakTotal int64
	errors    map[string]int64
}

// A recorder collects the results of all clients. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	start     time.Time
	profile   *Profile
	kinds     map[string]*kindRecord
	histories map[string]*history.History
	// acknowledged holds the times of acknowledged writes of each database.
	acknowledged map[string][]time.Duration
	// seconds holds the latencies of successful requests by second of arrival.
	seconds []*hdrhistogram.Histogram
}

func newRecorder(p *Profile, start time.Time, duration time.Duration) *recorder {
	r := &recorder{
		start: start, profile: p, kinds: map[string]*kindRecord{},
		histories: map[string]*history.History{}, acknowledged: map[string][]time.Duration{},
	}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		if r.kinds[k.Name] == nil {
			r.kinds[k.Name] = &kindRecord{
				all: newHistogram(), peak: newHistogram(),
				outcomes: map[history.Outcome]int64{}, errors: map[string]int64{},
			}
		}
		r.histories[k.Database] = &history.History{Rows: map[string]int{}}
	}
	for range int(duration/time.Second) + 1 {
		r.seconds = append(r.seconds, newHistogram())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

// request records the end of a request that arrived at the given time.
func (r *recorder) request(k *Kind, arrived time.Time, o history.Outcome, err error) {
	latency := min(time.Since(arrived), maxLatency).Microseconds()
	at := arrived.Sub(r.start)
	inPeak := r.profile.inPeak(at)
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.kinds[k.Name]
	rec.outcomes[o]++
	if inPeak {
		rec.peakTotal++
	}
	if err != nil {
		rec.errors[errorName(err)]++
		return
	}
	_ = rec.all.RecordValue(latency)
	if inPeak {
		rec.peakOK++
		_ = rec.peak.RecordValue(latency)
	}
	if second := int(at / time.Second); second < len(r.seconds) && k.Operation != OperationScan {
		_ = r.seconds[second].RecordValue(latency)
	}
}

// numberPattern matches the parts in which messages of the same error differ.
var numberPattern = regexp.MustCompile(`[0-9][0-9.]*(ns|µs|ms|s)?`)

// errorName returns a short name of an error for counting.
func errorName(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code + " " + numberPattern.ReplaceAllString(e.Message, "N")
	}
	var c *pgconn.ConnectError
	if errors.As(err, &c) {
		return "connect"
	}
	return "connection"
}

func (r *recorder) write(k *Kind, w history.Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histories[k.Database]
	h.Writes = append(h.Writes, w)
	if w.Outcome == history.Acknowledged {
		r.acknowledged[k.Database] = append(r.acknowledged[k.Database], w.End.Sub(r.start))
	}
}

func (r *recorder) read(database string, v history.Read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories[database].Reads = append(r.histories[database].Reads, v)
}

func (r *recorder) answer(database string, v history.Answer) {
	if v.Got == v.Want && v.GotRows == v.WantRows {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories[database].Answers = append(r.histories[database].Answers, v)
}

// longestGap returns the longest time without an acknowledged write in a
// database from the given time on.
func (r *recorder) longestGap(database string, from, to time.Duration) time.Duration {
	r.mu.Lock()
	times := slices.Clone(r.acknowledged[database])
	r.mu.Unlock()
	slices.Sort(times)
	last, longest := from, time.Duration(0)
	for _, t := range times {
		if t < from || t > to {
			continue
		}
		longest = max(longest, t-last)
		last = t
	}
	return max(longest, to-last)
}
