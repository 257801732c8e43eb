package sqlparse

import (
	"regexp"
	"strings"
	"time"
)

// Parse parses a query string with any number of statements. All its errors have
// type *Error.
func Parse(source string) (list []ParsedStatement, err error) {
	tokens, comments, err := tokenize(source)
	if err != nil {
		return nil, err
	}
	p := &parser{source: source, tokens: tokens}
	defer func() {
		switch r := recover().(type) {
		case nil:
		case *Error:
			list, err = nil, r
		default:
			panic(r)
		}
	}()
	from := 0
	for {
		if p.accept(";") {
			from = p.tokens[p.pos-1].end
			continue
		}
		if p.peek().kind == tokenEnd {
			return list, nil
		}
		s := p.statement()
		if p.peek().kind != tokenEnd && p.peek().text != ";" {
			p.fail(p.peek())
		}
		end := p.peek().start
		list = append(list, ParsedStatement{
			Statement: s,
			Text:      strings.TrimSpace(source[from:end]),
			Cost:      cost(comments, from, end),
		})
	}
}

var costComment = regexp.MustCompile(`\bcost=([0-9.]+(?:us|ms|s|m))\b`)

// cost returns the service time that a comment between two offsets sets, or zero.
func cost(comments []token, from, end int) time.Duration {
	for _, c := range comments {
		if c.start < from || c.start > end {
			continue
		}
		m := costComment.FindStringSubmatch(c.text)
		if m == nil {
			continue
		}
		if d, err := time.ParseDuration(m[1]); err == nil {
			return d
		}
	}
	return 0
}

// A parser is a recursive-descent parser. It reports errors by panicking with an
// *Error, which Parse recovers and returns.
type parser struct {
	source string
	tokens []token
	pos    int
	// depth is the nesting depth of the expression being parsed.
	depth int
}

// maxDepth limits the nesting depth of expressions and thereby the stack size.
const maxDepth = 500

// reserved holds the words that cannot be unquoted column names or aliases.
var reserved = map[string]bool{
	"select": true, "from": true, "where": true, "order": true, "limit": true, "offset": true,
	"and": true, "or": true, "not": true, "as": true, "into": true, "values": true, "set": true,
	"returning": true, "on": true, "for": true, "group": true, "having": true, "union": true,
	"join": true, "in": true, "is": true, "desc": true, "asc": true, "primary": true,
	"create": true, "table": true, "default": true, "left": true, "inner": true, "distinct": true,
}

func (p *parser) peek() token { return p.tokens[p.pos] }

func (p *parser) advance() token {
	t := p.tokens[p.pos]
	if t.kind != tokenEnd {
		p.pos++
	}
	return t
}

// accept consumes the next token if it is the given word or operator.
func (p *parser) accept(text string) bool {
	t := p.peek()
	if (t.kind != tokenWord && t.kind != tokenOperator) || t.text != text {
		return false
	}
	p.pos++
	return true
}

// acceptAll consumes the given words if all of them follow in this order.
func (p *parser) acceptAll(words ...string) bool {
	start := p.pos
	for _, w := range words {
		if !p.accept(w) {
			p.pos = start
			return false
		}
	}
	return true
}

func (p *parser) expect(text string) {
	if !p.accept(text) {
		p.fail(p.peek())
	}
}

func (p *parser) fail(t token) {
	if t.kind == tokenEnd {
		panic(Errorf(syntaxError, "syntax error at end of input"))
	}
	panic(Errorf(syntaxError, "syntax error at or near %q", p.source[t.start:t.end]))
}

func (p *parser) unsupported(what string) {
	panic(Errorf(featureNotSupported, "%s is not supported", what))
}

// name parses an identifier.
func (p *parser) name() string {
	t := p.advance()
	if t.kind == tokenQuoted || t.kind == tokenWord && !reserved[t.text] {
		return t.text
	}
	p.fail(t)
	return ""
}

// tableName parses the name of a table. It ignores a schema name.
func (p *parser) tableName() string {
	n := p.name()
	for p.accept(".") {
		n = p.name()
	}
	return n
}

func (p *parser) nameList() (list []string) {
	for {
		list = append(list, p.name())
		if !p.accept(",") {
			p.expect(")")
			return list
		}
	}
}

func (p *parser) statement() Statement {
	t := p.advance()
	if t.kind != tokenWord {
		p.fail(t)
	}
	switch t.text {
	case "select":
		return p.selectRest()
	case "insert":
		return p.insertRest()
	case "update":
		return p.updateRest()
	case "delete":
		return p.deleteRest()
	case "create":
		return p.createRest()
	case "drop":
		return p.dropRest()
	case "begin", "start":
		return p.beginRest()
	case "commit", "end":
		p.skipNoiseWord()
		return &Commit{}
	case "rollback", "abort":
		p.skipNoiseWord()
		if p.accept("to") {
			p.unsupported("ROLLBACK TO SAVEPOINT")
		}
		return &Rollback{}
	}
	return p.sessionStatement(t)
}

// skipNoiseWord skips the optional word WORK or TRANSACTION.
func (p *parser) skipNoiseWord() {
	if !p.accept("work") {
		p.accept("transaction")
	}
}

func (p *parser) beginRest() Statement {
	p.skipNoiseWord()
	return &Begin{ReadOnly: p.transactionModes()}
}

// transactionModes parses the modes of a transaction and returns the access mode.
// It accepts all isolation levels, but they all mean read committed.
func (p *parser) transactionModes() (readOnly bool) {
	for {
		switch {
		case p.acceptAll("read", "only"):
			readOnly = true
		case p.acceptAll("read", "write"):
			readOnly = false
		case p.acceptAll("isolation", "level"):
			if !p.accept("serializable") && !p.acceptAll("read", "committed") &&
				!p.acceptAll("read", "uncommitted") && !p.acceptAll("repeatable", "read") {
				p.fail(p.peek())
			}
		case p.accept(","), p.accept("deferrable"), p.acceptAll("not", "deferrable"):
		default:
			return readOnly
		}
	}
}
