package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/emulate"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/tailscale/hujson"
)

// A Scenario lists the faults of a run in chronological order.
type Scenario struct {
	Name   string  `json:"name"`
	Events []Event `json:"events"`
}

// An Event is one fault. Its kind and target are those of an [emulate.Fault], or
// the kind is stop-host, drain-host or start-host and the target is a host.
type Event struct {
	At gypsumyard.Duration `json:"at"`
	emulate.Fault
}

// LoadScenario reads a scenario file, which is JSON with comments.
func LoadScenario(file string) (s Scenario, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load scenario %s: %w", file, err)
		}
	}()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if data, err = hujson.Standardize(data); err != nil {
		return s, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, err
	}
	for i := 1; i < len(s.Events); i++ {
		if s.Events[i].At < s.Events[i-1].At {
			return s, fmt.Errorf("event %d comes before event %d", i+1, i)
		}
	}
	return s, nil
}

// An injector applies the events of a scenario to a site.
type injector struct {
	site    *site.Site
	stopped map[string]config.Settings
	report  func(at time.Duration, e Event, err error)
}

// run applies the events at their times after start.
func (j *injector) run(ctx context.Context, start time.Time, events []Event) {
	for _, e := range events {
		timer := time.NewTimer(time.Until(start.Add(time.Duration(e.At))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		err := j.apply(ctx, e)
		j.report(time.Since(start), e, err)
	}
}

func (j *injector) apply(ctx context.Context, e Event) error {
	switch e.Kind {
	case "stop-host", "drain-host":
		h := j.site.Host(e.Target)
		if h == nil {
			return fmt.Errorf("no host %q runs", e.Target)
		}
		j.stopped[e.Target] = h.Settings()
		if e.Kind == "stop-host" {
			return j.site.StopHost(ctx, e.Target)
		}
		return j.site.DrainHost(ctx, e.Target)
	case "start-host":
		settings, ok := j.stopped[e.Target]
		if !ok {
			return fmt.Errorf("host %q was not stopped", e.Target)
		}
		return j.site.StartHost(ctx, settings)
	default:
		return j.site.Environment.Apply(e.Fault)
	}
}
