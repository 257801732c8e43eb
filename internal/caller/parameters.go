package caller

import (
	"fmt"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// The parameters that the proxy handles itself, spelled as in SET.
const (
	paramPosition     = "gypsumyard.position"
	paramMaxStaleness = "gypsumyard.max_staleness"
	paramRepeatable   = "gypsumyard.repeatable"
	paramPriority     = "gypsumyard.priority"
	paramSession      = "gypsumyard.session"
)

// showProxyParam returns the value of a proxy parameter.
func (x *session) showProxyParam(name string) (string, *gypsumyard.Error) {
	switch name {
	case paramPosition:
		return x.positionToken(), nil
	case paramMaxStaleness:
		return x.maxStaleness.String(), nil
	case paramRepeatable:
		return onOff(x.repeatable), nil
	case paramPriority:
		return onOff(x.priority), nil
	case paramSession:
		return string(x.id), nil
	}
	return "", stateErrorf(stateUnknownParameter, "unrecognized configuration parameter %q", name)
}

// setProxyParam changes a proxy parameter. The change takes effect at once,
// even within a transaction.
func (x *session) setProxyParam(name, value string, reset bool) *gypsumyard.Error {
	switch name {
	case paramPosition, paramSession:
		return stateErrorf(stateReadOnlyParameter, "parameter %q can be set at connection start only", name)
	case paramMaxStaleness:
		if reset {
			x.maxStaleness = time.Duration(x.login.MaxStaleness)
			return nil
		}
		d, err := parseStaleness(value)
		if err != nil {
			return stateErrorf(stateInvalidValue, "invalid value for parameter %q: %q", name, value)
		}
		x.maxStaleness = d
		return nil
	case paramRepeatable:
		return setBool(&x.repeatable, name, value, reset, true)
	case paramPriority:
		return setBool(&x.priority, name, value, reset, false)
	}
	return stateErrorf(stateUnknownParameter, "unrecognized configuration parameter %q", name)
}

func parseStaleness(value string) (time.Duration, error) {
	value = strings.TrimSpace(value)
	if value == "0" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err == nil && d < 0 {
		err = fmt.Errorf("negative duration %q", value)
	}
	return d, err
}

// setBool sets a Boolean parameter or resets it to its initial value.
func setBool(to *bool, name, value string, reset, initial bool) *gypsumyard.Error {
	if reset {
		*to = initial
		return nil
	}
	switch strings.ToLower(strings.TrimSpace(value)) {
	case "on", "true", "yes", "1":
		*to = true
	case "off", "false", "no", "0":
		*to = false
	default:
		return stateErrorf(stateInvalidValue, "parameter %q requires a Boolean value", name)
	}
	return nil
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// applyStartupParams applies the parameters of the startup message.
func (x *session) applyStartupParams(parameters map[string]string) error {
	x.maxStaleness = time.Duration(x.login.MaxStaleness)
	for name, value := range parameters {
		name = strings.ToLower(name)
		switch {
		case name == "user" || name == "database" || name == "options" || strings.HasPrefix(name, "_pq_."):
			continue
		case name == "replication":
			if v := strings.ToLower(value); v != "false" && v != "off" && v != "no" && v != "0" {
				return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "replication connections are not supported")
			}
			continue
		}
		if err := x.setStartupParam(name, value); err != nil {
			return err
		}
	}
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return err
	}
	for _, o := range options {
		if err := x.setStartupParam(o.Name, o.Value); err != nil {
			return err
		}
	}
	return nil
}

func (x *session) setStartupParam(name, value string) error {
	if strings.HasPrefix(name, sqltext.ProxyPrefix) {
		return x.setStartupProxyParam(strings.ReplaceAll(name, "-", "_"), value)
	}
	if reason := sqltext.SettingRefusal(name, value); reason != "" {
		return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "%s", reason)
	}
	if !validParamName(name) {
		return stateErrorf(stateUnknownParameter, "unrecognized configuration parameter %q", name)
	}
	if len(x.settings) >= x.server.limits.Settings || len(name)+len(value) > maxSettingBytes {
		return stateErrorf(stateLimitExceeded, "too many settings in one session")
	}
	x.settings[name] = value
	return nil
}

func validParamName(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_' && c != '.' {
			return false
		}
	}
	return name != ""
}

func (x *session) setStartupProxyParam(name, value string) error {
	switch name {
	case paramPosition:
		return x.setStartupPosition(value)
	case paramSession:
		// The client's own name for the session is only logged: the session ID
		// must be unique.
		x.server.log.WithField("session", x.id).WithField("name", value).Info("client gave its session a name")
		return nil
	}
	if e := x.setProxyParam(name, value, false); e != nil {
		return e
	}
	return nil
}

// setStartupPosition sets the position from the form that positionToken
// returns.
func (x *session) setStartupPosition(value string) error {
	if value == "" {
		return nil
	}
	database, position, ok := cutLast(value, ":")
	if !ok {
		return stateErrorf(stateInvalidValue, "invalid value for parameter %q: want database:term/offset", paramPosition)
	}
	if database != x.database {
		return stateErrorf(stateInvalidValue, "parameter %q is of database %q, not of %q", paramPosition, database, x.database)
	}
	p, err := gypsumyard.ParsePosition(position)
	if err != nil {
		return stateErrorf(stateInvalidValue, "invalid value for parameter %q: %v", paramPosition, err)
	}
	x.position = p
	x.positionKnown = true
	return nil
}

// parseOptions parses options of the forms "-c name=value" and "--name=value",
// which are separated by white space. A backslash escapes the next character.
func parseOptions(options string) ([]gypsumyard.Setting, error) {
	var list []gypsumyard.Setting
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			return nil, stateErrorf(stateSyntax, "invalid command-line option %q", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, stateErrorf(stateSyntax, "command-line option %q requires a value", word)
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		list = append(list, gypsumyard.Setting{Name: name, Value: value})
	}
	return list, nil
}

func splitOptions(s string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '\\' && i+1 < len(s):
			i++
			word.WriteByte(s[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			if inWord {
				words = append(words, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}
