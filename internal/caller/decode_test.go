package caller

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against startup packets that crash the decoder.
func FuzzStartup(f *testing.F) {
	f.Add(packet(uint32(16), uint32(196608), "user\x00a\x00\x00"))
	f.Add(packet(uint32(8), uint32(codeSSL)))
	f.Add(packet(uint32(40), uint32(196610), "user\x00a\x00options\x00-c a=b\\ c --d-e=f\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &budget{limit: mib}
		r := frameReader{in: bytes.NewReader(data), budget: b}
		body, err := r.readStartup()
		r.release()
		if b.used.Load() != 0 {
			t.Fatalf("%d bytes of the budget were not released", b.used.Load())
		}
		if err != nil {
			return
		}
		m, err := decodeStartup(196608, body[4:])
		if err != nil {
			return
		}
		if options, err := parseOptions(m.Parameters["options"]); err == nil {
			for _, o := range options {
				if validParamName(o.Name) && strings.ContainsAny(o.Name, " '\"\\=;") {
					t.Fatalf("invalid parameter name %q is accepted", o.Name)
				}
			}
		}
	})
}

// Guards against messages that crash the decoder, and against rewritten batches
// that an upstream cannot decode or that contain named statements.
func FuzzMessages(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) []byte {
		var data []byte
		for _, m := range messages {
			out, err := m.Encode(data)
			if err != nil {
				f.Fatal(err)
			}
			data = out
		}
		return data
	}
	f.Add(encode(parse("a", "select 1"), bind("a"), &pgproto3.Describe{ObjectType: 'P'}, execute(), &pgproto3.Close{ObjectType: 'S', Name: "a"}))
	f.Add(encode(parse("", "begin"), bind(""), execute(), parse("", "set a = 1"), bind(""), execute(), parse("", "commit"), bind(""), execute()))
	f.Add(encode(bind("x"), parse("x", "listen a"), execute(), &pgproto3.Close{ObjectType: 'P'}))
	f.Fuzz(func(t *testing.T, data []byte) {
		limits := defaultLimits()
		b := &budget{limit: mib}
		x := &session{server: &Server{limits: limits}, prepared: preparedStore{limits: &limits, budget: b}, tx: transaction{status: statusOpen}}
		r := frameReader{in: bytes.NewReader(data), budget: b}
		var batch []message
		for {
			fr, err := r.read(limits.MessageBytes)
			if err != nil {
				break
			}
			if m, err := decodeMessage(fr); err == nil && bytes.IndexByte([]byte("PBDEC"), fr.kind) >= 0 {
				batch = append(batch, m)
			}
		}
		planned := 0
		for _, u := range x.splitBatch(batch) {
			planned += len(u.messages)
			checkRewritten(t, x, &u)
		}
		if planned > len(batch) {
			t.Fatalf("batch of %d messages was split into units with %d messages", len(batch), planned)
		}
	})
}

// checkRewritten checks that the rewritten unit can be decoded, that it names
// no statement, and that each message of the client has exactly one op.
func checkRewritten(t *testing.T, x *session, u *unit) {
	out, ops, err := x.rewrite(u.messages)
	if err != nil {
		t.Fatal(err)
	}
	backend := pgproto3.NewBackend(bytes.NewReader(out), nil)
	visible := len(u.messages)
	for _, o := range ops {
		if !o.hidden {
			visible--
		}
		m, err := backend.Receive()
		if err != nil {
			t.Fatalf("rewritten batch cannot be decoded: %v", err)
		}
		if p, ok := m.(*pgproto3.Parse); ok && p.Name != "" {
			t.Fatalf("statement %q is named upstream", p.Name)
		}
		if p, ok := m.(*pgproto3.Bind); ok && p.PreparedStatement != "" {
			t.Fatalf("bind to named statement %q", p.PreparedStatement)
		}
	}
	if m, err := backend.Receive(); err != nil || visible != 0 {
		t.Fatalf("%d messages have no visible op, then received %T, %v", visible, m, err)
	}
}
