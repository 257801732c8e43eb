package sqlparse

import "time"

// A Type is the name of a data type. Empty means not known.
type Type string

// The data types.
const (
	Int2        Type = "int2"
	Int4        Type = "int4"
	Int8        Type = "int8"
	Float8      Type = "float8"
	Text        Type = "text"
	Bool        Type = "bool"
	Timestamptz Type = "timestamptz"
	Void        Type = "void"
)

// A ParsedStatement is one statement of a query string.
type ParsedStatement struct {
	Statement Statement
	// Text is the statement's own part of the source.
	Text string
	// Cost is the service time that a comment such as /* cost=5ms */ asks
	// for. Zero if there is none.
	Cost time.Duration
}

// A Statement is one SQL statement.
type Statement interface {
	// Verb is the statement's first word or words, as in its command tag.
	Verb() string
}

// A Select reads rows.
type Select struct {
	Items     []SelectItem
	From      *Source
	Where     Expr
	OrderBy   []OrderKey
	Limit     Expr
	Offset    Expr
	ForUpdate bool
}

// A SelectItem is one output column.
type SelectItem struct {
	Star  bool
	Expr  Expr
	Alias string
}

// A Source is what a Select reads from: a table or a function.
type Source struct {
	Table string
	Func  *Call
	Alias string
}

// An OrderKey is one key of ORDER BY.
type OrderKey struct {
	Expr Expr
	Desc bool
}

// An Insert adds rows, either given or selected.
type Insert struct {
	Table             string
	Columns           []string
	Rows              [][]Expr
	Select            *Select
	OnConflictNothing bool
	Returning         []SelectItem
}

// An Update changes rows.
type Update struct {
	Table     string
	Set       []Assignment
	Where     Expr
	Returning []SelectItem
}

// An Assignment sets one column.
type Assignment struct {
	Column string
	Expr   Expr
}

// A Delete removes rows.
type Delete struct {
	Table     string
	Where     Expr
	Returning []SelectItem
}

// A CreateTable defines a table.
type CreateTable struct {
	Table       string
	IfNotExists bool
	Columns     []ColumnDef
	PrimaryKey  []string
}

// A ColumnDef defines a column.
type ColumnDef struct {
	Name    string
	Type    Type
	NotNull bool
	Default Expr
}

// A DropTable removes a table.
type DropTable struct {
	Table    string
	IfExists bool
}

// A Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// A Commit ends a transaction and keeps its work.
type Commit struct{}

// A Rollback ends a transaction and drops its work.
type Rollback struct{}

// A Set changes a setting of the session or, if Local, of the transaction.
type Set struct {
	Name    string
	Value   string
	Default bool
	Local   bool
}

// A SetTransaction changes the open transaction.
type SetTransaction struct{ ReadOnly bool }

// A Show reads a setting.
type Show struct{ Name string }

// A Reset restores one setting, or all if Name is empty.
type Reset struct{ Name string }

// A Discard clears the session: DISCARD ALL.
type Discard struct{}

// A Deallocate drops one prepared statement, or all if Name is empty.
type Deallocate struct{ Name string }

// Verb methods name the command.
func (*Select) Verb() string         { return "SELECT" }
func (*Insert) Verb() string         { return "INSERT" }
func (*Update) Verb() string         { return "UPDATE" }
func (*Delete) Verb() string         { return "DELETE" }
func (*CreateTable) Verb() string    { return "CREATE TABLE" }
func (*DropTable) Verb() string      { return "DROP TABLE" }
func (*Begin) Verb() string          { return "BEGIN" }
func (*Commit) Verb() string         { return "COMMIT" }
func (*Rollback) Verb() string       { return "ROLLBACK" }
func (*Set) Verb() string            { return "SET" }
func (*SetTransaction) Verb() string { return "SET" }
func (*Show) Verb() string           { return "SHOW" }
func (*Reset) Verb() string          { return "RESET" }
func (*Discard) Verb() string        { return "DISCARD ALL" }
func (*Deallocate) Verb() string     { return "DEALLOCATE" }

// An Expr is an expression.
type Expr interface{ expr() }

// A Literal is a constant: nil, int64, float64, string or bool.
type Literal struct{ Value any }

// A Param is $N.
type Param struct{ Number int }

// A Column refers to a column by name.
type Column struct{ Name string }

// A Binary applies an operator: = <> < > <= >= + - * / % || and or.
type Binary struct {
	Op          string
	Left, Right Expr
}

// A Unary applies "-" or "not".
type Unary struct {
	Op string
	X  Expr
}

// A Call calls a function. Star marks count(*).
type Call struct {
	Name string
	Args []Expr
	Star bool
}

// A Cast converts to a type.
type Cast struct {
	X    Expr
	Type Type
}

// An IsNull tests for null.
type IsNull struct {
	X   Expr
	Not bool
}

// An In tests for membership in a list.
type In struct {
	X    Expr
	List []Expr
}

func (*Literal) expr() {}
func (*Param) expr()   {}
func (*Column) expr()  {}
func (*Binary) expr()  {}
func (*Unary) expr()   {}
func (*Call) expr()    {}
func (*Cast) expr()    {}
func (*IsNull) expr()  {}
func (*In) expr()      {}

// Walk calls visit for x and all expressions below it.
func Walk(x Expr, visit func(Expr)) {
	if x == nil {
		return
	}
	visit(x)
	switch x := x.(type) {
	case *Binary:
		Walk(x.Left, visit)
		Walk(x.Right, visit)
	case *Unary:
		Walk(x.X, visit)
	case *Cast:
		Walk(x.X, visit)
	case *IsNull:
		Walk(x.X, visit)
	case *Call:
		walkAll(x.Args, visit)
	case *In:
		Walk(x.X, visit)
		walkAll(x.List, visit)
	}
}

func walkAll(list []Expr, visit func(Expr)) {
	for _, x := range list {
		Walk(x, visit)
	}
}
