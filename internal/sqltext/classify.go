package sqltext

import "github.com/gypsumyard/gypsumyard"

// A cursor is a read position in a list of tokens.
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

// accept consumes the next token if it is one of the words.
func (c *cursor) accept(words ...string) bool {
	if !c.peek().is(words...) {
		return false
	}
	c.pos++
	return true
}

func (c *cursor) done() bool { return c.pos >= len(c.tokens) }

// identifier consumes the next token and returns its text, and whether it is an
// identifier or a key word.
func (c *cursor) identifier() (string, bool) {
	t := c.next()
	return t.text, t.isName()
}

func (s *Statement) refuse(reason string) {
	s.Kind = KindRefused
	s.Refusal = reason
}

// sharedSessionRefusal ends the refusals of statements that would affect the
// sessions of other callers.
const sharedSessionRefusal = " is not supported: upstream connections are shared between sessions"

// classify sets the kind and the class of a statement. There is at least one
// token.
func classify(s *Statement, tokens []token) {
	c := &cursor{tokens: tokens}
	if reason := sessionStateRefusal(tokens); reason != "" {
		s.refuse(reason)
		return
	}
	if tokens[0].isPunct("(") {
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

// classifyOther refuses the statements that the proxy does not support. All
// others are writes.
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
		s.refuse("LOAD" + sharedSessionRefusal)
	case "do":
		if doBlockChangesSession(c.tokens) {
			s.refuse("a DO block that changes session state" + sharedSessionRefusal)
		}
	}
}

// sessionStateRefusal returns why the statement is refused because it would
// leave state in the upstream session, act on other sessions, or change the
// primary. It returns the empty string if it would not.
func sessionStateRefusal(tokens []token) string {
	for i, t := range tokens {
		switch {
		case t.isName() && sessionFunctions[t.text] && isCall(tokens, i) && !isLocalSetConfig(tokens, i):
			return "function " + t.text + sharedSessionRefusal
		case t.isName() && controlFunctions[t.text] && isCall(tokens, i):
			return "function " + t.text + " is not supported: the proxy decides which instance is the primary"
		case t.isName() && t.text == "pg_temp":
			return "schema pg_temp" + sharedSessionRefusal
		case t.is("temp", "temporary") && createsTemporary(tokens, i):
			return "a temporary table" + sharedSessionRefusal
		case t.is("hold") && i > 0 && tokens[i-1].is("with") && declaresCursor(tokens):
			return "a cursor WITH HOLD" + sharedSessionRefusal
		}
	}
	return ""
}

// maxSetConfigTokens limits how far the arguments of one set_config call are
// scanned: with nested calls, the scan would otherwise take time quadratic in
// the length of the statement.
const maxSetConfigTokens = 200

// isLocalSetConfig reports whether the call at i is one of set_config whose last
// argument is the literal true: its effect ends with the transaction.
func isLocalSetConfig(tokens []token, i int) bool {
	if tokens[i].text != "set_config" {
		return false
	}
	depth := 0
	for j := i + 1; j < min(len(tokens), i+maxSetConfigTokens); j++ {
		switch {
		case tokens[j].isPunct("("):
			depth++
		case tokens[j].isPunct(")"):
			depth--
		}
		if depth == 0 {
			return j > i+2 && tokens[j-1].is("true") && tokens[j-2].isPunct(",")
		}
	}
	return false
}

func isCall(tokens []token, i int) bool {
	return i+1 < len(tokens) && tokens[i+1].isPunct("(")
}

