package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate"
	"github.com/gypsumyard/gypsumyard/internal/site"
)

const (
	// faultInterval is the mean time between two random faults of a database
	// or of the hosts, in addition to a fixed second.
	faultInterval = 4 * time.Second
	// minFault and maxFault bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// faultFreeTail is the time at the end of a run in which no fault is active.
	faultFreeTail = 5 * time.Second
)

// RandomScenario generates random faults from the seed. At any time at most one
// instance of each database, one host and the store are affected, so that a
// majority always remains.
func RandomScenario(d site.Deployment, hosts int, duration time.Duration, seed uint64) Scenario {
	s := Scenario{Name: fmt.Sprintf("random-%d", seed)}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, b := range d.Databases {
		s.add(random, duration, func(at, end time.Duration) []Event {
			target := fmt.Sprintf("%s-%d", b.Name, 1+random.IntN(b.Instances))
			if random.IntN(2) == 0 {
				target = b.Name + "/primary"
			}
			return instanceFault(random, b.Name, target, at, end)
		})
	}
	s.add(random, duration, func(at, end time.Duration) []Event {
		return hostFault(random, hosts, at, end)
	})
	s.add(random, duration, func(at, end time.Duration) []Event {
		return storeFault(random, at, end)
	})
	slices.SortStableFunc(s.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return s
}

// add adds a sequence of faults that do not overlap.
func (s *Scenario) add(random *rand.Rand, duration time.Duration, draw func(at, end time.Duration) []Event) {
	at := time.Duration(random.ExpFloat64() * float64(faultInterval))
	for {
		length := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		end := at + length
		if end > duration-faultFreeTail {
			return
		}
		s.Events = append(s.Events, draw(at, end)...)
		at = end + time.Second + time.Duration(random.ExpFloat64()*float64(faultInterval))
	}
}

func event(at time.Duration, target, kind string) Event {
	return Event{At: gypsumyard.Duration(at), Fault: emulate.Fault{Target: target, Kind: kind}}
}

// instanceFault returns a random fault of one instance. The fault ends by healing
// the whole group, because the primary may have changed by then.
func instanceFault(random *rand.Rand, database, target string, at, end time.Duration) []Event {
	kinds := []string{"kill", "freeze", "isolate", "partition", "silence", "lag"}
	e := event(at, target, kinds[random.IntN(len(kinds))])
	if e.Kind == "lag" {
		e.Delay = gypsumyard.Duration(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	events := []Event{e, event(end, database, "heal")}
	if e.Kind == "lag" {
		back := event(end, database, "lag")
		back.Delay = gypsumyard.Duration(3 * time.Millisecond)
		events = append(events, back)
	}
	return events
}

func hostFault(random *rand.Rand, hosts int, at, end time.Duration) []Event {
	target := fmt.Sprintf("entry-%d", 1+random.IntN(hosts))
	kind := "stop-host"
	if random.IntN(2) == 0 {
		kind = "drain-host"
	}
	return []Event{event(at, target, kind), event(end, target, "start-host")}
}

func storeFault(random *rand.Rand, at, end time.Duration) []Event {
	if random.IntN(2) == 0 {
		off := event(end, "store", "outage")
		off.Off = true
		return []Event{event(at, "store", "outage"), off}
	}
	slow, normal := event(at, "store", "slow"), event(end, "store", "slow")
	slow.Delay = gypsumyard.Duration(time.Second)
	normal.Delay = gypsumyard.Duration(2 * time.Millisecond)
	return []Event{slow, normal}
}
