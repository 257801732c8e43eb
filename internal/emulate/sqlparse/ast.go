package sqlparse

import "time"

// A Type is the name of a data type. Empty means unknown.
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
	// Text is the part of the source that holds the statement.
	Text string
	// Cost is the service time that a comment such as /* cost=5ms */ sets. It is
	// zero if there is no such comment.
	Cost time.Duration
}

// A Statement is one SQL statement.
type Statement interface {
	// Verb returns the name of the command, as in its command tag.
	Verb() string
}

// A Select is a SELECT statement.
type Select struct {
	Items     []SelectItem
	From      *Source
	Where     Expr
	OrderBy   []OrderKey
	Limit     Expr
	Offset    Expr
	ForUpdate bool
}

// A SelectItem is one item of a SELECT or RETURNING list.
type SelectItem struct {
	Star  bool
	Expr  Expr
	Alias string
}

// A Source is the table or function in the FROM clause of a Select.
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

// An Insert is an INSERT statement with VALUES or a SELECT.
type Insert struct {
	Table             string
	Columns           []string
	Rows              [][]Expr
	Select            *Select
	OnConflictNothing bool
	Returning         []SelectItem
}

// An Update is an UPDATE statement.
type Update struct {
	Table     string
	Set       []Assignment
	Where     Expr
	Returning []SelectItem
}

// An Assignment assigns a value to a column in an Update.
type Assignment struct {
	Column string
	Expr   Expr
}

// A Delete is a DELETE statement.
type Delete struct {
	Table     string
	Where     Expr
	Returning []SelectItem
}

// A CreateTable is a CREATE TABLE statement.
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

// A DropTable is a DROP TABLE statement.
type DropTable struct {
	Table    string
	IfExists bool
}

// A Begin is a BEGIN or START TRANSACTION statement.
type Begin struct{ ReadOnly bool }

// A Commit is a COMMIT or END statement.
type Commit struct{}

// A Rollback is a ROLLBACK or ABORT statement.
type Rollback struct{}

// A Set changes a parameter of the session or, if Local, of the transaction.
type Set struct {
	Name    string
	Value   string
	Default bool
	Local   bool
}

// A SetTransaction changes the access mode of the open transaction.
type SetTransaction struct{ ReadOnly bool }

// A Show returns the value of a parameter.
type Show struct{ Name string }

// A Reset restores the default of one parameter, or of all if Name is empty.
type Reset struct{ Name string }

// A Discard is a DISCARD ALL statement, which resets the session.
type Discard struct{}

// A Deallocate removes one prepared statement, or all if Name is empty.
type Deallocate struct{ Name string }

// Verb implements [Statement].
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

// A Param is a parameter $N.
type Param struct{ Number int }

// A Column refers to a column by name.
type Column struct{ Name string }

// A Binary applies a binary operator: = <> < > <= >= + - * / % || and or.
type Binary struct {
	Op          string
	Left, Right Expr
}

// A Unary applies a unary operator: - or not.
type Unary struct {
	Op string
	X  Expr
}

// A Call is a function call. Star indicates the argument list (*), as in count(*).
type Call struct {
	Name string
	Args []Expr
	Star bool
}

// A Cast converts a value to a type.
type Cast struct {
	X    Expr
	Type Type
}

// An IsNull tests whether a value is null or, with Not, whether it is not.
type IsNull struct {
	X   Expr
	Not bool
}

// An In tests whether a value is in a list.
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

// Walk calls visit for x and all its subexpressions.
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
