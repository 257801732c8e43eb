package sqlparse

import (
	"slices"
	"strconv"
)

// operators lists the binary operators by precedence, lowest first.
var operators = [][]string{
	{"or"},
	{"and"},
	{"=", "<>", "!=", "<", ">", "<=", ">="},
	{"+", "-", "||"},
	{"*", "/", "%"},
}

func (p *parser) expr() Expr { return p.binary(0) }

func (p *parser) binary(level int) Expr {
	if level == len(operators) {
		return p.unary()
	}
	left := p.operand(level)
	for {
		t := p.peek()
		if t.kind != tokenOperator && t.kind != tokenWord || !slices.Contains(operators[level], t.text) {
			return left
		}
		p.advance()
		op := t.text
		if op == "!=" {
			op = "<>"
		}
		left = &Binary{Op: op, Left: left, Right: p.operand(level)}
	}
}

// comparisonLevel is the precedence of comparisons, IS NULL, IN and BETWEEN. NOT
// binds one level weaker.
const comparisonLevel = 2

func (p *parser) operand(level int) Expr {
	if level == comparisonLevel-1 && p.accept("not") {
		return &Unary{Op: "not", X: p.operand(level)}
	}
	x := p.binary(level + 1)
	if level != comparisonLevel {
		return x
	}
	switch {
	case p.accept("is"):
		not := p.accept("not")
		p.expect("null")
		return &IsNull{X: x, Not: not}
	case p.accept("in"):
		p.expect("(")
		return &In{X: x, List: p.exprList()}
	case p.accept("between"):
		low := p.binary(level + 1)
		p.expect("and")
		return &Binary{
			Op:    "and",
			Left:  &Binary{Op: ">=", Left: x, Right: low},
			Right: &Binary{Op: "<=", Left: x, Right: p.binary(level + 1)},
		}
	}
	return x
}

func (p *parser) unary() Expr {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxDepth {
		panic(Errorf("54001", "expression is nested too deeply"))
	}
	if p.accept("-") {
		return &Unary{Op: "-", X: p.unary()}
	}
	if p.accept("+") {
		return p.unary()
	}
	x := p.primary()
	for p.accept("::") {
		x = &Cast{X: x, Type: p.typeName()}
	}
	return x
}

func (p *parser) primary() Expr {
	t := p.advance()
	switch t.kind {
	case tokenNumber:
		return p.numberLiteral(t)
	case tokenString:
		return &Literal{Value: t.text}
	case tokenParam:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParams {
			p.fail(t)
		}
		return &Param{Number: n}
	case tokenQuoted:
		return p.columnOrCall(t)
	case tokenWord:
		return p.keywordOrName(t)
	case tokenOperator:
		if t.text == "(" {
			x := p.expr()
			p.expect(")")
			return x
		}
	}
	p.fail(t)
	return nil
}

// maxParams is the limit of the protocol, which sends the number of parameters in
// 16 bits.
const maxParams = 65535

func (p *parser) numberLiteral(t token) Expr {
	if n, err := strconv.ParseInt(t.text, 10, 64); err == nil {
		return &Literal{Value: n}
	}
	f, err := strconv.ParseFloat(t.text, 64)
	if err != nil {
		p.fail(t)
	}
	return &Literal{Value: f}
}

func (p *parser) keywordOrName(t token) Expr {
	switch t.text {
	case "null":
		return &Literal{}
	case "true", "false":
		return &Literal{Value: t.text == "true"}
	case "cast":
		p.expect("(")
		x := p.expr()
		p.expect("as")
		c := &Cast{X: x, Type: p.typeName()}
		p.expect(")")
		return c
	case "current_timestamp":
		return &Call{Name: "now"}
	case "current_user", "session_user":
		return &Call{Name: t.text}
	case "timestamptz":
		if s := p.peek(); s.kind == tokenString {
			p.advance()
			return &Cast{X: &Literal{Value: s.text}, Type: Timestamptz}
		}
	}
	if reserved[t.text] {
		p.fail(t)
	}
	return p.columnOrCall(t)
}

// columnOrCall parses a column reference or a function call that begins with the
// name t. It ignores qualifiers, since a statement reads from only one source.
func (p *parser) columnOrCall(t token) Expr {
	name := t.text
	for p.accept(".") {
		name = p.name()
	}
	if !p.accept("(") {
		return &Column{Name: name}
	}
	if p.accept("*") {
		p.expect(")")
		return &Call{Name: name, Star: true}
	}
	return &Call{Name: name, Args: p.exprList()}
}

// exprList parses the rest of a list, including its closing parenthesis.
func (p *parser) exprList() (list []Expr) {
	if p.accept(")") {
		return nil
	}
	for {
		list = append(list, p.expr())
		if !p.accept(",") {
			p.expect(")")
			return list
		}
	}
}

// typeNames maps the accepted type names to types.
var typeNames = map[string]Type{
	"int2": Int2, "smallint": Int2,
	"int4": Int4, "int": Int4, "integer": Int4, "serial": Int4,
	"int8": Int8, "bigint": Int8, "bigserial": Int8,
	"float8": Float8, "double": Float8, "real": Float8, "float4": Float8, "numeric": Float8,
	"text": Text, "varchar": Text, "char": Text, "character": Text, "name": Text,
	"bool": Bool, "boolean": Bool,
	"timestamptz": Timestamptz, "timestamp": Timestamptz,
}

func (p *parser) typeName() Type {
	t := p.advance()
	typ, ok := typeNames[t.text]
	if !ok || t.kind != tokenWord {
		panic(Errorf("42704", "type %q does not exist", t.text))
	}
	switch t.text {
	case "double":
		p.accept("precision")
	case "character":
		p.accept("varying")
	case "timestamp":
		if p.accept("with") {
			p.expect("time")
			p.expect("zone")
		}
	}
	if p.accept("(") {
		p.exprList()
	}
	return typ
}