// createsTemporary reports whether the word at i belongs to CREATE [OR REPLACE]
// [GLOBAL|LOCAL] TEMP or to INTO TEMP.
func createsTemporary(tokens []token, i int) bool {
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

func declaresCursor(tokens []token) bool {
	return tokens[0].is("declare") || tokens[0].is("explain")
}

// doBlockChangesSession reports whether the body of a DO statement may change
// session state. It examines each string of the statement. The text of a string with
// an escape character of its own is not known.
func doBlockChangesSession(tokens []token) bool {
	for _, t := range tokens {
		if t.is("uescape") {
			return true
		}
		if t.kind == tokenString && bodyChangesSession(t.text, 0) {
			return true
		}
	}
	return false
}

// maxNesting limits the depth to which strings within strings are examined.
// Deeper ones are refused.
const maxNesting = 8

func bodyChangesSession(body string, depth int) bool {
	if depth > maxNesting {
		return true
	}
	l := lexer{src: body}
	var tokens []token
	for t := l.next(); t.kind != tokenEnd; t = l.next() {
		tokens = append(tokens, t)
	}
	for i, t := range tokens {
		if t.is("uescape") {
			return true
		}
		starts := i == 0 || tokens[i-1].isPunct(";") || tokens[i-1].is("begin", "then", "else", "loop")
		if starts && t.is("set", "reset", "listen", "notify", "prepare", "load", "discard") {
			return true
		}
		if t.kind == tokenString && bodyChangesSession(t.text, depth+1) {
			return true
		}
	}
	return sessionStateRefusal(tokens) != ""
}

// classifyQuery classifies a query as a read if none of its tokens may write.
func classifyQuery(s *Statement, tokens []token) {
	if tokens[0].is("explain") && explainsNonQuery(tokens) {
		return
	}
	for i, t := range tokens {
		if sessionSequenceFunctions[t.text] && isCall(tokens, i) {
			s.RefusalOutsideTransaction = "function " + t.text + " outside a transaction" + sharedSessionRefusal
		}
		if mayWrite(tokens, i) {
			return
		}
	}
	s.Class = gypsumyard.StatementRead
}

// explainsNonQuery reports whether EXPLAIN is applied to a statement that is not
// a query, such as EXECUTE or CREATE TABLE AS.
func explainsNonQuery(tokens []token) bool {
	c := &cursor{tokens: tokens, pos: 1}
	if c.peek().isPunct("(") {
		for !c.done() && !c.next().isPunct(")") {
		}
	}
	for c.accept("analyze", "verbose") {
	}
	t := c.peek()
	return !t.isPunct("(") && !t.is("select", "values", "table", "with")
}

// mayWrite reports whether the token at i means that the query may write.
func mayWrite(tokens []token, i int) bool {
	t := tokens[i]
	if t.is("insert", "update", "delete", "merge", "into", "call", "execute") {
		return true
	}
	if t.is("for") && i+1 < len(tokens) && tokens[i+1].is("update", "share", "no", "key") {
		return true
	}
	if !t.isName() || !isCall(tokens, i) {
		return false
	}
	if t.kind == tokenWord && nonFunctionWords[t.text] && !isQualified(tokens, i) {
		return false
	}
	return !startsColumnList(tokens, i) && !(readFunctions[t.text] && isBuiltinCall(tokens, i))
}

func isQualified(tokens []token, i int) bool { return i > 0 && tokens[i-1].isPunct(".") }

// isBuiltinCall reports whether the function at i is unqualified or belongs to
// pg_catalog.
func isBuiltinCall(tokens []token, i int) bool {
	if !isQualified(tokens, i) {
		return true
	}
	return i > 1 && tokens[i-2].text == "pg_catalog" && !isQualified(tokens, i-2)
}

// startsColumnList reports whether the name at i is not a function, but an alias
// or the name of a WITH query, followed by a list of columns: the list consists
// of names and, after WITH, is followed by AS. A name that follows a closing
// parenthesis can only be an alias.
func startsColumnList(tokens []token, i int) bool {
	if i == 0 || !tokens[i-1].is("as", "with", "recursive") && !tokens[i-1].isPunct(")") {
		return false
	}
	j := i + 2
	for j < len(tokens) && (tokens[j].isName() || tokens[j].isPunct(",")) {
		j++
	}
	if j >= len(tokens) || !tokens[j].isPunct(")") {
		return false
	}
	if !tokens[i-1].is("with", "recursive") {
		return true
	}
	return j+2 < len(tokens) && tokens[j+1].is("as") && (tokens[j+2].isPunct("(") || tokens[j+2].is("materialized", "not"))
}
