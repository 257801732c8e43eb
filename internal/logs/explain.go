package logs

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// contextWindow is the time before the first and after the last line of a
// request in which other lines count as its context.
const contextWindow = 2 * time.Second

// maxLineBytes is the size of the longest log line that can be read.
const maxLineBytes = 1 << 20

// The fields in which lines name the request and the session that they are about.
const (
	fieldRequest = "request"
	fieldSession = "session"
)

// A Line is a decoded log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	fields  map[string]any
}

// errNoRequest indicates that no line names the request.
var errNoRequest = errors.New("no line names the request: ordinary outcomes are sampled")

// Explain writes the lines that name the request and the lines that are its
// context, such as those about its database group at that time. The lines are
// sorted by time; those of the request are marked.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	var all []Line
	for _, r := range logs {
		lines, err := read(r)
		if err != nil {
			return fmt.Errorf("explain %s: %w", request, err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s, ok := requestSpan(all, request)
	if !ok {
		return fmt.Errorf("explain %s: %w", request, errNoRequest)
	}
	for _, l := range all {
		named := l.stringField(fieldRequest) == request
		if !named && !s.inContext(l) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.format(named)); err != nil {
			return fmt.Errorf("explain %s: %w", request, err)
		}
	}
	return nil
}

// read decodes the lines of one log. Text before the JSON object of a line is
// ignored, and lines without a valid one are skipped.
func read(r io.Reader) (list []Line, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		_, text, ok := strings.Cut(in.Text(), "{")
		if !ok {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader("{" + text))
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue
		}
		l := Line{fields: fields}
		l.Time, err = time.Parse(time.RFC3339Nano, l.stringField("time"))
		if err != nil {
			continue
		}
		l.Host, l.Message = l.stringField("host"), l.stringField("msg")
		list = append(list, l)
	}
	return list, in.Err()
}

// A span is the time, the database group and the hosts of a request, as found
// in its log lines.
type span struct {
	first, last time.Time
	// group is the database group that the lines name.
	group string
	// hosts are the hosts that logged the lines.
	hosts map[string]bool
}

// requestSpan returns the span of the request. It returns false if no line
// names the request.
func requestSpan(all []Line, request string) (s span, ok bool) {
	s.hosts = map[string]bool{}
	for _, l := range all {
		if l.stringField(fieldRequest) != request {
			continue
		}
		if !ok {
			s.first, ok = l.Time, true
		}
		s.last = l.Time
		s.group = cmp.Or(s.group, l.stringField("database"))
		s.hosts[l.Host] = true
	}
	return s, ok
}

// inContext reports whether the line is context of the request: a line within
// contextWindow that belongs to no request or session, and that is either about
// the database group of the request, on any host, or about no group, on a host
// of the request.
func (s span) inContext(l Line) bool {
	if l.stringField(fieldRequest) != "" || l.stringField(fieldSession) != "" || l.Time.Before(s.first.Add(-contextWindow)) || l.Time.After(s.last.Add(contextWindow)) {
		return false
	}
	d := l.stringField("database")
	return d != "" && d == s.group || d == "" && s.hosts[l.Host]
}

// stringField returns the value of the field, or "" if it is not a string.
func (l Line) stringField(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// format returns the line in human-readable form. A line that names the request
// is marked with a star.
func (l Line) format(named bool) string {
	mark := " "
	if named {
		mark = "*"
	}
	var rest []string
	for name, v := range l.fields {
		switch name {
		case "time", "host", "msg", "level", "service":
		default:
			rest = append(rest, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(rest)
	return fmt.Sprintf("%s %s %s: %s %s", mark, l.Time.Format("15:04:05.000"), l.Host, l.Message, strings.Join(rest, " "))
}
