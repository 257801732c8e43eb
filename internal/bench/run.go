package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/jackc/pgx/v5"
)

// Options configure one run.
type Options struct {
	Deployment string
	Hosts      int
	Duration   time.Duration
	// Rate multiplies all arrival rates.
	Rate     float64
	Seed     uint64
	Scenario Scenario
	// Baseline replaces the hosts' dispatch with a naive proxy.
	Baseline bool
	// ReplicationLag overrides the deployment's lag if it is above 0.
	ReplicationLag time.Duration
	// RandomFaults generates the scenario from the seed.
	RandomFaults bool
	// Boost multiplies the arrival rate of single kinds, by name.
	Boost map[string]float64
	// Progress is called with progress messages. It may be nil.
	Progress func(format string, args ...any)
}

const (
	progressInterval = 5 * time.Second
	// primaryTimeout limits the wait for a primary at the end.
	primaryTimeout = 20 * time.Second
	// warmUp is the time from the start of the hosts to the first request. It
	// covers the takeover period, in which customers get half of their rate.
	warmUp = 4 * time.Second
	// journalEntries is how many statements the journal retains for the checks.
	journalEntries = 2_000_000
	// burst is the slot time of one slot that a customer may use beyond its
	// limit in any window: one second's worth, and one long request that began
	// within it.
	burst = time.Second
)

// Run runs the workload and returns the measurements.
func Run(ctx context.Context, o Options) (result Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("bench %s: %w", o.Deployment, err)
		}
	}()
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	profile, err := ProfileByName(o.Deployment)
	if err != nil {
		return result, err
	}
	for i := range profile.Kinds {
		if factor, ok := o.Boost[profile.Kinds[i].Name]; ok {
			profile.Kinds[i].Rate *= factor
		}
	}
	d, err := site.ByName(o.Deployment)
	if err != nil {
		return result, err
	}
	if o.ReplicationLag > 0 {
		d.ReplicationLag = o.ReplicationLag
	}
	if o.RandomFaults {
		o.Scenario = RandomScenario(d, o.Hosts, o.Duration, o.Seed)
	}
	addMarks(&d)
	s, err := site.Start(ctx, d, siteOptions(o)...)
	if err != nil {
		return result, err
	}
	defer func() { _ = s.Close(context.Background()) }()
	r := &run{options: o, profile: &profile, deployment: d, site: s}
	if err := r.prepare(ctx); err != nil {
		return result, err
	}
	r.generateLoad(ctx)
	return r.buildResult(ctx)
}

// addMarks adds the table marks, which look-ups read and which holds the highest
// sequence number of each session.
func addMarks(d *site.Deployment) {
	for i := range d.Databases {
		d.Databases[i].Schema = append(d.Databases[i].Schema, "CREATE TABLE IF NOT EXISTS marks (session text PRIMARY KEY, sequence int8)")
	}
}

func siteOptions(o Options) []site.Option {
	options := []site.Option{
		site.WithHosts(o.Hosts),
		site.WithJournal(journalEntries),
		site.WithLog(config.Log{Level: "error", Format: "text"}),
	}
	if o.Baseline {
		options = append(options, site.WithHostOptions(baselineOptions(o.Hosts)...))
	}
	return options
}

// A run is one measurement in progress.
type run struct {
	options    Options
	profile    *Profile
	deployment site.Deployment
	site       *site.Site
	record     *recorder
	clients    [][]*client
	events     []AppliedEvent
	mu         sync.Mutex
	usage      usage
}

// prepare writes the rows that clients read and opens the sessions.
func (r *run) prepare(ctx context.Context) error {
	names := map[string][]string{}
	for i := range r.profile.Kinds {
		k := &r.profile.Kinds[i]
		var clients []*client
		for n := range k.Sessions {
			name := fmt.Sprintf("%s-%s-%d", k.Name, k.Database, n)
			seed := r.options.Seed*1_000_003 + uint64(i)*1_009 + uint64(n)
			clients = append(clients, &client{site: r.site, kind: k, name: name, random: rand.New(rand.NewPCG(seed, seed))})
			names[k.Database] = append(names[k.Database], name)
		}
		r.clients = append(r.clients, clients)
	}
	for n := range lookupRows {
		for database := range names {
			names[database] = append(names[database], fmt.Sprintf("row-%d", n))
		}
	}
	for database, list := range names {
		if err := r.writeMarks(ctx, database, list); err != nil {
			return err
		}
	}
	r.options.Progress("%s: rows written, sessions connect", r.deployment.Name)
	return r.connectAll(ctx)
}

