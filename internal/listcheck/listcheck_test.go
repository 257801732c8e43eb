package listcheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/statecheck"
	"github.com/matryer/is"
)

const valid = `{
	"plans": {"basic": {"name": "basic", "share": 0.5, "limit": 1, "max-wait": "1s", "max-queue": 10, "max-sessions": 5}},
	"customers": {"mill": {"name": "mill", "plan": "basic", "databases": ["rugs"], "logins": [{"name": "a", "verifier": "SCRAM-SHA-256$x"}]}},
	"databases": {"rugs": {"name": "rugs", "region": "r", "slots": 4, "connections": 10, "user": "u", "password": "p",
		"instances": [{"name": "rugs-1", "address": "127.0.0.1:5001", "failure-domain": "d"}]}}
}`

// check returns the findings for the text, a line each.
func check(t *testing.T, text string) (lines []string) {
	t.Helper()
	l, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range l.Check() {
		lines = append(lines, fmt.Sprintf("%s %s %s", f.Severity, f.Path, f.Kind))
	}
	return lines
}

// Guards against findings for lists that work, and against faults that are not found.
func TestCheck(t *testing.T) {
	for _, test := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"limit below share", `"limit": 1`, `"limit": 0.1`, "error plans.basic rejected"},
		{"two faults", `"share": 0.5, "limit": 1`, `"share": 0, "limit": 2`, "error plans.basic rejected,error plans.basic rejected"},
		{"unknown plan", `"plan": "basic"`, `"plan": "Basic"`, "error customers.mill.plan missing-plan,warning plans.basic unused-plan"},
		{"unknown database", `["rugs"]`, `["rugs", "tiles"]`, "error customers.mill.databases missing-database"},
		{"no database", `["rugs"]`, `[]`, "warning customers.mill.databases customer-without-databases,warning databases.rugs unused-database"},
		{"rejected customer", `"plan": "basic"`, `"plan": ""`, "error customers.mill rejected"},
		{"database twice", `["rugs"]`, `["rugs", "rugs"]`, "warning customers.mill.databases database-listed-twice"},
		{"field in two cases", `"share": 0.5`, `"share": 0.5, "Share": 0.6`, "error plans.basic.Share repeated-field"},
		{"name given twice", `"share": 0.5`, `"share": 0.4, "share": 0.5`, "error plans.basic.share repeated-field"},
		{"shares", `"customers": {`, `"customers": {"a": {"name": "a", "plan": "basic", "databases": ["rugs"], "logins": [{"name": "a", "verifier": "SCRAM-SHA-256$x"}]},
			"b": {"name": "b", "plan": "basic", "databases": ["rugs"], "logins": [{"name": "a", "verifier": "SCRAM-SHA-256$x"}]}, `, "warning databases.rugs shares-above-one"},
		{"shared instance", `"databases": {`, `"databases": {"dyes": {"name": "dyes", "region": "r", "slots": 4, "connections": 10,
			"instances": [{"name": "dyes-1", "address": "127.0.0.1:5001", "failure-domain": "d"}]}, `,
			"warning databases.dyes unused-database,error databases.rugs.instances instance-of-two-databases"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Join(check(t, strings.Replace(valid, test.old, test.new, 1)), ","), test.want)
		})
	}
}

// Guards against text that is no list and passes as an empty one.
func TestParseRejects(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "null", "[]", "{", `{"routes": {}}`, `{"plans": 1}`} {
		_, err := Parse([]byte(text))
		is.True(err != nil)
	}
}

// Guards against differences that are left out, and secrets that are shown.
func TestCompare(t *testing.T) {
	is := is.New(t)
	old, err := Parse([]byte(valid))
	is.NoErr(err)
	text := strings.NewReplacer(`"share": 0.5`, `"share": 0.25`, `"password": "p"`, `"Password": "q"`, `["rugs"]`, `["rugs", "tiles"]`,
		`"plans": {`, `"plans": {"large": {}, `, `{"name": "a", "verifier": "SCRAM-SHA-256$x"}`, `{"name": "a", "verifier": "SCRAM-SHA-256$y"}, {"name": "b", "verifier": "SCRAM-SHA-256$z"}`).Replace(valid)
	l, err := Parse([]byte(text))
	is.NoErr(err)
	is.Equal(l.Compare(old), []statecheck.Difference{
		{Path: "plans.basic.share", From: "0.5", To: "0.25"},
		{Path: "plans.large", From: "", To: statecheck.Present},
		{Path: `customers.mill.databases["tiles"]`, From: "", To: `"tiles"`},
		{Path: `customers.mill.logins["a"].verifier`, From: `"(secret)"`, To: `"(secret)"`},
		{Path: `customers.mill.logins["b"]`, From: "", To: `{"name":"b","verifier":"(secret)"}`},
		{Path: "databases.rugs.Password", From: "", To: `"(secret)"`},
		{Path: "databases.rugs.password", From: `"(secret)"`, To: ""},
	})
	is.Equal(old.Compare(old), []statecheck.Difference{}) // Not nil, which means that nothing was compared.
	is.Equal(old.Compare(l)[1], statecheck.Difference{Path: "plans.large", From: statecheck.Present, To: ""})
}
