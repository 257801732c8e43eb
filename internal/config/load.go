package config

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"
)

// Load reads, parses and validates a settings file. An error in its contents is
// of type Errors.
func Load(file string) (s Settings, err error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, source)
}

// Parse parses and validates settings. The file name is used in errors only.
func Parse(file string, source []byte) (s Settings, err error) {
	d := &decoder{file: file, source: source, offsets: map[string]int{}}
	s = Default()
	tree, err := hujson.Parse(source)
	if err != nil {
		line, column, message := parseSyntaxError(err)
		return Settings{}, Errors{{file, line, column, message}}
	}
	d.decode("", tree, reflect.ValueOf(&s).Elem())
	d.check(&s)
	if len(d.errors) > 0 {
		slices.SortStableFunc(d.errors, func(a, b *Error) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return a.Column - b.Column
		})
		return Settings{}, d.errors
	}
	return s, nil
}

var syntaxErrorPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func parseSyntaxError(err error) (line, column int, message string) {
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1, 1, err.Error()
	}
	fmt.Sscan(m[1], &line)
	fmt.Sscan(m[2], &column)
	return line, column, m[3]
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62})$`)

// check validates values that have the right type.
func (d *decoder) check(s *Settings) {
	d.requireName("host.name", s.Host.Name)
	d.requireName("host.region", s.Host.Region)
	d.requireName("host.failure-domain", s.Host.FailureDomain)
	d.requireAddress("listen.callers", s.Listen.Callers)
	d.requireAddress("listen.peers", s.Listen.Peers)
	d.requireAddress("listen.operators", s.Listen.Operators)
	d.requireAddress("platform.address", s.Platform.Address)
	d.require(s.Platform.CallsPerSecond > 0, "platform.calls-per-second", "must be above 0")
	d.require(s.Platform.CallBurst >= 1, "platform.call-burst", "must be at least 1")
	d.require(len(s.Peers.Secret) >= 16, "peers.secret", "must have at least 16 characters")
	d.require(s.Callers.BufferPerConnection >= 1<<14, "callers.buffer-per-connection", "must be at least 16KiB")
	d.require(s.Callers.BufferTotal >= s.Callers.BufferPerConnection, "callers.buffer-total", "must be at least callers.buffer-per-connection")
	d.requireDuration("platform.call-timeout", s.Platform.CallTimeout)
	d.requireDuration("callers.startup-timeout", s.Callers.StartupTimeout)
	d.requireDuration("callers.drain-idle-transaction", s.Callers.DrainIdle)
	d.requireDuration("owner.poll-interval", s.Owner.PollInterval)
	d.requireDuration("owner.confirm-timeout", s.Owner.ConfirmTimeout)
	d.requireDuration("owner.idle-transaction", s.Owner.IdleTransaction)
	d.requireDuration("owner.detect-timeout", s.Owner.DetectTimeout)
	d.require(s.Owner.DetectTimeout >= 4*s.Owner.PollInterval, "owner.detect-timeout", "must be at least 4 times owner.poll-interval")
	_, err := logrus.ParseLevel(s.Log.Level)
	d.require(err == nil, "log.level", "must be one of error, warning, info, debug")
	d.require(s.Log.Decisions >= 0, "log.decisions", "must not be negative")
	d.require(s.Log.Format == "text" || s.Log.Format == "json", "log.format", "must be text or json")
}

func (d *decoder) requireName(path, value string) {
	d.require(namePattern.MatchString(value), path, "must be 1 to 63 lower-case letters, digits, dots and hyphens")
}

func (d *decoder) requireAddress(path string, a netip.AddrPort) {
	d.require(a.IsValid(), path, "must be an IP address and port, such as \"127.0.0.1:6432\"")
}

func (d *decoder) requireDuration(path string, v gypsumyard.Duration) {
	d.require(v > 0, path, "must be above 0")
}

// require records an error unless ok. Its position is that of the setting or, if
// the file does not have it, of the enclosing object, or else the start of the
// file. If there is already an error at the position of the setting, none is
// added.
func (d *decoder) require(ok bool, path, message string) {
	if ok {
		return
	}
	offset, found := d.offsets[path]
	if !found {
		offset = d.offsets[parentPath(path)]
	}
	n := len(d.errors)
	d.errorf(offset, "%s: %s", path, message)
	e := d.errors[n]
	if found && slices.ContainsFunc(d.errors[:n], func(x *Error) bool { return x.Line == e.Line && x.Column == e.Column }) {
		d.errors = d.errors[:n]
	}
}

func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i]
		}
	}
	return ""
}
