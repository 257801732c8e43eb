package peer

import (
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"storj.io/drpc/drpcctx"
)

// A server serves the streams that other hosts open.
type server struct{ service *Service }

// Short serves requests until the stream ends.
func (v server) Short(w peerpb.DRPCPeer_ShortStream) error {
	st, g, err := v.open(w, kindShort)
	if err != nil {
		return err
	}
	in := newInbound(v.service, g.client, st)
	key := g.client + "/" + g.link
	if !v.service.addInbound(key, in) {
		in.cancel(errMalformed)
		return fmt.Errorf("%w: link exists", errMalformed)
	}
	defer v.service.removeInbound(key)
	return v.serve(st, g, in.handle, in.close)
}

// Bulk serves the second stream of a link until the stream ends.
func (v server) Bulk(w peerpb.DRPCPeer_BulkStream) error {
	st, g, err := v.open(w, kindBulk)
	if err != nil {
		return err
	}
	in := v.service.findInbound(g.client + "/" + g.link)
	if in == nil || !in.attach(st) {
		return fmt.Errorf("%w: bulk stream without short stream", errMalformed)
	}
	refuse := func(f *peerpb.Frame) error { return fmt.Errorf("%w: %T", errMalformed, f.Body) }
	return v.serve(st, g, refuse, in.short.fail)
}

// Gossip serves heartbeats and calls until the stream ends.
func (v server) Gossip(w peerpb.DRPCPeer_GossipStream) error {
	st, g, err := v.open(w, kindGossip)
	if err != nil {
		return err
	}
	gs := newGossipServer(v.service, g.client, st)
	v.service.addGossip(gs)
	defer v.service.removeGossip(gs)
	return v.serve(st, g, gs.handle, gs.close)
}

// open authenticates the client of a new stream.
func (v server) open(w wire, k kind) (*stream, *greeting, error) {
	tr, _ := drpcctx.Transport(w.Context())
	conn, ok := tr.(*accepted)
	if !ok {
		return nil, nil, fmt.Errorf("transport is a %T", tr)
	}
	g, err := v.service.admit(w, conn, k)
	if err != nil {
		v.service.log.WithField("address", conn.RemoteAddr()).WithError(err).Warn("peer refused")
		return nil, nil, err
	}
	conn.known()
	return newStream(w, conn, v.service.clock), g, nil
}

// serve answers the handshake and runs the stream's writer and reader.
func (v server) serve(st *stream, g *greeting, handle func(*peerpb.Frame) error, ended func(error)) error {
	if err := sendReady(st.wire); err != nil {
		st.fail(err)
		ended(err)
		return err
	}
	var wg sync.WaitGroup
	wg.Go(st.write)
	st.read(handle)
	err := st.cause()
	ended(err)
	wg.Wait()
	v.service.log.WithFields(map[string]any{"peer": g.client, "stream": g.kind}).WithError(err).Debug("peer stream ended")
	return err
}

func (in *inbound) attach(bulk *stream) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.bulk != nil || in.broken {
		return false
	}
	in.bulk = bulk
	return true
}

func (s *Service) addInbound(key string, in *inbound) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.inbound[key]; ok || s.closed {
		return false
	}
	s.inbound[key] = in
	return true
}

func (s *Service) removeInbound(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inbound, key)
}

func (s *Service) findInbound(key string) *inbound {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inbound[key]
}

func (s *Service) addGossip(g *gossipServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served[g] = true
}

func (s *Service) removeGossip(g *gossipServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.served, g)
}
