package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// An Operation is what a request does.
type Operation string

// The operations of requests.
const (
	// OperationLookup reads one row by its key.
	OperationLookup Operation = "lookup"
	// OperationReadOwnWrite reads what the session itself has written last.
	OperationReadOwnWrite Operation = "own-write"
	// OperationSave writes in one request that must not be repeated.
	OperationSave Operation = "save"
	// OperationTransaction writes two rows in a transaction of several requests.
	OperationTransaction Operation = "transaction"
	// OperationScan reads many rows and runs long.
	OperationScan Operation = "pull"
)

// A Kind is one type of request in the workload.
type Kind struct {
	Name      string
	Operation Operation
	Database  string
	Customer  string
	Login     string
	// Rate is the mean number of arrivals per second outside peaks.
	Rate float64
	// PeakFactor multiplies the rate during a peak.
	PeakFactor float64
	// Sessions is the number of sessions that send the requests.
	Sessions int
	Priority bool
	// Cost is the service time of a scan.
	Cost time.Duration
	// Rows is the number of rows of a scan.
	Rows int
}

// A Profile is the workload of one deployment.
type Profile struct {
	Deployment string
	Kinds      []Kind
	// PeakInterval is the time between the starts of two load peaks, and
	// PeakDuration the length of a peak.
	PeakInterval time.Duration
	PeakDuration time.Duration
}

// KimberleyProfile returns the workload of the rug appraisers.
func KimberleyProfile() Profile {
	p := Profile{Deployment: "kimberley", PeakInterval: 10 * time.Second, PeakDuration: 2 * time.Second}
	for _, database := range []string{"appraisal-field", "appraisal-archive", "certificates"} {
		p.Kinds = append(p.Kinds,
			Kind{Name: "insurer-lookup", Operation: OperationLookup, Database: database, Customer: "insurers", Login: "claims", Rate: 500, PeakFactor: 2, Sessions: 60},
			Kind{Name: "lawyer-lookup", Operation: OperationLookup, Database: database, Customer: "estate-lawyers", Login: "probate", Rate: 60, PeakFactor: 1, Sessions: 15},
			Kind{Name: "valuer-check", Operation: OperationReadOwnWrite, Database: database, Customer: "valuers", Login: "valuer", Rate: 60, PeakFactor: 1, Sessions: 20},
			Kind{Name: "valuation-save", Operation: OperationSave, Database: database, Customer: "valuers", Login: "valuer", Rate: 20, PeakFactor: 1, Sessions: 20},
			Kind{Name: "valuation-pair", Operation: OperationTransaction, Database: database, Customer: "valuers", Login: "valuer", Rate: 5, PeakFactor: 1, Sessions: 10},
			Kind{Name: "certificate-batch", Operation: OperationScan, Database: database, Customer: "estate-lawyers", Login: "batch", Rate: 1.5, PeakFactor: 1, Sessions: 10, Cost: 300 * time.Millisecond, Rows: 500},
		)
	}
	return p
}

// SvellfraediProfile returns the workload of the rink scheduler.
func SvellfraediProfile() Profile {
	p := Profile{Deployment: "svellfraedi", PeakInterval: 8 * time.Second, PeakDuration: 2 * time.Second}
	for _, database := range []string{"scheduling", "readings", "temperature-logs"} {
		p.Kinds = append(p.Kinds,
			Kind{Name: "club-reading", Operation: OperationLookup, Database: database, Customer: "clubs", Login: "reader", Rate: 250, PeakFactor: 6, Sessions: 150},
			Kind{Name: "club-check", Operation: OperationReadOwnWrite, Database: database, Customer: "clubs", Login: "reader", Rate: 30, PeakFactor: 2, Sessions: 30},
			Kind{Name: "club-note", Operation: OperationSave, Database: database, Customer: "clubs", Login: "reader", Rate: 10, PeakFactor: 1, Sessions: 10},
			Kind{Name: "flood-order", Operation: OperationSave, Database: database, Customer: "rinks", Login: "scheduler", Rate: 10, PeakFactor: 1, Sessions: 10, Priority: true},
			Kind{Name: "flood-pair", Operation: OperationTransaction, Database: database, Customer: "rinks", Login: "scheduler", Rate: 3, PeakFactor: 1, Sessions: 6, Priority: true},
			Kind{Name: "log-pull", Operation: OperationScan, Database: database, Customer: "university", Login: "researcher", Rate: 1.5, PeakFactor: 1, Sessions: 12, Cost: 800 * time.Millisecond, Rows: 2000},
		)
	}
	return p
}

// ProfileByName returns the workload of a deployment.
func ProfileByName(name string) (Profile, error) {
	for _, p := range []Profile{KimberleyProfile(), SvellfraediProfile()} {
		if p.Deployment == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("no load profile for deployment %q", name)
}

// inPeak reports whether the time since the start is within a load peak.
func (p *Profile) inPeak(at time.Duration) bool {
	return p.PeakInterval > 0 && at >= p.PeakInterval/2 && (at-p.PeakInterval/2)%p.PeakInterval < p.PeakDuration
}

// arrivals draws the arrival times of a kind from a Poisson process whose rate
// is higher during peaks.
func (p *Profile) arrivals(k *Kind, rate float64, duration time.Duration, r *rand.Rand) []time.Duration {
	peak := k.Rate * rate * max(1, k.PeakFactor)
	if peak <= 0 {
		return nil
	}
	var times []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= duration {
			return times
		}
		// Thinning: arrivals are drawn at the peak rate and some are rejected
		// outside peaks, which keeps them independent.
		if p.inPeak(at) || r.Float64() < k.Rate*rate/peak {
			times = append(times, at)
		}
	}
}
