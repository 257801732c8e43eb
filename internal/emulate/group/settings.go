package group

import (
	"maps"
	"strings"
)

// builtinParameters holds the defaults of the parameters that every session has.
var builtinParameters = map[string]string{
	"application_name":                    "",
	"client_encoding":                     "UTF8",
	"client_min_messages":                 "notice",
	"datestyle":                           "ISO, MDY",
	"default_transaction_isolation":       "read committed",
	"default_transaction_read_only":       "off",
	"extra_float_digits":                  "1",
	"idle_in_transaction_session_timeout": "0",
	"integer_datetimes":                   "on",
	"intervalstyle":                       "postgres",
	"lock_timeout":                        "0",
	"search_path":                         "\"$user\", public",
	"server_encoding":                     "UTF8",
	"server_version":                      "16.0",
	"standard_conforming_strings":         "on",
	"statement_timeout":                   "0",
	"timezone":                            "UTC",
	"transaction_isolation":               "read committed",
	"work_mem":                            "4MB",
}

// reportedParameters lists the parameters whose values are sent to the client in
// ParameterStatus messages.
var reportedParameters = []string{
	"application_name", "client_encoding", "DateStyle", "integer_datetimes", "IntervalStyle",
	"server_encoding", "server_version", "standard_conforming_strings", "TimeZone",
}

// settings holds the parameters of a session. Changes made in a transaction are
// undone unless it commits.
type settings struct {
	initial map[string]string
	current map[string]string
	// local holds the values of SET LOCAL, which end with the transaction.
	local map[string]string
	// saved is a copy of current from the start of the transaction, nil outside
	// one.
	saved map[string]string
}

func newSettings() settings {
	return settings{initial: map[string]string{}, current: map[string]string{}, local: map[string]string{}}
}

// setDefault sets the value that RESET restores.
func (s *settings) setDefault(name, value string) { s.initial[strings.ToLower(name)] = value }

func (s *settings) get(name string) (string, bool) {
	name = strings.ToLower(name)
	for _, m := range []map[string]string{s.local, s.current, s.initial, builtinParameters} {
		if v, ok := m[name]; ok {
			return v, true
		}
	}
	return "", false
}

func (s *settings) set(name, value string, local bool) {
	if local {
		s.local[name] = value
		return
	}
	delete(s.local, name)
	s.current[name] = value
}

func (s *settings) reset(name string) {
	if name == "" {
		clear(s.current)
		clear(s.local)
		return
	}
	delete(s.current, name)
	delete(s.local, name)
}

func (s *settings) begin() { s.saved = maps.Clone(s.current) }

func (s *settings) end(committed bool) {
	if s.saved != nil && !committed {
		s.current = s.saved
	}
	s.saved = nil
	clear(s.local)
}
