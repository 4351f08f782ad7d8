package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
)

const headerTimeout = 10 * time.Second

// Run serves until a signal, a drain or a failure; it returns nil after a planned stop.
func (nod *Node) Run() (err error) {
	defer fault.Annotate(&err, "run node")
	var grp run.Group
	cal, err := nod.listen(&grp, nod.options.Settings.Listen, nod.entry.Handler())
	if err != nil {
		return err
	}
	if _, err := nod.listen(&grp, nod.options.Settings.Admin, nod.admin.Handler()); err != nil {
		return err
	}
	nod.addSignals(&grp)
	nod.addStop(&grp, cal)
	nod.addPeers(&grp)
	nod.addConfig(&grp)
	nod.addVMList(&grp)
	nod.options.Log.Info("node started", "Node", nod.options.Settings.Name, "Listen", nod.options.Settings.Listen)
	err = grp.Run()
	nod.close()
	if errors.Is(err, errStopped) {
		nod.options.Log.Info("node stopped")
		return nil
	}
	return err
}

// errStopped ends the group after a planned stop.
var errStopped = errors.New("planned stop")

// listen adds an HTTP server to the group.
func (nod *Node) listen(grp *run.Group, address string, han http.Handler) (srv *http.Server, err error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	srv = &http.Server{Handler: han, ReadHeaderTimeout: headerTimeout}
	end := make(chan struct{})
	grp.Add(func() error {
		err := srv.Serve(entry.WrapListener(lis))
		if errors.Is(err, http.ErrServerClosed) {
			// A planned stop closed the listener; the stop actor ends the group.
			<-end
		}
		return err
	}, func(error) {
		close(end)
		_ = srv.Close()
	})
	return srv, nil
}

// addSignals turns a first SIGTERM or SIGINT into a drain, and a second one into an end at once.
func (nod *Node) addSignals(grp *run.Group) {
	sgs := make(chan os.Signal, 2)
	signal.Notify(sgs, syscall.SIGTERM, syscall.SIGINT)
	end := make(chan struct{})
	grp.Add(func() error {
		for num := 0; ; num++ {
			select {
			case sig := <-sgs:
				if num > 0 {
					return errors.Errorf("second %v", sig)
				}
				nod.Drain()
			case <-end:
				return nil
			}
		}
	}, func(error) {
		signal.Stop(sgs)
		close(end)
	})
}

// addPeers answers other nodes, if there are any.
func (nod *Node) addPeers(grp *run.Group) {
	if nod.peers == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		defer nod.peers.gossip.Start()()
		return nod.peers.endpoint.Serve(ctx)
	}, func(error) {
		cancel()
	})
}

// addStop carries out a planned stop once a drain begins.
func (nod *Node) addStop(grp *run.Group, cal *http.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		select {
		case <-nod.drain:
		case <-ctx.Done():
			return nil
		}
		nod.stopping.Store(true)
		nod.options.Log.Info("node stopping", "Active", nod.entry.Active())
		if nod.peers != nil {
			nod.peers.leave(ctx)
		}
		nod.pause(ctx, nod.live.Get().Limits.StopDelay)
		if err := cal.Shutdown(ctx); err != nil {
			return err
		}
		nod.ledger.Close()
		return errStopped
	}, func(error) {
		cancel()
	})
}

func (nod *Node) pause(ctx context.Context, dur time.Duration) {
	don := make(chan struct{})
	stop := nod.options.Timers.After(dur, func(time.Time) { close(don) })
	defer stop()
	select {
	case <-don:
	case <-ctx.Done():
	}
}

func (nod *Node) close() {
	for _, clo := range nod.closers {
		clo()
	}
	if err := nod.meter.Close(); err != nil {
		nod.options.Log.Warn("metrics not closed", "Error", err.Error())
	}
}
