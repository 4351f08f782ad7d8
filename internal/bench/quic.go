package bench

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/certs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/peer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const callsPerPeer = 20

// PeerTransport measures the QUIC transport between nodes by the number of peers. The first call to a peer opens
// the connection.
func PeerTransport() (srs Series, err error) {
	defer errs.Annotate(&err, "measure peers")
	srs = Series{Name: "QUIC between nodes (both ends)", Unit: "peers", Columns: []string{
		"open B/conn", "open CPU us/conn", "B/call", "CPU us/call", "KB/conn",
	}}
	dir, err := os.MkdirTemp("", "hbbench")
	if err != nil {
		return Series{}, err
	}
	defer os.RemoveAll(dir)
	ath, err := certs.NewAuthority()
	if err != nil {
		return Series{}, err
	}
	if err := ath.Write(dir); err != nil {
		return Series{}, err
	}
	if err := ath.Issue(dir, "n"); err != nil {
		return Series{}, err
	}
	for _, size := range []int{4, 8, 16, 32} {
		fgs, err := measurePeers(dir, size)
		if err != nil {
			return Series{}, err
		}
		srs.Points = append(srs.Points, Point{Size: float64(size), Figures: fgs})
	}
	return srs, nil
}

// measurePeers connects one endpoint to size others and returns the figures of PeerTransport.
func measurePeers(dir string, size int) (fgs []float64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	crd, err := peer.LoadCredentials(conf.TLS{
		Certificate: filepath.Join(dir, "n.pem"), Key: filepath.Join(dir, "n.key"), Authority: filepath.Join(dir, certs.AuthorityFile),
	})
	if err != nil {
		return nil, err
	}
	open := func(port int) (end *peer.Endpoint, err error) {
		return peer.Listen(peer.Options{
			Listen: fmt.Sprint("127.0.0.1:", port), Credentials: crd, Log: slog.New(slog.DiscardHandler),
			Handler: func(context.Context, *wire.Request) *wire.Reply { return &wire.Reply{} },
		})
	}
	const port = 23900
	all := make([]*peer.Endpoint, 0, size+1)
	for idx := range size + 1 {
		end, err := open(port + idx)
		if err != nil {
			return nil, err
		}
		defer func() { _ = end.Close() }()
		all = append(all, end)
		go func() { _ = end.Serve(ctx) }()
	}
	req := &wire.Request{Body: &wire.Request_Probe{Probe: &wire.Probe{Sender: &wire.Member{
		Name: "node-0001", Incarnation: 1, Peer: "10.0.0.1:7946", Admin: "10.0.0.1:9100", Region: "r", FailureDomain: "d",
	}}}}
	callAll := func() error {
		for idx := range size {
			if _, err := all[0].Call(ctx, fmt.Sprint("127.0.0.1:", port+1+idx), req); err != nil {
				return err
			}
		}
		return nil
	}
	mem, used, trf := memoryInUse(), cpuTime(), all[0].Traffic()
	if err := callAll(); err != nil {
		return nil, err
	}
	opened := all[0].Traffic()
	openBytes, openCPU := trafficBetween(trf, opened)/float64(size), float64((cpuTime()-used).Microseconds())/float64(size)
	// Session tickets and acknowledgements of the handshake arrive after the first reply.
	time.Sleep(200 * time.Millisecond)
	perConn := (memoryInUse() - mem) / float64(size) / 1e3
	used, trf = cpuTime(), all[0].Traffic()
	for range callsPerPeer {
		if err := callAll(); err != nil {
			return nil, err
		}
	}
	num := float64(size * callsPerPeer)
	return []float64{
		openBytes, openCPU,
		trafficBetween(trf, all[0].Traffic()) / num, float64((cpuTime() - used).Microseconds()) / num,
		perConn,
	}, nil
}

// trafficBetween returns the bytes sent and received between two readings.
func trafficBetween(before, after peer.Traffic) float64 {
	return float64(after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes)
}
