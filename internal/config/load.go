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

// Load reads and checks a settings file. A failure that concerns the contents
// is of type Errors.
func Load(file string) (s Settings, err error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, source)
}

// Parse reads and checks settings. The file name is used in errors only.
func Parse(file string, source []byte) (s Settings, err error) {
	d := &decoder{file: file, source: source, offsets: map[string]int{}}
	s = Default()
	tree, err := hujson.Parse(source)
	if err != nil {
		line, column, message := syntaxError(err)
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

var syntaxErrorForm = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func syntaxError(err error) (line, column int, message string) {
	m := syntaxErrorForm.FindStringSubmatch(err.Error())
	if m == nil {
		return 1, 1, err.Error()
	}
	fmt.Sscan(m[1], &line)
	fmt.Sscan(m[2], &column)
	return line, column, m[3]
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62})$`)

// check looks for values that have the right type but cannot work.
func (d *decoder) check(s *Settings) {
	d.wantName("host.name", s.Host.Name)
	d.wantName("host.region", s.Host.Region)
	d.wantName("host.failure-domain", s.Host.FailureDomain)
	d.wantAddress("listen.callers", s.Listen.Callers)
	d.wantAddress("listen.peers", s.Listen.Peers)
	d.wantAddress("listen.operators", s.Listen.Operators)
	d.wantAddress("platform.address", s.Platform.Address)
	d.want(s.Platform.CallsPerSecond > 0, "platform.calls-per-second", "must be above 0")
	d.want(s.Platform.CallBurst >= 1, "platform.call-burst", "must be at least 1")
	d.want(len(s.Peers.Secret) >= 16, "peers.secret", "must have at least 16 characters")
	d.want(s.Callers.BufferPerConnection >= 1<<14, "callers.buffer-per-connection", "must be at least 16KiB")
	d.want(s.Callers.BufferTotal >= s.Callers.BufferPerConnection, "callers.buffer-total", "must be at least callers.buffer-per-connection")
	d.wantDuration("platform.call-timeout", s.Platform.CallTimeout)
	d.wantDuration("callers.startup-timeout", s.Callers.StartupTimeout)
	d.wantDuration("callers.drain-idle-transaction", s.Callers.DrainIdle)
	d.wantDuration("owner.poll-interval", s.Owner.PollInterval)
	d.wantDuration("owner.confirm-timeout", s.Owner.ConfirmTimeout)
	d.wantDuration("owner.idle-transaction", s.Owner.IdleTransaction)
	d.wantDuration("owner.detect-timeout", s.Owner.DetectTimeout)
	d.want(s.Owner.DetectTimeout >= 4*s.Owner.PollInterval, "owner.detect-timeout", "must be at least 4 times owner.poll-interval")
	_, err := logrus.ParseLevel(s.Log.Level)
	d.want(err == nil, "log.level", "must be one of error, warning, info, debug")
	d.want(s.Log.Decisions >= 0, "log.decisions", "must not be negative")
	d.want(s.Log.Format == "text" || s.Log.Format == "json", "log.format", "must be text or json")
}

func (d *decoder) wantName(path, value string) {
	d.want(nameForm.MatchString(value), path, "must be 1 to 63 lower-case letters, digits, dots and hyphens")
}

func (d *decoder) wantAddress(path string, a netip.AddrPort) {
	d.want(a.IsValid(), path, "must be an IP address and port, such as \"127.0.0.1:6432\"")
}

func (d *decoder) wantDuration(path string, v gypsumyard.Duration) {
	d.want(v > 0, path, "must be above 0")
}

// want reports a mistake at the setting, or at the nearest enclosing object
// that the file has, unless a mistake is known there already.
func (d *decoder) want(ok bool, path, message string) {
	if ok {
		return
	}
	offset, found := d.offsets[path]
	if !found {
		offset = d.offsets[parent(path)]
	}
	n := len(d.errors)
	d.errorf(offset, "%s: %s", path, message)
	e := d.errors[n]
	if found && slices.ContainsFunc(d.errors[:n], func(x *Error) bool { return x.Line == e.Line && x.Column == e.Column }) {
		d.errors = d.errors[:n]
	}
}

func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i]
		}
	}
	return ""
}
