package config

import (
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// Settings are those of one host. Customers, plans and databases are not
// settings: they live in the platform's store.
type Settings struct {
	Host      Host      `json:"host"`
	Listen    Listen    `json:"listen"`
	Platform  Platform  `json:"platform"`
	Peers     Peers     `json:"peers"`
	Operators Operators `json:"operators"`
	Callers   Callers   `json:"callers"`
	Owner     Owner     `json:"owner"`
	Log       Log       `json:"log"`
}

// Host names the host and its place.
type Host struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// Listen holds the addresses on which the host accepts connections.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators"`
}

// Platform tells how to reach the platform's service.
type Platform struct {
	Address        netip.AddrPort      `json:"address"`
	CallsPerSecond float64             `json:"calls-per-second"`
	CallBurst      int                 `json:"call-burst"`
	CallTimeout    gypsumyard.Duration `json:"call-timeout"`
}

// Peers tells how hosts reach each other.
type Peers struct {
	// Secret authenticates hosts to each other. It must be the same on all.
	Secret string `json:"secret"`
	// Seeds are peer addresses to try while the platform's list is not known.
	Seeds []netip.AddrPort `json:"seeds"`
}

// Operators tells who may operate the host.
type Operators struct {
	// Token must be given with each call but health and metrics. Empty lets
	// everybody operate the host who reaches its address.
	Token string `json:"token"`
}

// Callers limits what callers can make the host hold.
type Callers struct {
	BufferPerConnection Size                `json:"buffer-per-connection"`
	BufferTotal         Size                `json:"buffer-total"`
	StartupTimeout      gypsumyard.Duration `json:"startup-timeout"`
	DrainIdle           gypsumyard.Duration `json:"drain-idle-transaction"`
}

// Owner holds the timing of owned databases.
type Owner struct {
	PollInterval    gypsumyard.Duration `json:"poll-interval"`
	ConfirmTimeout  gypsumyard.Duration `json:"confirm-timeout"`
	IdleTransaction gypsumyard.Duration `json:"idle-transaction"`
	// DetectTimeout is how long a primary may be silent, with no witness that
	// hears it, before it is replaced.
	DetectTimeout gypsumyard.Duration `json:"detect-timeout"`
	// Promote is false where promotions are not wanted.
	Promote bool `json:"promote"`
}

// Log tells what is logged and how.
type Log struct {
	// Level is one of error, warning, info and debug.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
	// Decisions is how many routing decisions there are to one that is logged.
	// 1 logs all, 0 none. With all logged, a statement costs almost twice the
	// processor time.
	Decisions int `json:"decisions"`
}

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		Platform: Platform{
			CallsPerSecond: 2,
			CallBurst:      10,
			CallTimeout:    gypsumyard.Duration(2 * time.Second),
		},
		Callers: Callers{
			BufferPerConnection: 1 << 20,
			BufferTotal:         256 << 20,
			StartupTimeout:      gypsumyard.Duration(10 * time.Second),
			DrainIdle:           gypsumyard.Duration(30 * time.Second),
		},
		Owner: Owner{
			PollInterval:    gypsumyard.Duration(50 * time.Millisecond),
			ConfirmTimeout:  gypsumyard.Duration(5 * time.Second),
			IdleTransaction: gypsumyard.Duration(time.Minute),
			DetectTimeout:   gypsumyard.Duration(600 * time.Millisecond),
			Promote:         true,
		},
		Log: Log{Level: "info", Format: "json", Decisions: 1},
	}
}
