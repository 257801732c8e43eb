package owner

import "time"

const (
	// silenceFactor relates how long a running statement may send nothing to
	// its expected run time, within minSilence and maxSilence. A statement of
	// unknown run time may be silent for unknownSilence.
	silenceFactor  = 20
	minSilence     = 2 * time.Second
	maxSilence     = 60 * time.Second
	unknownSilence = 30 * time.Second
)

// silence returns how long a running statement may send nothing.
func silence(expected time.Duration, long bool) time.Duration {
	if expected == 0 {
		return unknownSilence
	}
	d := min(max(silenceFactor*expected, minSilence), maxSilence)
	if long {
		d = max(d, unknownSilence)
	}
	return d
}
