package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// A Shape tells what a request does.
type Shape string

// The shapes of requests.
const (
	// ShapeLookup reads one row by its key.
	ShapeLookup Shape = "lookup"
	// ShapeOwn reads what the session itself has written last.
	ShapeOwn Shape = "own-write"
	// ShapeSave writes in one request that must not be repeated.
	ShapeSave Shape = "save"
	// ShapeTransaction writes two rows in a transaction of several requests.
	ShapeTransaction Shape = "transaction"
	// ShapePull reads many rows and runs long.
	ShapePull Shape = "pull"
)

// A Kind is one sort of request in the load.
type Kind struct {
	Name     string
	Shape    Shape
	Database string
	Customer string
	Login    string
	// Rate is the mean number of arrivals a second outside a crest.
	Rate float64
	// Crest multiplies the rate during a crest.
	Crest float64
	// Sessions is how many sessions send the requests.
	Sessions int
	Priority bool
	// Cost is the service time of a pull.
	Cost time.Duration
	// Rows is the number of rows of a pull.
	Rows int
}

// A Profile is the load of one deployment.
type Profile struct {
	Deployment string
	Kinds      []Kind
	// CrestEvery and CrestFor say when demand rises.
	CrestEvery time.Duration
	CrestFor   time.Duration
}

// KimberleyProfile returns the load of the rug appraisers.
func KimberleyProfile() Profile {
	p := Profile{Deployment: "kimberley", CrestEvery: 10 * time.Second, CrestFor: 2 * time.Second}
	for _, database := range []string{"appraisal-field", "appraisal-archive", "certificates"} {
		p.Kinds = append(p.Kinds,
			Kind{Name: "insurer-lookup", Shape: ShapeLookup, Database: database, Customer: "insurers", Login: "claims", Rate: 500, Crest: 2, Sessions: 60},
			Kind{Name: "lawyer-lookup", Shape: ShapeLookup, Database: database, Customer: "estate-lawyers", Login: "probate", Rate: 60, Crest: 1, Sessions: 15},
			Kind{Name: "valuer-check", Shape: ShapeOwn, Database: database, Customer: "valuers", Login: "valuer", Rate: 60, Crest: 1, Sessions: 20},
			Kind{Name: "valuation-save", Shape: ShapeSave, Database: database, Customer: "valuers", Login: "valuer", Rate: 20, Crest: 1, Sessions: 20},
			Kind{Name: "valuation-pair", Shape: ShapeTransaction, Database: database, Customer: "valuers", Login: "valuer", Rate: 5, Crest: 1, Sessions: 10},
			Kind{Name: "certificate-batch", Shape: ShapePull, Database: database, Customer: "estate-lawyers", Login: "batch", Rate: 1.5, Crest: 1, Sessions: 10, Cost: 300 * time.Millisecond, Rows: 500},
		)
	}
	return p
}

// SvellfraediProfile returns the load of the rink scheduler.
func SvellfraediProfile() Profile {
	p := Profile{Deployment: "svellfraedi", CrestEvery: 8 * time.Second, CrestFor: 2 * time.Second}
	for _, database := range []string{"scheduling", "readings", "temperature-logs"} {
		p.Kinds = append(p.Kinds,
			Kind{Name: "club-reading", Shape: ShapeLookup, Database: database, Customer: "clubs", Login: "reader", Rate: 250, Crest: 6, Sessions: 150},
			Kind{Name: "club-check", Shape: ShapeOwn, Database: database, Customer: "clubs", Login: "reader", Rate: 30, Crest: 2, Sessions: 30},
			Kind{Name: "club-note", Shape: ShapeSave, Database: database, Customer: "clubs", Login: "reader", Rate: 10, Crest: 1, Sessions: 10},
			Kind{Name: "flood-order", Shape: ShapeSave, Database: database, Customer: "rinks", Login: "scheduler", Rate: 10, Crest: 1, Sessions: 10, Priority: true},
			Kind{Name: "flood-pair", Shape: ShapeTransaction, Database: database, Customer: "rinks", Login: "scheduler", Rate: 3, Crest: 1, Sessions: 6, Priority: true},
			Kind{Name: "log-pull", Shape: ShapePull, Database: database, Customer: "university", Login: "researcher", Rate: 1.5, Crest: 1, Sessions: 12, Cost: 800 * time.Millisecond, Rows: 2000},
		)
	}
	return p
}

// ProfileByName returns the load of a deployment.
func ProfileByName(name string) (Profile, error) {
	for _, p := range []Profile{KimberleyProfile(), SvellfraediProfile()} {
		if p.Deployment == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("no load profile for deployment %q", name)
}

// inCrest reports whether demand is raised at a time after the start.
func (p *Profile) inCrest(at time.Duration) bool {
	return p.CrestEvery > 0 && at >= p.CrestEvery/2 && (at-p.CrestEvery/2)%p.CrestEvery < p.CrestFor
}

// arrivals draws the arrival times of a kind, as those of a Poisson process
// whose rate follows the crests.
func (p *Profile) arrivals(k *Kind, rate float64, duration time.Duration, r *rand.Rand) []time.Duration {
	peak := k.Rate * rate * max(1, k.Crest)
	if peak <= 0 {
		return nil
	}
	var times []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= duration {
			return times
		}
		// Thinning keeps the arrivals independent where the rate is lower.
		if p.inCrest(at) || r.Float64() < k.Rate*rate/peak {
			times = append(times, at)
		}
	}
}
