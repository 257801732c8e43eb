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

// around is how long before and after the lines of a request the changes of
// beliefs count as its surroundings.
const around = 2 * time.Second

// maxLine is the longest log line in bytes that is read.
const maxLine = 1 << 20

// A Line is one decoded log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	fields  map[string]any
}

// errNoRequest indicates that no line names the request.
var errNoRequest = errors.New("no line names the request: ordinary outcomes are sampled")

// Explain writes the lines that name the request, together with the lines about
// its database group from a moment before to a moment after, in the order of
// time.
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
	s, ok := spanOf(all, request)
	if !ok {
		return fmt.Errorf("explain %s: %w", request, errNoRequest)
	}
	for _, l := range all {
		mine := l.text("request") == request
		if !mine && !s.surrounds(l) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.format(mine)); err != nil {
			return fmt.Errorf("explain %s: %w", request, err)
		}
	}
	return nil
}

// read decodes the lines of one log. A line may have other text before it; one
// that is not JSON is passed over.
func read(r io.Reader) (list []Line, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
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
		l.Time, err = time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.Host, l.Message = l.text("host"), l.text("msg")
		list = append(list, l)
	}
	return list, in.Err()
}

// A span is what the lines of a request tell of its time and place.
type span struct {
	first, last time.Time
	// group is the database group that they name.
	group string
	// hosts are those that they come from.
	hosts map[string]bool
}

func spanOf(all []Line, request string) (s span, ok bool) {
	s.hosts = map[string]bool{}
	for _, l := range all {
		if l.text("request") != request {
			continue
		}
		if !ok {
			s.first, ok = l.Time, true
		}
		s.last = l.Time
		s.group = cmp.Or(s.group, l.text("database"))
		s.hosts[l.Host] = true
	}
	return s, ok
}

// surrounds reports whether the line tells of a change near the request: one of
// its group on any host, or one of another kind on its own hosts.
func (s span) surrounds(l Line) bool {
	if l.text("request") != "" || l.text("session") != "" || l.Time.Before(s.first.Add(-around)) || l.Time.After(s.last.Add(around)) {
		return false
	}
	d := l.text("database")
	return d != "" && d == s.group || d == "" && s.hosts[l.Host]
}

func (l Line) text(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// format returns the line for a reader. Lines of the request are marked.
func (l Line) format(mine bool) string {
	mark := " "
	if mine {
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
