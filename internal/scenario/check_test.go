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

// A recorder collects the outcomes reported to the clients of one database.
type recorder struct {
	database string
	mu       sync.Mutex
	history  history.History
	// singleStatements are the tags of writes that consist of one statement.
	singleStatements []string
}

func (r *recorder) write(w history.Write, singleStatement bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Writes = append(r.history.Writes, w)
	if singleStatement {
		r.singleStatements = append(r.singleStatements, w.Tag)
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

// refusedByInstance are the SQLSTATEs that an instance returns only for
// statements that it did not run, for example because it is read-only or shuts
// down.
var refusedByInstance = map[string]bool{"25006": true, "57P01": true, "55000": true, "53300": true}

// check compares the recorded history with the rows and the journal of the
// group.
func (fx *fixture) check(database string) error {
	g, err := fx.group(database)
	if err != nil {
		return err
	}
	primary := g.Primary()
	if primary == nil {
		return fmt.Errorf("no primary of %s runs", database)
	}
	r := fx.recorder(database)
	r.mu.Lock()
	defer r.mu.Unlock()
	journal := g.Journal(0)
	r.history.Rows = countRows(primary)
	r.history.Executions = executionsOf(journal)
	all := history.Check(&r.history)
	all = append(all, r.checkExecutions(journal)...)
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

func executionsOf(journal []group.Entry) (executions []history.Execution) {
	for _, e := range journal {
		executions = append(executions, history.Execution{
			Instance: e.Instance, Transaction: e.Transaction, Tag: tagPattern.FindString(e.Statement),
			SlotTime: e.SlotTime, End: e.End,
		})
	}
	return executions
}

// checkExecutions verifies against the journal that single-statement writes that
// were refused as not run did not run, and that none of the others ran twice.
func (r *recorder) checkExecutions(journal []group.Entry) (all []history.Violation) {
	ran := map[string]int{}
	for _, e := range journal {
		if tag := tagPattern.FindString(e.Statement); tag != "" && !refusedByInstance[e.Error] {
			ran[tag]++
		}
	}
	singleStatement := map[string]bool{}
	for _, tag := range r.singleStatements {
		singleStatement[tag] = true
	}
	for _, w := range r.history.Writes {
		switch n := ran[w.Tag]; {
		case !singleStatement[w.Tag]:
		case w.Outcome == history.NotRun && n > 0:
			all = append(all, history.Violation{Rule: history.RuleNotRun, Detail: fmt.Sprintf("write %s is %d times in the journal", w.Tag, n)})
		case n > 1:
			all = append(all, history.Violation{Rule: history.RuleDuplicateWrite, Detail: fmt.Sprintf("write %s is %d times in the journal", w.Tag, n)})
		}
	}
	return all
}

// checkTerms verifies that each term had at most one primary.
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
