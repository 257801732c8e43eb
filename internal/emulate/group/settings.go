package group

import (
	"maps"
	"strings"
)

// builtin holds the parameters that exist in every session.
var builtin = map[string]string{
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

// reported lists the parameters of which the client is told.
var reported = []string{
	"application_name", "client_encoding", "DateStyle", "integer_datetimes", "IntervalStyle",
	"server_encoding", "server_version", "standard_conforming_strings", "TimeZone",
}

// settings are the parameters of a session. Changes in a transaction that does
// not commit are undone.
type settings struct {
	initial map[string]string
	current map[string]string
	// local holds values that end with the transaction.
	local map[string]string
	// saved is current at the start of the transaction, nil outside one.
	saved map[string]string
}

func newSettings() settings {
	return settings{initial: map[string]string{}, current: map[string]string{}, local: map[string]string{}}
}

// setDefault sets the value to which RESET returns.
func (s *settings) setDefault(name, value string) { s.initial[strings.ToLower(name)] = value }

func (s *settings) get(name string) (string, bool) {
	name = strings.ToLower(name)
	for _, m := range []map[string]string{s.local, s.current, s.initial, builtin} {
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
