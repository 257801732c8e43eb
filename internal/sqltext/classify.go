package sqltext

import "github.com/gypsumyard/gypsumyard"

// A cursor walks over tokens.
type cursor struct {
	tokens []token
	pos    int
}

func (c *cursor) peek() token {
	if c.pos < len(c.tokens) {
		return c.tokens[c.pos]
	}
	return token{}
}

// peekSecond returns the token after the next one.
func (c *cursor) peekSecond() token {
	if c.pos+1 < len(c.tokens) {
		return c.tokens[c.pos+1]
	}
	return token{}
}

func (c *cursor) next() token {
	t := c.peek()
	if c.pos < len(c.tokens) {
		c.pos++
	}
	return t
}

// accept moves past the next token if it is one of the words.
func (c *cursor) accept(words ...string) bool {
	if !c.peek().is(words...) {
		return false
	}
	c.pos++
	return true
}

func (c *cursor) done() bool { return c.pos >= len(c.tokens) }

// identifier returns the next token as a name.
func (c *cursor) identifier() (string, bool) {
	t := c.next()
	return t.text, t.name()
}

func (s *Statement) refuse(reason string) {
	s.Kind = KindRefused
	s.Refusal = reason
}

// leaks ends the refusals of what would change the session of another caller.
const leaks = " is not supported: upstream connections are shared between sessions"

// classify sets the kind and the class of a statement with tokens.
func classify(s *Statement, tokens []token) {
	c := &cursor{tokens: tokens}
	if reason := sessionState(tokens); reason != "" {
		s.refuse(reason)
		return
	}
	if tokens[0].punct("(") {
		classifyQuery(s, tokens)
		return
	}
	switch first := c.next(); first.text {
	case "select", "values", "table", "with", "explain":
		classifyQuery(s, tokens)
	case "begin", "start":
		classifyBegin(s, c)
	case "commit", "end", "rollback", "abort":
		classifyEnd(s, c, first.text)
	case "savepoint", "release":
		classifySavepoint(s, c, first.text)
	case "set":
		classifySet(s, c)
	case "reset":
		classifyReset(s, c)
	case "show":
		classifyShow(s, c)
	case "deallocate":
		classifyDeallocate(s, c)
	case "discard":
		s.Kind = KindDiscard
		s.Name = c.next().text
	default:
		classifyOther(s, c, first)
	}
}

// classifyOther refuses what the proxy does not carry. Everything else is a
// write.
func classifyOther(s *Statement, c *cursor, first token) {
	switch first.text {
	case "copy":
		s.refuse("COPY is not supported")
	case "prepare":
		if c.accept("transaction") {
			s.refuse("two-phase commit is not supported")
			return
		}
		s.refuse("PREPARE as a statement is not supported: use the extended protocol")
	case "execute":
		s.refuse("EXECUTE as a statement is not supported: use the extended protocol")
	case "listen", "unlisten", "notify":
		s.refuse("LISTEN, UNLISTEN and NOTIFY are not supported")
	case "load":
		s.refuse("LOAD" + leaks)
	case "do":
		if blockKeepsState(c.tokens) {
			s.refuse("a DO block that changes session state" + leaks)
		}
	}
}

// sessionState returns why the statement would leave state in the upstream
// session, or nothing.
func sessionState(tokens []token) string {
	for i, t := range tokens {
		switch {
		case t.name() && sessionFunctions[t.text] && isCall(tokens, i) && !setsLocally(tokens, i):
			return "function " + t.text + leaks
		case t.name() && controlFunctions[t.text] && isCall(tokens, i):
			return "function " + t.text + " is not supported: the proxy decides which instance is the primary"
		case t.name() && t.text == "pg_temp":
			return "schema pg_temp" + leaks
		case t.is("temp", "temporary") && makesTemporary(tokens, i):
			return "a temporary table" + leaks
		case t.is("hold") && i > 0 && tokens[i-1].is("with") && declares(tokens):
			return "a cursor WITH HOLD" + leaks
		}
	}
	return ""
}

// maxConfigTokens bounds the arguments of set_config that are looked through:
// nested calls would take time beyond the length of the statement.
const maxConfigTokens = 200

// setsLocally reports whether the call at i is one of set_config whose last
// argument is the word true: the effect ends with the transaction.
func setsLocally(tokens []token, i int) bool {
	if tokens[i].text != "set_config" {
		return false
	}
	depth := 0
	for j := i + 1; j < min(len(tokens), i+maxConfigTokens); j++ {
		switch {
		case tokens[j].punct("("):
			depth++
		case tokens[j].punct(")"):
			depth--
		}
		if depth == 0 {
			return j > i+2 && tokens[j-1].is("true") && tokens[j-2].punct(",")
		}
	}
	return false
}

