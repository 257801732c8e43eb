package group

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// flushBytes is the size of buffered row data at which it is sent.
const flushBytes = 32 << 10

const voidOID = 2278

// oids maps types to the OIDs that the protocol uses.
var oids = map[sqlparse.Type]uint32{
	sqlparse.Int2:        pgtype.Int2OID,
	sqlparse.Int4:        pgtype.Int4OID,
	sqlparse.Int8:        pgtype.Int8OID,
	sqlparse.Float8:      pgtype.Float8OID,
	sqlparse.Text:        pgtype.TextOID,
	sqlparse.Bool:        pgtype.BoolOID,
	sqlparse.Timestamptz: pgtype.TimestamptzOID,
	sqlparse.Void:        voidOID,
}

var sizes = map[sqlparse.Type]int16{
	sqlparse.Int2: 2, sqlparse.Int4: 4, sqlparse.Int8: 8, sqlparse.Float8: 8,
	sqlparse.Bool: 1, sqlparse.Timestamptz: 8, sqlparse.Void: 4,
}

func oidOf(t sqlparse.Type) uint32 { return oids[t] }

// typeOfOID returns the type that represents an OID, empty if the type is to be
// inferred.
func typeOfOID(oid uint32) sqlparse.Type {
	switch oid {
	case 0, pgtype.UnknownOID:
		return ""
	case pgtype.Float4OID, pgtype.NumericOID:
		return sqlparse.Float8
	case pgtype.TimestampOID, pgtype.DateOID:
		return sqlparse.Timestamptz
	}
	for t, o := range oids {
		if o == oid {
			return t
		}
	}
	return sqlparse.Text
}

// formatOf returns the format code of column i. An empty list means text for all
// columns, a list of one applies to all columns.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgtype.TextFormatCode
}

func rowDescription(columns []engine.ResultColumn, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		size, ok := sizes[c.Type]
		if !ok {
			size = -1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  oidOf(c.Type),
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

// decode converts a parameter from the wire format.
func (s *session) decode(oid uint32, format int16, raw []byte) (engine.Value, error) {
	if raw == nil {
		return nil, nil
	}
	t := typeOfOID(oid)
	if format == pgtype.TextFormatCode {
		return engine.Convert(string(raw), t)
	}
	var err error
	switch t {
	case sqlparse.Int2, sqlparse.Int4, sqlparse.Int8:
		var v int64
		err = s.types.Scan(oid, format, raw, &v)
		return v, badParameter(err)
	case sqlparse.Float8:
		var v float64
		err = s.types.Scan(oid, format, raw, &v)
		return v, badParameter(err)
	case sqlparse.Bool:
		var v bool
		err = s.types.Scan(oid, format, raw, &v)
		return v, badParameter(err)
	case sqlparse.Timestamptz:
		var v time.Time
		err = s.types.Scan(oid, format, raw, &v)
		return v.UTC(), badParameter(err)
	}
	return string(raw), nil
}

func badParameter(err error) error {
	if err == nil {
		return nil
	}
	return sqlparse.Errorf("22P03", "incorrect binary data format in bind parameter: %v", err)
}

// encode converts a value to the wire format.
func (s *session) encode(v engine.Value, t sqlparse.Type, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if t == sqlparse.Void {
		return []byte{}, nil
	}
	v, err := engine.Convert(v, t)
	if err != nil {
		return nil, err
	}
	if format == pgtype.TextFormatCode {
		return []byte(engine.FormatText(v)), nil
	}
	return s.types.Encode(oidOf(t), format, v, nil)
}

// sendRows sends up to limit rows of a result, or all rows if limit is zero. It
// returns the number of rows sent and reports whether it stopped at the limit.
func (s *session) sendRows(o *activeStatement, columns []engine.ResultColumn, formats []int16, limit int64) (sent int64, more bool, err error) {
	if o.next == nil {
		return 0, false, nil
	}
	size := 0
	for {
		if limit > 0 && sent == limit {
			return sent, true, nil
		}
		row, err := o.next()
		if err != nil || row == nil {
			return sent, false, err
		}
		m := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if m.Values[i], err = s.encode(v, columns[i].Type, formatOf(formats, i)); err != nil {
				return sent, false, err
			}
			size += len(m.Values[i])
		}
		s.backend.Send(m)
		sent++
		if size < flushBytes {
			continue
		}
		size = 0
		if err := s.backend.Flush(); err != nil {
			return sent, false, err
		}
		if o.ctx.Err() != nil {
			return sent, false, context.Cause(o.ctx)
		}
	}
}
