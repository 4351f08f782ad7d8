package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	maxMessageBytes = 8 << 20
	idleTimeout     = 10 * time.Second
	// maxStreams bounds the calls in progress on one connection.
	maxStreams = 64
	// window bounds what a peer may send unread on one connection, in bytes.
	window = 64 << 10
)

// Handler answers a request of a peer; a nil reply is an empty one.
type Handler func(ctx context.Context, req *wire.Request) *wire.Reply

// Options are what an Endpoint is built from.
type Options struct {
	// Listen is the UDP address.
	Listen  string
	Keys    *Keys
	Handler Handler
	Log     *slog.Logger
}

// Traffic counts what an endpoint sent and received, in datagrams and bytes.
type Traffic struct {
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	Calls           uint64
}

// Endpoint sends and answers messages on one UDP socket.
type Endpoint struct {
	options   Options
	socket    *countingSocket
	transport *quic.Transport
	listener  *quic.Listener
	calls     atomic.Uint64
	mut       sync.Mutex
	// connections are the dialled connections by address.
	connections map[string]*quic.Conn
}

// Listen opens the socket; Serve must be called to answer peers.
func Listen(opt Options) (end *Endpoint, err error) {
	defer fault.Annotatef(&err, "listen for peers on %s", opt.Listen)
	adr, err := net.ResolveUDPAddr("udp", opt.Listen)
	if err != nil {
		return nil, err
	}
	soc, err := net.ListenUDP("udp", adr)
	if err != nil {
		return nil, err
	}
	cnt := &countingSocket{PacketConn: soc}
	trp := &quic.Transport{Conn: cnt}
	lis, err := trp.Listen(opt.Keys.Server(), settings())
	if err != nil {
		return nil, errors.Join(err, soc.Close())
	}
	return &Endpoint{
		options:     opt,
		socket:      cnt,
		transport:   trp,
		listener:    lis,
		connections: make(map[string]*quic.Conn),
	}, nil
}

// Serve answers peers until the context ends.
func (end *Endpoint) Serve(ctx context.Context) (err error) {
	for {
		con, err := end.listener.Accept(ctx)
		if err != nil {
			return err
		}
		go end.answerAll(ctx, con)
	}
}

// Close closes the socket and all connections.
func (end *Endpoint) Close() (err error) {
	defer fault.Annotate(&err, "close peer endpoint")
	return errors.Join(end.listener.Close(), end.transport.Close(), end.socket.Close())
}

// Call sends a request to a peer and returns its reply, or an error when none comes before the context ends.
func (end *Endpoint) Call(ctx context.Context, address string, req *wire.Request) (rep *wire.Reply, err error) {
	defer fault.Annotatef(&err, "call peer %s", address)
	end.calls.Add(1)
	con, err := end.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	rep, err = exchange(ctx, con, req)
	if err != nil {
		end.drop(address, con)
		return nil, err
	}
	return rep, nil
}

// Traffic returns what was sent and received so far.
func (end *Endpoint) Traffic() Traffic {
	return Traffic{
		SentPackets:     end.socket.sentPackets.Load(),
		SentBytes:       end.socket.sentBytes.Load(),
		ReceivedPackets: end.socket.receivedPackets.Load(),
		ReceivedBytes:   end.socket.receivedBytes.Load(),
		Calls:           end.calls.Load(),
	}
}

func settings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     window,
		InitialConnectionReceiveWindow: window,
		DisablePathMTUDiscovery:        true,
	}
}

// connection returns the open connection to an address, or dials one.
func (end *Endpoint) connection(ctx context.Context, address string) (con *quic.Conn, err error) {
	end.mut.Lock()
	con = end.connections[address]
	end.mut.Unlock()
	if con != nil && con.Context().Err() == nil {
		return con, nil
	}
	adr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	con, err = end.transport.Dial(ctx, adr, end.options.Keys.Client(), settings())
	if err != nil {
		return nil, err
	}
	end.mut.Lock()
	defer end.mut.Unlock()
	end.connections[address] = con
	context.AfterFunc(con.Context(), func() { end.forget(address, con) })
	return con, nil
}

// drop closes a connection on which a call failed, so that the next call uses a new one.
func (end *Endpoint) drop(address string, con *quic.Conn) {
	end.forget(address, con)
	_ = con.CloseWithError(0, "call failed")
}

func (end *Endpoint) forget(address string, con *quic.Conn) {
	end.mut.Lock()
	defer end.mut.Unlock()
	if end.connections[address] == con {
		delete(end.connections, address)
	}
}

func (end *Endpoint) answerAll(ctx context.Context, con *quic.Conn) {
	for {
		stm, err := con.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() {
			if err := end.answer(ctx, stm); err != nil {
				end.options.Log.Debug("peer not answered", "Peer", con.RemoteAddr().String(), "Error", err.Error())
			}
		}()
	}
}

func (end *Endpoint) answer(ctx context.Context, stm *quic.Stream) (err error) {
	defer fault.Annotate(&err, "answer peer")
	req := &wire.Request{}
	if err := receive(stm, req); err != nil {
		return err
	}
	rep := end.options.Handler(ctx, req)
	if rep == nil {
		rep = &wire.Reply{}
	}
	return transmit(stm, rep)
}

func exchange(ctx context.Context, con *quic.Conn, req *wire.Request) (rep *wire.Reply, err error) {
	stm, err := con.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stm.CancelRead(0)
		stm.CancelWrite(0)
	})
	defer stop()
	if err := transmit(stm, req); err != nil {
		return nil, err
	}
	rep = &wire.Reply{}
	return rep, receive(stm, rep)
}

// transmit writes a message and closes the sending side, which ends it.
func transmit(stm *quic.Stream, msg proto.Message) error {
	raw, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if _, err := stm.Write(raw); err != nil {
		return err
	}
	return stm.Close()
}

func receive(stm *quic.Stream, msg proto.Message) error {
	raw, err := io.ReadAll(io.LimitReader(stm, maxMessageBytes))
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, msg)
}

// countingSocket counts datagrams and bytes; it hides the socket's faster calls, which would pass the counts by.
type countingSocket struct {
	net.PacketConn

	sentPackets, sentBytes, receivedPackets, receivedBytes atomic.Uint64
}

// WriteTo counts and sends a datagram.
func (soc *countingSocket) WriteTo(buf []byte, adr net.Addr) (num int, err error) {
	num, err = soc.PacketConn.WriteTo(buf, adr)
	soc.sentPackets.Add(1)
	soc.sentBytes.Add(uint64(num))
	return num, err
}

// ReadFrom receives and counts a datagram.
func (soc *countingSocket) ReadFrom(buf []byte) (num int, adr net.Addr, err error) {
	num, adr, err = soc.PacketConn.ReadFrom(buf)
	soc.receivedPackets.Add(1)
	soc.receivedBytes.Add(uint64(num))
	return num, adr, err
}