func isCall(tokens []token, i int) bool {
	return i+1 < len(tokens) && tokens[i+1].punct("(")
}

// makesTemporary reports whether the word at i belongs to CREATE [OR REPLACE]
// [GLOBAL|LOCAL] TEMP or to INTO TEMP.
func makesTemporary(tokens []token, i int) bool {
	for j := i - 1; j >= 0; j-- {
		if tokens[j].is("create", "into") {
			return true
		}
		if !tokens[j].is("or", "replace", "global", "local") {
			return false
		}
	}
	return false
}

func declares(tokens []token) bool {
	return tokens[0].is("declare") || tokens[0].is("explain")
}

// blockKeepsState looks into the strings of a DO statement.
func blockKeepsState(tokens []token) bool {
	for _, t := range tokens {
		if t.kind == tokenString && bodyKeepsState(t.text, 0) {
			return true
		}
	}
	return false
}

// maxNesting bounds how deep strings within strings are looked into. Deeper
// ones are refused.
const maxNesting = 8

func bodyKeepsState(body string, depth int) bool {
	if depth > maxNesting {
		return true
	}
	l := lexer{src: body}
	var tokens []token
	for t := l.next(); t.kind != tokenEnd; t = l.next() {
		tokens = append(tokens, t)
	}
	for i, t := range tokens {
		starts := i == 0 || tokens[i-1].punct(";") || tokens[i-1].is("begin", "then", "else", "loop")
		if starts && t.is("set", "reset", "listen", "notify", "prepare", "load", "discard") {
			return true
		}
		if t.kind == tokenString && bodyKeepsState(t.text, depth+1) {
			return true
		}
	}
	return sessionState(tokens) != ""
}

// classifyQuery finds out whether a query only reads.
func classifyQuery(s *Statement, tokens []token) {
	if tokens[0].is("explain") && explainsOther(tokens) {
		return
	}
	for i, t := range tokens {
		if sequenceFunctions[t.text] && isCall(tokens, i) {
			s.RefusalOutsideTransaction = "function " + t.text + " outside a transaction" + leaks
		}
		if mayWrite(tokens, i) {
			return
		}
	}
	s.Class = gypsumyard.StatementRead
}

// explainsOther reports whether EXPLAIN is given something that is not a query,
// such as EXECUTE or CREATE TABLE AS.
func explainsOther(tokens []token) bool {
	c := &cursor{tokens: tokens, pos: 1}
	if c.peek().punct("(") {
		for !c.done() && !c.next().punct(")") {
		}
	}
	for c.accept("analyze", "verbose") {
	}
	t := c.peek()
	return !t.punct("(") && !t.is("select", "values", "table", "with")
}

// mayWrite reports whether the token at i makes a query one that may write.
func mayWrite(tokens []token, i int) bool {
	t := tokens[i]
	if t.is("insert", "update", "delete", "merge", "into", "call", "execute") {
		return true
	}
	if t.is("for") && i+1 < len(tokens) && tokens[i+1].is("update", "share", "no", "key") {
		return true
	}
	if !t.name() || !isCall(tokens, i) {
		return false
	}
	if t.kind == tokenWord && callWords[t.text] && !qualified(tokens, i) {
		return false
	}
	return !columnList(tokens, i) && !(readFunctions[t.text] && systemCall(tokens, i))
}

func qualified(tokens []token, i int) bool { return i > 0 && tokens[i-1].punct(".") }

// systemCall reports whether the function at i is unqualified or belongs to
// pg_catalog.
func systemCall(tokens []token, i int) bool {
	if !qualified(tokens, i) {
		return true
	}
	return i > 1 && tokens[i-2].text == "pg_catalog" && !qualified(tokens, i-2)
}

// columnList reports whether the name at i is an alias or the name of a WITH
// query that is followed by a list of columns: the list holds names only and,
// after WITH, is followed by AS. A name that follows a closing parenthesis can
// only be an alias.
func columnList(tokens []token, i int) bool {
	if i == 0 || !tokens[i-1].is("as", "with", "recursive") && !tokens[i-1].punct(")") {
		return false
	}
	j := i + 2
	for j < len(tokens) && (tokens[j].name() || tokens[j].punct(",")) {
		j++
	}
	if j >= len(tokens) || !tokens[j].punct(")") {
		return false
	}
	if !tokens[i-1].is("with", "recursive") {
		return true
	}
	return j+2 < len(tokens) && tokens[j+1].is("as") && (tokens[j+2].punct("(") || tokens[j+2].is("materialized", "not"))
}
