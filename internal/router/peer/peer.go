package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// maxMessageBytes limits what is read of one message.
	maxMessageBytes = 8 << 20
	// idleTimeout is how long a connection without traffic stays open.
	idleTimeout = 10 * time.Second
	// maxStreams limits the concurrent calls on one connection.
	maxStreams = 64
	// receiveWindow is the initial flow-control window of a stream and of a connection, in bytes.
	receiveWindow = 64 << 10
)

// Handler returns the reply to a request of a peer; nil stands for an empty reply.
type Handler func(ctx context.Context, req *wire.Request) *wire.Reply

// Options configures an Endpoint.
type Options struct {
	// Listen is the UDP address.
	Listen      string
	Credentials *Credentials
	Handler     Handler
	Log         *slog.Logger
}

// Traffic counts the UDP datagrams and bytes that an endpoint sent and received, and the calls that it
// made to peers.
type Traffic struct {
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	Calls           uint64
}

// Endpoint makes calls to peers and serves theirs, on one UDP socket.
type Endpoint struct {
	options   Options
	socket    *countingSocket
	transport *quic.Transport
	listener  *quic.Listener
	calls     atomic.Uint64
	mut       sync.Mutex
	// connections holds the dialled connections by address.
	connections map[string]*quic.Conn
}

// Listen opens the socket. Calls can be made at once; Serve must run to answer those of peers.
func Listen(opt Options) (end *Endpoint, err error) {
	defer errs.Annotatef(&err, "listen for peers on %s", opt.Listen)
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
	lis, err := trp.Listen(opt.Credentials.Server(), quicConfig())
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

// Serve accepts connections and answers requests until the context ends; it always returns an error.
func (end *Endpoint) Serve(ctx context.Context) (err error) {
	for {
		con, err := end.listener.Accept(ctx)
		if err != nil {
			return err
		}
		go end.serveConnection(ctx, con)
	}
}

// Close closes the socket and all connections.
func (end *Endpoint) Close() (err error) {
	defer errs.Annotate(&err, "close peer endpoint")
	return errors.Join(end.listener.Close(), end.transport.Close(), end.socket.Close())
}

// Call sends a request to a peer and returns its reply, or an error if none arrives before the context
// ends. After an error the connection is closed, with all other calls on it.
func (end *Endpoint) Call(ctx context.Context, address string, req *wire.Request) (rep *wire.Reply, err error) {
	defer errs.Annotatef(&err, "call peer %s", address)
	end.calls.Add(1)
	con, err := end.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	rep, err = roundTrip(ctx, con, req)
	if err != nil {
		end.closeConnection(address, con)
		return nil, err
	}
	return rep, nil
}

// Traffic returns the counts since the endpoint was opened.
func (end *Endpoint) Traffic() Traffic {
	return Traffic{
		SentPackets:     end.socket.sentPackets.Load(),
		SentBytes:       end.socket.sentBytes.Load(),
		ReceivedPackets: end.socket.receivedPackets.Load(),
		ReceivedBytes:   end.socket.receivedBytes.Load(),
		Calls:           end.calls.Load(),
	}
}

// quicConfig returns the QUIC configuration of both sides.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     receiveWindow,
		InitialConnectionReceiveWindow: receiveWindow,
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
	con, err = end.transport.Dial(ctx, adr, end.options.Credentials.Client(), quicConfig())
	if err != nil {
		return nil, err
	}
	end.mut.Lock()
	defer end.mut.Unlock()
	end.connections[address] = con
	context.AfterFunc(con.Context(), func() { end.removeConnection(address, con) })
	return con, nil
}

// closeConnection closes a connection on which a call failed, so that the next call dials a new one.
func (end *Endpoint) closeConnection(address string, con *quic.Conn) {
	end.removeConnection(address, con)
	_ = con.CloseWithError(0, "call failed")
}

// removeConnection removes a connection unless another one has replaced it.
func (end *Endpoint) removeConnection(address string, con *quic.Conn) {
	end.mut.Lock()
	defer end.mut.Unlock()
	if end.connections[address] == con {
		delete(end.connections, address)
	}
}

// serveConnection answers the requests on an accepted connection until it is closed.
func (end *Endpoint) serveConnection(ctx context.Context, con *quic.Conn) {
	for {
		stm, err := con.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() {
			if err := end.serveStream(ctx, stm); err != nil {
				end.options.Log.Debug("request of peer not answered", "Peer", con.RemoteAddr().String(), "Error", err.Error())
			}
		}()
	}
}

// serveStream reads the request of one stream and writes the reply.
func (end *Endpoint) serveStream(ctx context.Context, stm *quic.Stream) (err error) {
	defer errs.Annotate(&err, "answer request of peer")
	req := &wire.Request{}
	if err := readMessage(stm, req); err != nil {
		return err
	}
	rep := end.options.Handler(ctx, req)
	if rep == nil {
		rep = &wire.Reply{}
	}
	return writeMessage(stm, rep)
}

// roundTrip sends a request and receives its reply on a new stream, which is cancelled when the context ends.
func roundTrip(ctx context.Context, con *quic.Conn, req *wire.Request) (rep *wire.Reply, err error) {
	stm, err := con.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stm.CancelRead(0)
		stm.CancelWrite(0)
	})
	defer stop()
	if err := writeMessage(stm, req); err != nil {
		return nil, err
	}
	rep = &wire.Reply{}
	return rep, readMessage(stm, rep)
}

// writeMessage writes a message and closes the sending side of the stream, which marks the end of the message.
func writeMessage(stm *quic.Stream, msg proto.Message) error {
	raw, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if _, err := stm.Write(raw); err != nil {
		return err
	}
	return stm.Close()
}

// readMessage reads a message up to the end of the stream.
func readMessage(stm *quic.Stream, msg proto.Message) error {
	raw, err := strict.ReadAll(stm, maxMessageBytes)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, msg)
}

// countingSocket counts datagrams and bytes. It hides the optimised methods of the UDP socket from
// package quic, because datagrams sent or received by these would not be counted.
type countingSocket struct {
	net.PacketConn

	sentPackets, sentBytes, receivedPackets, receivedBytes atomic.Uint64
}

// WriteTo sends and counts a datagram.
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
