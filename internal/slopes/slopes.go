package slopes

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// defaultRepeats is how often each size is measured.
const defaultRepeats = 3

// A Measure is one quantity that an experiment reports.
type Measure string

// The measures, with their units.
const (
	CPU        Measure = "cpu us/s"
	CPUOnce    Measure = "cpu us"
	Heap       Measure = "heap B"
	Stack      Measure = "stack B"
	HeapUsed   Measure = "heap after use B"
	StackUsed  Measure = "stack after use B"
	Goroutines Measure = "goroutines"
	Allocated  Measure = "allocated B/s"
	Wire       Measure = "wire B/s"
	WireOnce   Measure = "wire B"
	Messages   Measure = "messages/s"
	LoginCPU   Measure = "cpu us to open"
)

// A Sample holds the totals of one run, less the cost of fakes and clients.
type Sample map[Measure]float64

// An Experiment measures one kind of item.
type Experiment struct {
	Name string
	// Item is the unit of the sizes.
	Item string
	// About describes what is run and which costs are subtracted.
	About string
	Sizes []int
	run   func(ctx context.Context, e *env, size int) (Sample, error)
}

// env holds what is common to all experiments.
type env struct {
	seed uint64
}

// A Result holds the results of one experiment.
type Result struct {
	Name  string           `json:"name"`
	Item  string           `json:"item"`
	About string           `json:"about"`
	Sizes []int            `json:"sizes"`
	Lines map[Measure]Line `json:"lines"`
	// Runs holds the samples by repetition and size.
	Runs [][]Sample `json:"runs"`
	// Took is the wall time of the experiment.
	Took time.Duration `json:"took"`
}

// Options configure what Run measures.
type Options struct {
	// Only is the names of the experiments to run. Empty means all.
	Only    []string
	Repeats int
	Seed    uint64
	// Progress is called after each run. It may be nil.
	Progress func(format string, args ...any)
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return slices.Concat(sessionExperiments(), databaseExperiments(), memberExperiments(),
		peerExperiments(), listExperiments(), hostExperiments(), pathExperiments())
}

// Run runs the experiments sequentially.
func Run(ctx context.Context, o Options) (results []Result, err error) {
	o.Repeats = cmp.Or(o.Repeats, defaultRepeats)
	chosen, err := choose(o.Only)
	if err != nil {
		return nil, err
	}
	for _, x := range chosen {
		r, err := x.measure(ctx, o)
		if err != nil {
			return results, fmt.Errorf("slopes: %s: %w", x.Name, err)
		}
		results = append(results, r)
	}
	return results, nil
}

func choose(only []string) (chosen []Experiment, err error) {
	all := Experiments()
	if len(only) == 0 {
		return all, nil
	}
	for _, name := range only {
		i := slices.IndexFunc(all, func(x Experiment) bool { return x.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("slopes: no experiment %q", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

func (x Experiment) measure(ctx context.Context, o Options) (r Result, err error) {
	r = Result{Name: x.Name, Item: x.Item, About: x.About, Sizes: x.Sizes, Lines: map[Measure]Line{}}
	begin := time.Now()
	for n := range o.Repeats {
		var row []Sample
		for _, size := range x.Sizes {
			s, err := x.run(ctx, &env{seed: o.Seed + uint64(n)}, size)
			if err != nil {
				return r, fmt.Errorf("size %d: %w", size, err)
			}
			if o.Progress != nil {
				o.Progress("%s: run %d of %d, %d %s: %v", x.Name, n+1, o.Repeats, size, x.Item, s)
			}
			row = append(row, s)
		}
		r.Runs = append(r.Runs, row)
	}
	for m := range r.Runs[0][0] {
		r.Lines[m] = fit(x.Sizes, column(r.Runs, m))
	}
	r.Took = time.Since(begin)
	return r, nil
}

func column(runs [][]Sample, m Measure) (rows [][]float64) {
	for _, run := range runs {
		var row []float64
		for _, s := range run {
			row = append(row, s[m])
		}
		rows = append(rows, row)
	}
	return rows
}

// WriteTable writes the slopes as a table.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "experiment\titem\tsizes\tmeasure\tslope\tlow..high\tintercept\tresidual\t")
	for _, r := range results {
		var measures []Measure
		for m := range r.Lines {
			measures = append(measures, m)
		}
		slices.Sort(measures)
		for _, m := range measures {
			l := r.Lines[m]
			note := ""
			if !l.Linear() {
				note = "not linear"
			}
			fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%.4g\t%.4g..%.4g\t%.4g\t%.1f%%\t%s\n",
				r.Name, r.Item, r.Sizes, m, l.Slope, l.Low, l.High, l.Intercept, 100*l.Residual, note)
		}
	}
	return t.Flush()
}
