package upstream

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

const discardSQL = "DISCARD ALL"

// listParameters are the parameters whose value is a list of identifiers. The
// instance would parse one string constant as a single identifier.
var listParameters = map[string]bool{"search_path": true, "temp_tablespaces": true}

// setStatements returns one SET statement for each setting, ordered by name.
func setStatements(settings []gypsumyard.Setting) []string {
	sorted := slices.Clone(settings)
	slices.SortStableFunc(sorted, func(a, b gypsumyard.Setting) int { return cmp.Compare(a.Name, b.Name) })
	var out []string
	for _, s := range sorted {
		out = append(out, "SET "+settingName(s.Name)+" = "+settingValue(s))
	}
	return out
}

// SettingsKey returns a key that is equal for equal sets of settings only.
func SettingsKey(settings []gypsumyard.Setting) string {
	if len(settings) == 0 {
		return ""
	}
	return strings.Join(setStatements(settings), ";")
}

// settingName quotes each part of a name that is not a plain identifier.
func settingName(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		if !isPlainIdentifier(p) {
			parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
		}
	}
	return strings.Join(parts, ".")
}

func isPlainIdentifier(s string) bool {
	for _, r := range s {
		if r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') {
			return false
		}
	}
	return s != ""
}

func settingValue(s gypsumyard.Setting) string {
	if !listParameters[strings.ToLower(s.Name)] {
		return quoteLiteral(s.Value)
	}
	parts := strings.Split(s.Value, ",")
	for i, p := range parts {
		parts[i] = quoteLiteral(strings.Trim(strings.TrimSpace(p), `"`))
	}
	return strings.Join(parts, ", ")
}

// maxAcceptedSettings limits the memory for accepted settings. When the limit is
// reached, all of them are forgotten.
const maxAcceptedSettings = 4096

// acceptedSettings records which sets of settings an instance has accepted. A
// set that may fail is sent ahead of the request instead of with it, because
// a pipelined request would run even though its settings had failed.
type acceptedSettings struct {
	mu   sync.Mutex
	keys map[string]struct{}
}

func (p *acceptedSettings) has(key string) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.keys[key]
	return ok
}

func (p *acceptedSettings) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = nil
}

func (p *acceptedSettings) add(key string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys == nil || len(p.keys) >= maxAcceptedSettings {
		p.keys = map[string]struct{}{}
	}
	p.keys[key] = struct{}{}
}
