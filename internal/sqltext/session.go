package sqltext

import (
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

const (
	chainRefusal   = "AND CHAIN is not supported"
	setFormRefusal = "this form of SET or RESET is not supported"
)

func classifyBegin(s *Statement, c *cursor) {
	s.Kind = KindControl
	s.Class = gypsumyard.StatementBegin
	if c.tokens[0].is("start") && !c.peek().is("transaction") {
		s.Kind = KindPlain
		s.Class = gypsumyard.StatementWrite
		return
	}
	readOnly, serializable := false, false
	for !c.done() {
		switch t := c.next(); {
		case t.is("serializable"):
			serializable = true
		case t.is("read") && c.accept("only"):
			readOnly = true
		case t.is("read") && c.accept("write"):
			readOnly = false
		}
	}
	// Replicas do not run serializable transactions.
	if readOnly && !serializable {
		s.Class = gypsumyard.StatementBeginRead
	}
}

func classifyEnd(s *Statement, c *cursor, first string) {
	c.accept("work", "transaction")
	s.Kind = KindControl
	s.Class = gypsumyard.StatementCommit
	if first == "rollback" || first == "abort" {
		s.Class = gypsumyard.StatementRollback
	}
	switch {
	case c.accept("prepared"):
		s.refuse("two-phase commit is not supported")
	case first == "rollback" && c.accept("to"):
		c.accept("savepoint")
		s.Kind = KindRollbackTo
		s.Class = gypsumyard.StatementRead
		s.Name, _ = c.identifier()
	case c.accept("and"):
		if !c.accept("no") {
			s.refuse(chainRefusal)
		}
	}
}

// classifySavepoint classifies SAVEPOINT and RELEASE, which change no data.
func classifySavepoint(s *Statement, c *cursor, first string) {
	s.Kind = KindSavepoint
	s.Class = gypsumyard.StatementRead
	if first == "release" {
		s.Kind = KindRelease
		c.accept("savepoint")
	}
	s.Name, _ = c.identifier()
}

// classifySet classifies SET. The effect of SET LOCAL, SET TRANSACTION and SET
// CONSTRAINTS ends with the transaction, so they run upstream unchanged.
func classifySet(s *Statement, c *cursor) {
	if c.peek().is("transaction", "constraints") {
		s.Class = gypsumyard.StatementRead
		return
	}
	local := c.accept("local")
	if second := c.peekSecond(); !local && c.peek().is("session") && second.kind != tokenEnd && !second.isPunct("=") {
		c.next()
		if c.peek().is("characteristics") {
			parseCharacteristics(s, c)
			return
		}
	}
	if c.peek().is("role", "authorization") {
		s.refuse("SET ROLE and SET SESSION AUTHORIZATION are not supported")
		return
	}
	s.Kind = KindSet
	s.LocalText = "SET LOCAL " + s.Text[min(c.peek().start, len(s.Text)):]
	if !parseSpecialSet(s, c) {
		parseParameter(s, c)
	}
	if s.Kind == KindSet {
		checkParameter(s)
	}
	if local && s.Kind == KindSet {
		setLocal(s)
	}
}

// setLocal makes SET LOCAL run upstream unchanged, since its effect ends with the
// transaction. For parameters of the proxy it is refused.
func setLocal(s *Statement) {
	if s.IsProxyParameter() {
		s.refuse("SET LOCAL of " + s.Name + " is not supported")
		return
	}
	s.Kind = KindPlain
	s.Class = gypsumyard.StatementRead
}

// parseSpecialSet parses the forms of SET with a special syntax. It reports
// whether the statement has one of them.
func parseSpecialSet(s *Statement, c *cursor) bool {
	switch {
	case c.peek().is("time") && c.peekSecond().is("zone"):
		c.pos += 2
		s.Name = "timezone"
		if c.accept("local") {
			s.Default = true
			return true
		}
	case c.accept("names"):
		s.Name = "client_encoding"
	case c.peek().is("schema") && c.peekSecond().kind == tokenString:
		c.next()
		s.Name = "search_path"
		s.Value = quoteName(c.next().text)
		return true
	default:
		return false
	}
	parseValues(s, c)
	return true
}

// parseCharacteristics parses SET SESSION CHARACTERISTICS AS TRANSACTION with one
// mode.
func parseCharacteristics(s *Statement, c *cursor) {
	s.Kind = KindSet
	c.next()
	c.accept("as")
	c.accept("transaction")
	switch {
	case c.accept("read"):
		s.Name = "default_transaction_read_only"
		s.Value = "off"
		if c.accept("only") {
			s.Value = "on"
		} else if !c.accept("write") {
			s.Name = ""
		}
	case c.accept("isolation") && c.accept("level"):
		s.Name = "default_transaction_isolation"
		var words []string
		for !c.done() && !c.peek().isPunct(",") {
			words = append(words, strings.ReplaceAll(c.next().text, "'", ""))
		}
		s.Value = strings.Join(words, " ")
	}
	s.LocalText = "SET LOCAL " + s.Name + " = '" + s.Value + "'"
	if s.Name == "" || !c.done() {
		s.refuse("SET SESSION CHARACTERISTICS is supported with one transaction mode at a time")
	}
}

func parseParameter(s *Statement, c *cursor) {
	name, ok := parseParameterName(c)
	if !ok || !c.accept("to") && !c.peek().isPunct("=") {
		s.refuse(setFormRefusal)
		return
	}
	if c.peek().isPunct("=") {
		c.next()
	}
	s.Name = name
	parseValues(s, c)
}

// parseParameterName parses a name with its qualifiers, in lower case.
func parseParameterName(c *cursor) (name string, ok bool) {
	for {
		part, ok := c.identifier()
		if !ok {
			return "", false
		}
		name += strings.ToLower(part)
		if !c.peek().isPunct(".") {
			return name, true
		}
		c.next()
		name += "."
	}
}

func parseValues(s *Statement, c *cursor) {
	if c.accept("default") {
		s.Default = true
		if !c.done() {
			s.refuse(setFormRefusal)
		}
		return
	}
	var values []string
	for {
		value, ok := parseValue(s.Name, c)
		if !ok {
			s.refuse(setFormRefusal)
			return
		}
		values = append(values, value)
		if c.done() {
			break
		}
		if !c.next().isPunct(",") {
			s.refuse(setFormRefusal)
			return
		}
	}
	s.Value = strings.Join(values, ", ")
}

// listParameters are the parameters whose value is a list of names.
var listParameters = wordSet("search_path datestyle temp_tablespaces")

func parseValue(name string, c *cursor) (string, bool) {
	sign := ""
	for c.peek().isPunct("-") || c.peek().isPunct("+") {
		sign += c.next().text
	}
	switch t := c.next(); t.kind {
	case tokenNumber:
		return sign + t.text, true
	case tokenString, tokenQuoted:
		if listParameters[name] && name != "datestyle" {
			return quoteName(t.text), sign == ""
		}
		return t.text, sign == ""
	case tokenWord:
		return t.text, sign == ""
	}
	return "", false
}

func quoteName(name string) string {
	for i := range len(name) {
		if c := name[i]; !isIdentPart(c) || c >= 'A' && c <= 'Z' {
			return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
		}
	}
	if name == "" || !isIdentStart(name[0]) {
		return `"` + name + `"`
	}
	return name
}

// unsafeEncodings are the encodings whose multibyte characters contain ASCII
// bytes, which the lexer would misread.
var unsafeEncodings = wordSet("big5 win950 windows950 gbk win936 windows936 gb18030 sjis mskanji shiftjis win932 windows932 shiftjis2004 uhc win949 windows949 johab")

// checkParameter refuses parameters that affect how the proxy parses statements
// or which role the upstream session has.
func checkParameter(s *Statement) {
	if reason := SettingRefusal(s.Name, s.Value); reason != "" && !s.Default {
		s.refuse(reason)
	}
}

// SettingRefusal returns why a session may not set the parameter to the value,
// or the empty string if it may.
func SettingRefusal(name, value string) string {
	switch strings.ToLower(name) {
	case "role", "session_authorization":
		return "SET ROLE and SET SESSION AUTHORIZATION are not supported"
	case "standard_conforming_strings":
		if v := strings.ToLower(strings.TrimSpace(value)); v != "on" && v != "true" && v != "yes" && v != "1" {
			return "standard_conforming_strings = off is not supported"
		}
	case "client_encoding":
		plain := strings.NewReplacer("_", "", "-", "", " ", "").Replace(strings.ToLower(value))
		if unsafeEncodings[plain] {
			return "client encoding " + value + " is not supported"
		}
	}
	return ""
}

func classifyReset(s *Statement, c *cursor) {
	switch {
	case c.accept("all"):
		s.Kind = KindResetAll
	case c.peek().is("role", "session"):
		s.refuse("RESET ROLE and RESET SESSION AUTHORIZATION are not supported")
	case c.accept("time"):
		c.accept("zone")
		resetParameter(s, c, "timezone")
	default:
		start := c.peek().start
		name, ok := parseParameterName(c)
		if !ok {
			s.refuse(setFormRefusal)
			return
		}
		resetParameter(s, c, name)
		s.LocalText = "SET LOCAL " + s.Text[start:c.tokens[c.pos-1].end] + " TO DEFAULT"
	}
}

func resetParameter(s *Statement, c *cursor, name string) {
	if !c.done() {
		s.refuse(setFormRefusal)
		return
	}
	s.Kind = KindSet
	s.Name = name
	s.Default = true
	s.Reset = true
	s.LocalText = "SET LOCAL " + name + " TO DEFAULT"
}

// primaryParameters are the parameters whose values differ on replicas. Clients
// query them, as they call pg_is_in_recovery, to find out whether the server
// accepts writes.
var primaryParameters = wordSet("transaction_read_only in_hot_standby default_transaction_read_only")

func classifyShow(s *Statement, c *cursor) {
	s.Class = gypsumyard.StatementRead
	name, ok := parseParameterName(c)
	if primaryParameters[name] {
		s.Class = gypsumyard.StatementWrite
	}
	if ok && c.done() && strings.HasPrefix(name, ProxyPrefix) {
		s.Kind = KindShow
		s.Name = name
	}
}

func classifyDeallocate(s *Statement, c *cursor) {
	s.Kind = KindDeallocate
	c.accept("prepare")
	if c.accept("all") {
		s.All = true
		return
	}
	s.Name, _ = c.identifier()
}
