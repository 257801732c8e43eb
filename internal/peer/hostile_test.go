package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
)

// FuzzDecode guards against input from a peer that makes this host panic. It
// decodes a frame and passes it to every handler of frames.
func FuzzDecode(f *testing.F) {
	seeds := []*peerpb.Frame{
		{Id: 1, Body: &peerpb.Frame_Request{Request: &peerpb.Request{Session: "s", Messages: []byte("m"), Size: 1, Window: shortBytes, Settings: []*peerpb.Setting{{Name: "n"}}}}},
		{Id: 1, Body: &peerpb.Frame_Request{Request: &peerpb.Request{Size: 5, Window: shortBytes}}},
		{Id: 1, Body: &peerpb.Frame_Part{Part: &peerpb.Part{Messages: []byte("m")}}},
		{Id: 1, Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}},
		{Id: 1, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: 1 << 63}}},
		{Id: 1, Body: &peerpb.Frame_Chunk{Chunk: &peerpb.Chunk{Data: []byte("d")}}},
		finalFrame(1, gypsumyard.Result{TxStatus: 'I'}, gypsumyard.Errorf(gypsumyard.ClassLoad, "full"), []byte("d")),
		{Body: &peerpb.Frame_Members{Members: &peerpb.Members{From: "x", Updates: []*peerpb.MemberUpdate{{Name: "n", Address: []byte{1, 2, 3}}}}}},
		{Id: 1, Body: &peerpb.Frame_Call{Call: &peerpb.Call{Body: &peerpb.Call_Query{Query: &peerpb.ListQuery{AfterRevision: 3}}}}},
		replyFrame(1, &peerpb.Reply{Last: true, Status: &peerpb.InstanceStatus{History: []*peerpb.TermStart{{Term: 1}}}}),
	}
	for _, s := range seeds {
		b, err := proto.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	s := fuzzedService(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame peerpb.Frame
		if proto.Unmarshal(b, &frame) != nil {
			return
		}
		handleEverywhere(s, &frame)
		if r := frame.GetRequest(); r != nil {
			decoded, err := decodeRequest(r, time.Now())
			if err == nil && decoded.Messages == nil && len(r.Messages) > 0 {
				t.Fatal("messages are lost")
			}
		}
		if e := frame.GetFinal().GetError(); e != nil && decodeError(e) == nil {
			t.Fatal("an error became a success")
		}
		if st := frame.GetReply().GetStatus(); st != nil {
			decodeStatus(st)
		}
	})
}

// A fuzzedOwner runs each request at once and remembers nothing.
type fuzzedOwner struct{ *fakeOwner }

func (fuzzedOwner) Execute(context.Context, *gypsumyard.Request, gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return gypsumyard.Result{}, nil
}

func (fuzzedOwner) Abandon(context.Context, *gypsumyard.Request) error { return nil }

// fuzzedService returns a service that does not listen and has an owner.
func fuzzedService(t testing.TB) *Service {
	t.Helper()
	s := New(gypsumyard.Host{Name: "self"}, []byte("secret"), WithLogger(discardLogger()))
	k, err := kernel.New(fuzzedOwner{newFakeOwner(nil)})
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.kernel = k
	return s
}

// handleEverywhere passes the frame to a link with one call, to inbound links with one
// request and to a Gossip client. The streams have failed. It returns the requests.
func handleEverywhere(s *Service, f *peerpb.Frame) []*inboundRequest {
	c1, c2 := net.Pipe()
	defer func() { _, _ = c1.Close(), c2.Close() }()
	st := newStream(nil, c1, s.clock)
	l := &link{remote: &remote{service: s}, short: st, bulk: st, clock: s.clock, done: make(chan struct{}), calls: map[uint64]*call{}, openTransactions: map[gypsumyard.SessionID]string{}, lastID: 1}
	l.calls[1] = &call{id: 1, window: shortBytes, allowed: shortBytes, notify: make(chan struct{}, 1)}
	_ = l.handle(l.bulk, f)
	st.fail(errClosed)
	incomplete := handleInbound(s, st, f, &peerpb.Request{})
	running := handleInbound(s, st, f, nil)
	g := &gossipClient{service: s, stream: st, done: make(chan struct{}), calls: map[uint64]*gossipCall{1: {done: make(chan struct{})}}}
	_ = g.handle(f)
	return []*inboundRequest{incomplete, running}
}

// handleInbound passes the frame to an inbound link and waits for what it starts. The
// link has a request with the frame's ID, or with the ID before that if the frame is a
// request itself. partial is the incomplete request, nil if it is complete.
func handleInbound(s *Service, st *stream, f *peerpb.Frame, partial *peerpb.Request) *inboundRequest {
	in := newInboundLink(s, "entry", st)
	defer in.cancel(errClosed)
	in.bulk = st
	in.lastID = f.Id
	if f.GetRequest() != nil {
		in.lastID--
	}
	r := &inboundRequest{id: in.lastID, size: 8, partial: partial, window: newSendWindow(shortBytes)}
	r.ctx, r.cancel = context.WithCancelCause(in.ctx)
	in.requests[r.id] = r
	_ = in.handle(f)
	in.wait.Wait()
	return r
}

