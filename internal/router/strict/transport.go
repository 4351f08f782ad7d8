package strict

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// RoundTripper sends requests by an http.Transport on connections that fail malformed responses; it implements
// http.RoundTripper.
type RoundTripper struct {
	base *http.Transport
}

// Transport returns a RoundTripper on top of base, which it changes: base must not be used on its own any more, and speaks
// HTTP/1 only. Connections over TLS through a proxy are not checked.
func Transport(base *http.Transport) *RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		soc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: &socket{Conn: soc, readDecides: true}}, nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		soc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		con, err := startTLS(ctx, &socket{Conn: soc}, address, base.TLSClientConfig)
		if err != nil {
			_ = soc.Close()
			return nil, err
		}
		return &Conn{Conn: con}, nil
	}
	return &RoundTripper{base: base}
}

// startTLS makes the handshake of a connection to an address of the form host:port.
func startTLS(ctx context.Context, soc net.Conn, address string, set *tls.Config) (con *tls.Conn, err error) {
	set = set.Clone()
	if set == nil {
		set = &tls.Config{}
	}
	if set.ServerName == "" {
		set.ServerName, _, err = net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
	}
	con = tls.Client(soc, set)
	return con, con.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (trp *RoundTripper) RoundTrip(req *http.Request) (rsp *http.Response, err error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		if con, ok := inf.Conn.(*Conn); ok {
			con.Begin(nil)
		}
	}})
	rsp, err = trp.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	rsp.Body = Body(rsp)
	return rsp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (trp *RoundTripper) CloseIdleConnections() {
	trp.base.CloseIdleConnections()
}
