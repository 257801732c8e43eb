package peer

import (
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"storj.io/drpc/drpcctx"
)

// A server implements the drpc service for the streams that other hosts open.
type server struct{ service *Service }

// Short serves requests until the stream ends.
func (v server) Short(w peerpb.DRPCPeer_ShortStream) error {
	st, g, err := v.acceptStream(w, kindShort)
	if err != nil {
		return err
	}
	in := newInboundLink(v.service, g.client, st)
	key := g.client + "/" + g.link
	if !v.service.addInbound(key, in) {
		in.cancel(errMalformed)
		return fmt.Errorf("%w: link exists", errMalformed)
	}
	defer v.service.removeInbound(key)
	return v.runStream(st, g, in.handle, in.close)
}

// Bulk serves the second stream of a link until the stream ends.
func (v server) Bulk(w peerpb.DRPCPeer_BulkStream) error {
	st, g, err := v.acceptStream(w, kindBulk)
	if err != nil {
		return err
	}
	in := v.service.findInbound(g.client + "/" + g.link)
	if in == nil || !in.attachBulk(st) {
		return fmt.Errorf("%w: bulk stream without short stream", errMalformed)
	}
	refuse := func(f *peerpb.Frame) error { return fmt.Errorf("%w: %T", errMalformed, f.Body) }
	return v.runStream(st, g, refuse, in.short.fail)
}

// Gossip serves heartbeats and calls until the stream ends.
func (v server) Gossip(w peerpb.DRPCPeer_GossipStream) error {
	st, g, err := v.acceptStream(w, kindGossip)
	if err != nil {
		return err
	}
	gs := newGossipServer(v.service, g.client, st)
	v.service.addGossip(gs)
	defer v.service.removeGossip(gs)
	return v.runStream(st, g, gs.handle, gs.close)
}

// acceptStream performs the handshake of a new stream.
func (v server) acceptStream(w frameStream, k streamKind) (*stream, *handshake, error) {
	tr, _ := drpcctx.Transport(w.Context())
	conn, ok := tr.(*acceptedConn)
	if !ok {
		return nil, nil, fmt.Errorf("transport is a %T", tr)
	}
	g, err := v.service.serverHandshake(w, conn, k)
	if err != nil {
		v.service.log.WithField("address", conn.RemoteAddr()).WithError(err).Warn("peer handshake failed")
		return nil, nil, err
	}
	conn.markAuthenticated()
	return newStream(w, conn, v.service.clock), g, nil
}

// runStream completes the handshake with a Ready message and runs the stream's
// writer and reader. It calls onEnd with the cause when the stream has ended.
func (v server) runStream(st *stream, g *handshake, handle func(*peerpb.Frame) error, onEnd func(error)) error {
	if err := sendReady(st.frames); err != nil {
		st.fail(err)
		onEnd(err)
		return err
	}
	var wg sync.WaitGroup
	wg.Go(st.write)
	st.read(handle)
	err := st.cause()
	onEnd(err)
	wg.Wait()
	v.service.log.WithFields(map[string]any{"peer": g.client, "stream": g.kind}).WithError(err).Debug("peer stream ended")
	return err
}

func (in *inboundLink) attachBulk(bulk *stream) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.bulk != nil || in.broken {
		return false
	}
	in.bulk = bulk
	return true
}

func (s *Service) addInbound(key string, in *inboundLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.inboundLinks[key]; ok || s.closed {
		return false
	}
	s.inboundLinks[key] = in
	return true
}

func (s *Service) removeInbound(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inboundLinks, key)
}

func (s *Service) findInbound(key string) *inboundLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inboundLinks[key]
}

func (s *Service) addGossip(g *gossipServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossipServers[g] = true
}

func (s *Service) removeGossip(g *gossipServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.gossipServers, g)
}
