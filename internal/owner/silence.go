package owner

import "time"

const (
	// silenceFactor relates how long a running statement may send nothing to
	// its expected run time.
	silenceFactor = 20
	// minSilence allows for waits for locks, which no run time foretells.
	minSilence = 10 * time.Second
	// minReadSilence is less, since a read can be sent again. It doubles with
	// each attempt, so that a read that takes long with some parameters ends.
	minReadSilence = 2 * time.Second
	maxSilence     = 60 * time.Second
	// unknownSilence is for statements of unknown run time and long ones.
	unknownSilence = 30 * time.Second
)

// silence returns how long a running statement may send nothing. attempt
// counts the earlier attempts of a read.
func silence(expected time.Duration, long, read bool, attempt int) time.Duration {
	if expected == 0 {
		return unknownSilence
	}
	least := minSilence
	if read {
		least = minReadSilence << attempt
	}
	if long {
		least = unknownSilence
	}
	return max(least, min(silenceFactor*expected, maxSilence))
}
