package owner

import "time"

const (
	// silenceTimeoutFactor is the ratio of the time that a running statement
	// may send nothing to its expected run time.
	silenceTimeoutFactor = 20
	// minSilenceTimeout allows for waits for locks, which the expected run
	// time does not include.
	minSilenceTimeout = 10 * time.Second
	// minReadSilenceTimeout is shorter, since a read can be sent again. It
	// doubles with each attempt, so that a read that takes long with some
	// parameters can finish.
	minReadSilenceTimeout = 2 * time.Second
	maxSilenceTimeout     = 60 * time.Second
	// defaultSilenceTimeout is for statements of unknown run time and long
	// ones.
	defaultSilenceTimeout = 30 * time.Second
)

// silenceTimeout returns how long a running statement may send nothing.
// attempt counts the earlier attempts of a read.
func silenceTimeout(expected time.Duration, long, read bool, attempt int) time.Duration {
	if expected == 0 {
		return defaultSilenceTimeout
	}
	least := minSilenceTimeout
	if read {
		least = minReadSilenceTimeout << attempt
	}
	if long {
		least = defaultSilenceTimeout
	}
	return max(least, min(silenceTimeoutFactor*expected, maxSilenceTimeout))
}
