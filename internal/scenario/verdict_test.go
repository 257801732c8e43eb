package scenario

import (
	"fmt"
	"regexp"
	"strings"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/history"
)

// A recorder collects what clients of one database were told.
type recorder struct {
	database string
	mu       sync.Mutex
	history  history.History
	// single are the tags of writes that are one statement each.
	single []string
}

func (r *recorder) write(w history.Write, single bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Writes = append(r.history.Writes, w)
	if single {
		r.single = append(r.single, w.Tag)
	}
}

func (r *recorder) read(x history.Read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Reads = append(r.history.Reads, x)
}

func (r *recorder) answer(a history.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Answers = append(r.history.Answers, a)
}

func (r *recorder) list(l history.ListVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Lists = append(r.history.Lists, l)
}

var tagPattern = regexp.MustCompile(`tag:[a-z0-9-]+:[0-9]+`)

// refusedByInstance are the SQLSTATEs with which an instance proves that it
// ran nothing: it is read-only or shuts down.
var refusedByInstance = map[string]bool{"25006": true, "57P01": true, "55000": true, "53300": true}

// check compares the records with the rows and the journal of the group.
func (w *world) check(database string) error {
	g, err := w.group(database)
	if err != nil {
		return err
	}
	primary := g.Primary()
	if primary == nil {
		return fmt.Errorf("no primary of %s runs", database)
	}
	r := w.recorder(database)
	r.mu.Lock()
	defer r.mu.Unlock()
	journal := g.Journal(0)
	r.history.Rows = countRows(primary)
	r.history.Executions = runsOf(journal)
	all := history.Check(&r.history)
	all = append(all, r.checkRuns(journal)...)
	all = append(all, checkTerms(g, journal)...)
	if len(all) == 0 {
		return nil
	}
	var lines []string
	for _, v := range all[:min(len(all), 20)] {
		lines = append(lines, v.String())
	}
	return fmt.Errorf("%d violations on %s:\n%s", len(all), database, strings.Join(lines, "\n"))
}

// countRows counts the rows of the table saves by their tag.
func countRows(primary *group.Instance) map[string]int {
	rows := map[string]int{}
	for _, row := range primary.Rows("saves") {
		if tag, ok := row[0].(string); ok {
			rows[tag]++
		}
	}
	return rows
}

func runsOf(journal []group.Entry) (runs []history.Execution) {
	for _, e := range journal {
		runs = append(runs, history.Execution{
			Instance: e.Instance, Transaction: e.Transaction, Tag: tagPattern.FindString(e.Statement),
			SlotTime: e.SlotTime, End: e.End,
		})
	}
	return runs
}

// checkRuns verifies with the journal that single writes that were refused as
// not run did not run, and that no other ran twice.
func (r *recorder) checkRuns(journal []group.Entry) (all []history.Violation) {
	ran := map[string]int{}
	for _, e := range journal {
		if tag := tagPattern.FindString(e.Statement); tag != "" && !refusedByInstance[e.Error] {
			ran[tag]++
		}
	}
	single := map[string]bool{}
	for _, tag := range r.single {
		single[tag] = true
	}
	for _, w := range r.history.Writes {
		switch n := ran[w.Tag]; {
		case !single[w.Tag]:
		case w.Outcome == history.NotRun && n > 0:
			all = append(all, history.Violation{Rule: history.RuleNotRun, Detail: fmt.Sprintf("write %s is %d times in the journal", w.Tag, n)})
		case n > 1:
			all = append(all, history.Violation{Rule: history.RuleDuplicateWrite, Detail: fmt.Sprintf("write %s is %d times in the journal", w.Tag, n)})
		}
	}
	return all
}

// checkTerms verifies that each term had one primary.
func checkTerms(g *group.Group, journal []group.Entry) (all []history.Violation) {
	primaries := map[gypsumyard.Term]string{}
	for _, e := range journal {
		if !e.Committed || e.Position.IsZero() {
			continue
		}
		term := e.Position.Term
		if p, ok := primaries[term]; ok && p != e.Instance {
			all = append(all, history.Violation{Rule: "two-primaries", Detail: fmt.Sprintf("%s and %s wrote in term %d of %s", p, e.Instance, term, g.Name())})
			continue
		}
		primaries[term] = e.Instance
	}
	return all
}
