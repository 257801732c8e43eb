package catalog

import "time"

const (
	// defaultApplyTimeout is how soon a desired state must be in force unless the
	// platform says otherwise.
	defaultApplyTimeout = 3 * time.Second
	// instancesWatchTimeout bounds one watch call for the instances, whose changes
	// may take longer to be in force than the desired state.
	instancesWatchTimeout = 2400 * time.Millisecond
	// instancesValidity is how long a host may rely on its copies of the instances
	// after the store has confirmed that they are complete.
	instancesValidity = 3600 * time.Millisecond
)

// A cadence holds how often the store is asked for the desired state.
type cadence struct {
	// watchTimeout bounds one watch call. A watch may miss a change without an
	// error, which the next one finds.
	watchTimeout time.Duration
	// validity is how long a host may rely on its copy after the store has confirmed
	// that it is complete. It exceeds the time between two answers to a watch.
	validity time.Duration
}

// newCadence returns the slowest cadence with which a change is in force within the
// given time: what is left of it after the validity is for a host that must ask the
// store itself, or its watcher again. The times for the instances are upper bounds,
// since copies count only while both lists are confirmed.
func newCadence(applyTimeout time.Duration) cadence {
	return cadence{
		watchTimeout: min(applyTimeout*2/5, instancesWatchTimeout),
		validity:     min(applyTimeout*3/5, instancesValidity),
	}
}