func (r *run) writeMarks(ctx context.Context, database string, names []string) (err error) {
	primary := r.site.Environment.Group(database).Primary().Upstream()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://gypsumyard@%s/%s", primary.Addr, database))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	values := make([]string, len(names))
	for i, n := range names {
		values[i] = fmt.Sprintf("('%s', 0)", n)
	}
	_, err = conn.Exec(ctx, "INSERT INTO marks VALUES "+strings.Join(values, ", "))
	return err
}

// connectAll opens all sessions, with limited concurrency, and waits for the
// warm-up.
func (r *run) connectAll(ctx context.Context) error {
	const parallelConnects = 32
	var tasks sync.WaitGroup
	slots := make(chan struct{}, parallelConnects)
	var first error
	for _, clients := range r.clients {
		for _, c := range clients {
			slots <- struct{}{}
			tasks.Go(func() {
				defer func() { <-slots }()
				if err := c.connect(ctx); err != nil {
					r.mu.Lock()
					defer r.mu.Unlock()
					first = err
				}
			})
		}
	}
	tasks.Wait()
	if first != nil {
		return fmt.Errorf("connect sessions: %w", first)
	}
	time.Sleep(warmUp)
	return nil
}

// generateLoad generates the load while the scenario runs.
func (r *run) generateLoad(ctx context.Context) {
	start := time.Now()
	r.usage = readUsage()
	r.record = newRecorder(r.profile, start, r.options.Duration)
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration+requestTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range r.profile.Kinds {
		k := &r.profile.Kinds[i]
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		times := r.profile.arrivals(k, r.options.Rate, r.options.Duration, random)
		tasks.Go(func() { r.generateKind(ctx, r.clients[i], start, times) })
	}
	tasks.Go(func() {
		j := &injector{site: r.site, stopped: map[string]config.Settings{}, report: r.recordEvent}
		j.run(ctx, start, r.options.Scenario.Events)
	})
	stopProgress := make(chan struct{})
	go r.reportProgress(start, stopProgress)
	tasks.Wait()
	close(stopProgress)
	r.usage = readUsage().since(r.usage)
}

func (r *run) recordEvent(at time.Duration, e Event, err error) {
	a := AppliedEvent{At: at, Kind: e.Kind, Target: e.Target}
	if err != nil {
		a.Error = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, a)
	r.options.Progress("%s: %v %s %s %s", r.deployment.Name, at.Round(time.Millisecond), e.Kind, e.Target, a.Error)
}

// generateKind passes arrivals to the sessions of a kind. An arrival that finds
// no free session is queued.
func (r *run) generateKind(ctx context.Context, clients []*client, start time.Time, times []time.Duration) {
	arrivals := make(chan time.Time, len(times))
	var sessions sync.WaitGroup
	for _, c := range clients {
		c.record = r.record
		sessions.Go(func() {
			for at := range arrivals {
				c.run(at)
			}
		})
	}
	defer sessions.Wait()
	defer close(arrivals)
	for _, at := range times {
		due := start.Add(at)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
			arrivals <- due
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (r *run) reportProgress(start time.Time, stop <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			done, failed := r.record.totals()
			r.options.Progress("%s: %v of %v, %d requests done, %d not acknowledged",
				r.deployment.Name, time.Since(start).Round(time.Second), r.options.Duration, done, failed)
		case <-stop:
			return
		}
	}
}

func (r *recorder) totals() (done, failed int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.kinds {
		for o, n := range k.outcomes {
			done += n
			if o != history.Acknowledged {
				failed += n
			}
		}
	}
	return done, failed
}
