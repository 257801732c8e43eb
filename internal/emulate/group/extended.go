package group

import (
	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A preparedStatement is a prepared statement, named or unnamed.
type preparedStatement struct {
	parsed sqlparse.ParsedStatement
	empty  bool
	// oids are the parameter types that the client declared or is told.
	oids    []uint32
	columns []engine.ResultColumn
}

// A portal is a prepared statement with bound parameters. It may have rows that
// were not fetched yet.
type portal struct {
	prepared *preparedStatement
	params   []engine.Value
	formats  []int16
	running  *activeStatement
	done     bool
}

// extended handles a message of the extended query protocol other than Sync.
func (s *session) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(m)
	case *pgproto3.Close:
		s.closeObject(m)
	}
	return nil
}

// skipToSync sends an error and ignores messages up to the next Sync.
func (s *session) skipToSync(err error) error {
	if err := s.reportError(err); err != nil {
		return err
	}
	if err := s.backend.Flush(); err != nil {
		return err
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return err
		}
		switch m.(type) {
		case *pgproto3.Sync:
			return s.ready()
		case *pgproto3.Terminate:
			return errClosed
		}
	}
}

// sync handles Sync: it commits an implicit transaction.
func (s *session) sync(err error) error {
	if !s.explicit {
		_, err = s.commit()
	}
	if err == nil {
		err = s.checkTruncation()
	}
	if err != nil {
		return s.queryFailed(err)
	}
	return s.ready()
}

func (s *session) closePortals() {
	for _, p := range s.portals {
		s.closePortal(p)
	}
	clear(s.portals)
}

func (s *session) closePortal(p *portal) {
	if p.running != nil {
		s.finish(p.running, nil)
		p.running = nil
	}
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return sqlparse.Errorf("42P05", "prepared statement %q already exists", m.Name)
	}
	list, err := sqlparse.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return sqlparse.Errorf("42601", "cannot insert multiple commands into a prepared statement")
	}
	p := &preparedStatement{empty: len(list) == 0}
	if !p.empty {
		p.parsed = list[0]
		if err := s.describeTypes(p, m.ParameterOIDs); err != nil {
			return err
		}
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// describeTypes determines the types of the parameters and of the columns.
func (s *session) describeTypes(p *preparedStatement, oids []uint32) error {
	given := make([]sqlparse.Type, len(oids))
	for i, o := range oids {
		given[i] = typeOfOID(o)
	}
	types, columns, err := s.instance.engine.Describe(s.tx, p.parsed.Statement, given)
	if err != nil {
		return err
	}
	p.columns = columns
	for i, t := range types {
		oid := oidOf(t)
		if i < len(oids) && oids[i] != 0 {
			oid = oids[i]
		}
		p.oids = append(p.oids, oid)
	}
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return sqlparse.Errorf("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.oids) {
		return sqlparse.Errorf("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.oids))
	}
	o := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		v, err := s.decode(p.oids[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		o.params = append(o.params, v)
	}
	if old, ok := s.portals[m.DestinationPortal]; ok {
		s.closePortal(old)
	}
	s.portals[m.DestinationPortal] = o
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := s.statements[m.Name]
		if !ok {
			return sqlparse.Errorf("26000", "prepared statement %q does not exist", m.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		s.describeColumns(p.columns, nil)
		return nil
	}
	p, ok := s.portals[m.Name]
	if !ok {
		return sqlparse.Errorf("34000", "portal %q does not exist", m.Name)
	}
	s.describeColumns(p.prepared.columns, p.formats)
	return nil
}

func (s *session) describeColumns(columns []engine.ResultColumn, formats []int16) {
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(columns, formats))
}

func (s *session) execute(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return sqlparse.Errorf("34000", "portal %q does not exist", m.Portal)
	}
	if p.prepared.empty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.done {
		return sqlparse.Errorf("55000", "portal %q cannot be run again", m.Portal)
	}
	o, err := s.resume(p)
	if err != nil {
		return err
	}
	sent, more, err := s.sendRows(o, p.prepared.columns, p.formats, int64(m.MaxRows))
	if err == nil && more {
		// A suspended portal waits for the client, so it does not occupy a slot.
		s.releaseSlot()
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	p.running, p.done = nil, true
	s.finish(o, err)
	if err != nil {
		return err
	}
	s.complete(p.prepared.parsed, o, sent)
	return nil
}

// resume starts a portal's statement or continues a suspended one.
func (s *session) resume(p *portal) (o *activeStatement, err error) {
	if p.running != nil {
		return p.running, s.acquireSlot(p.running.ctx)
	}
	p.running, err = s.run(p.prepared.parsed, p.params)
	return p.running, err
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else if p, ok := s.portals[m.Name]; ok {
		s.closePortal(p)
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}
