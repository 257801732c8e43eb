package statecheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// A Difference is a value that was added, removed or changed between two versions. From is
// empty for what was added, and To for what was removed.
type Difference struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// A Format is a format of a report.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// ParseFormat returns the format of the given name.
func ParseFormat(s string) (Format, error) {
	switch f := Format(s); f {
	case FormatText, FormatJSON:
		return f, nil
	}
	return "", fmt.Errorf("unknown format %q, want %s or %s", s, FormatText, FormatJSON)
}

// A Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Differences is null if nothing was compared.
	Differences []Difference `json:"differences"`
}

// Err returns an error that counts the findings, or nil if there are none.
func (r Report) Err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	return fmt.Errorf("errors: %d, warnings: %d", Count(r.Findings, Error), Count(r.Findings, Warning))
}

// Write writes the report in the format.
func (r Report) Write(w io.Writer, f Format) error {
	if f == FormatJSON {
		return r.writeJSON(w)
	}
	return r.writeText(w)
}

func (r Report) writeJSON(w io.Writer) error {
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

func (r Report) writeText(w io.Writer) error {
	var out bytes.Buffer
	for _, f := range r.Findings {
		path := f.Path
		if path != "" {
			path += ": "
		}
		fmt.Fprintf(&out, "%s %s%s [%s]\n", f.Severity, path, f.Text, f.Kind)
	}
	for _, d := range r.Differences {
		switch {
		case d.From == "":
			fmt.Fprintf(&out, "added %s\n", withValue(d.Path, d.To))
		case d.To == "":
			fmt.Fprintf(&out, "removed %s\n", withValue(d.Path, d.From))
		default:
			fmt.Fprintf(&out, "changed %s: %s -> %s\n", d.Path, d.From, d.To)
		}
	}
	_, err := out.WriteTo(w)
	return err
}

// withValue returns the path with the value that was added or removed there. Entries as a
// whole have none.
func withValue(path, value string) string {
	if value == Present {
		return path
	}
	return path + ": " + value
}
