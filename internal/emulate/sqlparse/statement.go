package sqlparse

import "strings"

func (p *parser) selectRest() *Select {
	s := &Select{}
	if p.accept("distinct") {
		p.unsupported("DISTINCT")
	}
	s.Items = p.items()
	if p.accept("from") {
		s.From = p.fromSource()
	}
	if p.accept("where") {
		s.Where = p.expr()
	}
	if p.accept("group") {
		p.unsupported("GROUP BY")
	}
	if p.acceptAll("order", "by") {
		s.OrderBy = p.orderKeys()
	}
	for {
		switch {
		case p.accept("limit"):
			if !p.accept("all") {
				s.Limit = p.expr()
			}
		case p.accept("offset"):
			s.Offset = p.expr()
		case p.acceptAll("for", "update"):
			s.ForUpdate = true
		default:
			return s
		}
	}
}

func (p *parser) items() (list []SelectItem) {
	for {
		list = append(list, p.item())
		if !p.accept(",") {
			return list
		}
	}
}

func (p *parser) item() SelectItem {
	if p.accept("*") {
		return SelectItem{Star: true}
	}
	i := SelectItem{Expr: p.expr()}
	i.Alias = p.alias()
	return i
}

// alias parses an optional alias with or without AS.
func (p *parser) alias() string {
	if p.accept("as") {
		return p.name()
	}
	if t := p.peek(); t.kind == tokenQuoted || t.kind == tokenWord && !reserved[t.text] {
		return p.name()
	}
	return ""
}

func (p *parser) fromSource() *Source {
	t := p.peek()
	name := p.tableName()
	s := &Source{Table: name}
	if p.accept("(") {
		s.Table = ""
		s.Func = &Call{Name: name, Args: p.exprList()}
	}
	s.Alias = p.alias()
	if s.Func != nil && p.accept("(") {
		// In generate_series(1, 3) AS s(i), the column alias i takes effect, not
		// the table alias s.
		s.Alias = p.nameList()[0]
	}
	if p.peek().text == "," || p.accept("join") || p.accept("left") || p.accept("inner") {
		p.unsupported("a join with " + t.text)
	}
	return s
}

func (p *parser) orderKeys() (keys []OrderKey) {
	for {
		o := OrderKey{Expr: p.expr()}
		if p.accept("desc") {
			o.Desc = true
		} else {
			p.accept("asc")
		}
		keys = append(keys, o)
		if !p.accept(",") {
			return keys
		}
	}
}

func (p *parser) insertRest() Statement {
	p.expect("into")
	s := &Insert{Table: p.tableName()}
	if p.accept("(") {
		s.Columns = p.nameList()
	}
	if p.accept("select") {
		s.Select = p.selectRest()
	} else {
		p.expect("values")
		s.Rows = p.valueRows()
	}
	if p.acceptAll("on", "conflict") {
		if p.accept("(") {
			p.nameList()
		}
		p.expect("do")
		if !p.accept("nothing") {
			p.unsupported("ON CONFLICT DO UPDATE")
		}
		s.OnConflictNothing = true
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) valueRows() (rows [][]Expr) {
	for {
		p.expect("(")
		rows = append(rows, p.exprList())
		if !p.accept(",") {
			return rows
		}
	}
}

func (p *parser) returning() []SelectItem {
	if p.accept("returning") {
		return p.items()
	}
	return nil
}

func (p *parser) updateRest() Statement {
	s := &Update{Table: p.tableName()}
	p.expect("set")
	for {
		a := Assignment{Column: p.name()}
		p.expect("=")
		a.Expr = p.expr()
		s.Set = append(s.Set, a)
		if !p.accept(",") {
			break
		}
	}
	if p.accept("where") {
		s.Where = p.expr()
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) deleteRest() Statement {
	p.expect("from")
	s := &Delete{Table: p.tableName()}
	if p.accept("where") {
		s.Where = p.expr()
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) createRest() Statement {
	p.expect("table")
	s := &CreateTable{}
	s.IfNotExists = p.acceptAll("if", "not", "exists")
	s.Table = p.tableName()
	p.expect("(")
	for {
		if p.acceptAll("primary", "key") {
			p.expect("(")
			s.PrimaryKey = p.nameList()
		} else {
			p.columnDef(s)
		}
		if !p.accept(",") {
			p.expect(")")
			return s
		}
	}
}

func (p *parser) columnDef(s *CreateTable) {
	c := ColumnDef{Name: p.name(), Type: p.typeName()}
	for {
		switch {
		case p.acceptAll("primary", "key"):
			s.PrimaryKey = []string{c.Name}
			c.NotNull = true
		case p.acceptAll("not", "null"):
			c.NotNull = true
		case p.accept("null"):
		case p.accept("default"):
			c.Default = p.unary()
		default:
			s.Columns = append(s.Columns, c)
			return
		}
	}
}

func (p *parser) dropRest() Statement {
	p.expect("table")
	ifExists := p.acceptAll("if", "exists")
	return &DropTable{Table: p.tableName(), IfExists: ifExists}
}

func (p *parser) sessionStatement(t token) Statement {
	switch t.text {
	case "set":
		return p.setRest()
	case "show":
		return &Show{Name: p.settingName()}
	case "reset":
		if p.accept("all") {
			return &Reset{}
		}
		return &Reset{Name: p.settingName()}
	case "discard":
		p.expect("all")
		return &Discard{}
	case "deallocate":
		p.accept("prepare")
		if p.accept("all") {
			return &Deallocate{}
		}
		return &Deallocate{Name: p.name()}
	case "savepoint", "release":
		p.unsupported("SAVEPOINT")
	case "alter", "truncate", "copy", "prepare", "execute", "declare", "fetch", "listen", "notify",
		"lock", "with", "explain", "vacuum", "analyze", "grant", "merge":
		p.unsupported(strings.ToUpper(t.text))
	}
	p.fail(t)
	return nil
}

func (p *parser) setRest() Statement {
	s := &Set{}
	s.Local = p.accept("local")
	if !s.Local {
		p.accept("session")
	}
	if p.accept("transaction") {
		return &SetTransaction{ReadOnly: p.transactionModes()}
	}
	if p.acceptAll("time", "zone") {
		s.Name = "timezone"
	} else {
		s.Name = p.settingName()
		if !p.accept("=") {
			p.expect("to")
		}
	}
	if p.accept("default") {
		s.Default = true
		return s
	}
	s.Value = p.settingValue()
	for p.accept(",") {
		s.Value += ", " + p.settingValue()
	}
	return s
}

// settingName parses the name of a parameter, which may contain dots.
func (p *parser) settingName() string {
	if p.acceptAll("transaction", "isolation", "level") {
		return "transaction_isolation"
	}
	n := p.name()
	for p.accept(".") {
		n += "." + p.name()
	}
	return strings.ToLower(n)
}

func (p *parser) settingValue() string {
	sign := ""
	if p.accept("-") {
		sign = "-"
	}
	t := p.advance()
	if t.kind == tokenEnd || t.kind == tokenOperator || t.kind == tokenParam {
		p.fail(t)
	}
	return sign + t.text
}