// Guards against a fuzz test whose frames are all dropped before they reach a request.
func TestFuzzedFramesReachRequests(t *testing.T) {
	is := is.New(t)
	s := fuzzedService(t)
	requests := handleEverywhere(s, &peerpb.Frame{Id: 3, Body: &peerpb.Frame_Part{Part: &peerpb.Part{Messages: []byte("m")}}})
	is.Equal(string(requests[0].partial.GetMessages()), "m")
	requests = handleEverywhere(s, &peerpb.Frame{Id: 3, Body: &peerpb.Frame_Part{Part: &peerpb.Part{Messages: []byte("messages")}}})
	is.True(requests[0].partial == nil) // It was complete and has run.
	is.True(requests[0].ctx.Err() != nil)
	for _, r := range handleEverywhere(s, &peerpb.Frame{Id: 3, Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}}) {
		is.Equal(context.Cause(r.ctx), context.Canceled)
	}
	for _, r := range handleEverywhere(s, &peerpb.Frame{Id: 3, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: 5}}}) {
		is.Equal(r.window.available, shortBytes+5)
	}
}

// hostileStream opens a stream for raw frames and performs the handshake with the
// given secret.
func hostileStream(t *testing.T, to gypsumyard.Host, secret string, k streamKind, link string) (frameStream, error) {
	t.Helper()
	conn, err := net.Dial("tcp", to.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	c := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	t.Cleanup(func() { _ = c.Close() })
	w, err := openStream(t.Context(), peerpb.NewDRPCPeerClient(c), k)
	if err != nil {
		t.Fatal(err)
	}
	s := New(gypsumyard.Host{Name: "hostile"}, []byte(secret), WithLogger(discardLogger()))
	_, err = s.clientHandshake(w, conn, k, link, "")
	return w, err
}

// Guards against a hostile peer that disrupts other streams than its own.
func TestHostileFramesEndOnlyTheirStream(t *testing.T) {
	is := is.New(t)
	o := newFakeOwner(func(context.Context, *gypsumyard.Request, gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		return gypsumyard.Result{}, nil
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	request := func(p *peerpb.Request) *peerpb.Frame {
		return &peerpb.Frame{Id: 1, Body: &peerpb.Frame_Request{Request: p}}
	}
	ok := func() *peerpb.Request { return &peerpb.Request{Window: windowBytes, Size: 3, Messages: []byte("abc")} }
	huge, window, settings := ok(), ok(), ok()
	huge.Size = maxRequestBytes + 1
	window.Window = 1 << 40
	settings.Settings = []*peerpb.Setting{{Name: string(make([]byte, maxSettingBytes+1))}}
	frames := map[string][]*peerpb.Frame{
		"size":          {request(huge)},
		"window":        {request(window)},
		"settings":      {request(settings)},
		"number reused": {request(ok()), request(ok())},
		"credit":        {{Id: 9, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: 1}}}},
		"part":          {{Id: 9, Body: &peerpb.Frame_Part{Part: &peerpb.Part{Messages: []byte("x")}}}},
		"final":         {finalFrame(1, gypsumyard.Result{}, nil, nil)},
		"empty":         {{}},
		"foreign":       {{Body: &peerpb.Frame_Members{Members: &peerpb.Members{From: "other"}}}},
	}
	for name, fs := range frames {
		link := string(newNonce())
		short, err := hostileStream(t, b, "secret", kindShort, link)
		is.NoErr(err)
		_, err = hostileStream(t, b, "secret", kindBulk, link)
		is.NoErr(err)
		for _, f := range fs {
			_ = sendAndFlush(short, f)
		}
		for err == nil {
			_, err = short.Recv()
		}
		t.Logf("%s: %v", name, err)
	}
	_, err := a.Executor(b).Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
	is.NoErr(err)
}

// Guards against accepting a peer with the wrong secret or host name, and against
// keeping a connection open whose client sends nothing or data that is not drpc.
func TestHandshakeRefusals(t *testing.T) {
	is := is.New(t)
	_, b := startHost(t, "b")
	_, err := hostileStream(t, b, "wrong", kindShort, "")
	is.True(err != nil)
	a, _ := startHost(t, "a")
	_, err = a.Executor(gypsumyard.Host{Name: "other", Addr: b.Addr}).Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
	for _, garbage := range [][]byte{nil, bytes.Repeat([]byte{0xff}, 4096), binary.AppendUvarint([]byte{3, 1, 1}, 1<<40)} {
		conn, err := net.Dial("tcp", b.Addr.String())
		is.NoErr(err)
		_, err = conn.Write(garbage)
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(3 * handshakeTimeout)))
		for err == nil {
			_, err = conn.Read(make([]byte, 4096))
		}
		ne, timeout := err.(net.Error)
		is.True(!timeout || !ne.Timeout()) // closed by the host
		_ = conn.Close()
	}
}
