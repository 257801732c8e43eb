package config

import (
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// Settings holds the settings of one host. Customers, plans and databases are not
// settings: they are stored in the platform's store.
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

// Host identifies the host and its location.
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

// Platform configures the calls to the platform's service.
type Platform struct {
	Address        netip.AddrPort      `json:"address"`
	CallsPerSecond float64             `json:"calls-per-second"`
	CallBurst      int                 `json:"call-burst"`
	CallTimeout    gypsumyard.Duration `json:"call-timeout"`
}

// Peers configures the connections between hosts.
type Peers struct {
	// Secret authenticates hosts to each other. It must be the same on all
	// hosts.
	Secret string `json:"secret"`
	// Seeds are the peer addresses to contact while the platform's list of
	// hosts is not known yet.
	Seeds []netip.AddrPort `json:"seeds"`
}

// Operators configures the access of operators.
type Operators struct {
	// Token is required in each call except for health and metrics. If it is
	// empty, everybody who can connect to the address may operate the host.
	Token string `json:"token"`
}

// Callers limits the memory and the time that callers may use on the host.
type Callers struct {
	BufferPerConnection Size                `json:"buffer-per-connection"`
	BufferTotal         Size                `json:"buffer-total"`
	StartupTimeout      gypsumyard.Duration `json:"startup-timeout"`
	DrainIdle           gypsumyard.Duration `json:"drain-idle-transaction"`
}

// Owner holds the timeouts and intervals for databases that the host owns.
type Owner struct {
	PollInterval    gypsumyard.Duration `json:"poll-interval"`
	ConfirmTimeout  gypsumyard.Duration `json:"confirm-timeout"`
	IdleTransaction gypsumyard.Duration `json:"idle-transaction"`
	// DetectTimeout is how long a primary may fail to respond before it is
	// replaced, provided that no witness, a host in another failure domain,
	// can reach it.
	DetectTimeout gypsumyard.Duration `json:"detect-timeout"`
	// Promote enables the promotion of replicas.
	Promote bool `json:"promote"`
}

// Log configures the log.
type Log struct {
	// Level is one of error, warning, info and debug.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
	// Decisions is the sampling rate of routing decisions: one in so many is
	// logged. 1 logs all, 0 none. Logging all of them almost doubles the
	// processor time of a statement.
	Decisions int `json:"decisions"`
}

// Default returns the default settings.
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
