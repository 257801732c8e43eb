package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
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
	s := New(gypsumyard.Host{Name: "self"}, []byte("secret"), WithLogger(discardLogger()))
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

// handleEverywhere passes the frame to a link with one call, to an inbound link
// and to a Gossip client. The inbound link's stream has failed, and frames that
// hold a complete request are not passed to it, so that no request runs.
func handleEverywhere(s *Service, f *peerpb.Frame) {
	c1, c2 := net.Pipe()
	defer func() { _, _ = c1.Close(), c2.Close() }()
	st := newStream(nil, c1, s.clock)
	l := &link{remote: &remote{service: s}, short: st, bulk: st, clock: s.clock, done: make(chan struct{}), calls: map[uint64]*call{}, openTransactions: map[gypsumyard.SessionID]string{}, lastID: 1}
	l.calls[1] = &call{id: 1, window: shortBytes, allowed: shortBytes, notify: make(chan struct{}, 1)}
	_ = l.handle(l.bulk, f)
	in := newInboundLink(s, "entry", st)
	in.bulk = st
	st.fail(errClosed)
	in.lastID = f.Id - 1
	in.requests[f.Id-1] = &inboundRequest{id: f.Id - 1, size: 8, cancel: func(error) {}, partial: &peerpb.Request{}, window: newSendWindow(shortBytes)}
	if r := f.GetRequest(); r == nil || uint64(len(r.Messages)) < r.Size {
		_ = in.handle(f)
	}
	g := &gossipClient{service: s, stream: st, done: make(chan struct{}), calls: map[uint64]*gossipCall{1: {done: make(chan struct{})}}}
	_ = g.handle(f)
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
