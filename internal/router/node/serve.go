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

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
)

// headerTimeout bounds the time in which a client sends the header of a request.
const headerTimeout = 10 * time.Second

// Run serves until a drain, a signal or the failure of a part. It returns nil after a graceful stop.
func (nod *Node) Run() (err error) {
	defer errs.Annotate(&err, "run node")
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

// errStopped ends the group of actors after a graceful stop.
var errStopped = errors.New("graceful stop")

// listen opens a TCP listener and adds an actor that serves HTTP on it.
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
			// Shutdown closed the listener. To return now would end the group and cut the requests in
			// flight; the actor of addStop ends it when they are done.
			<-end
		}
		return err
	}, func(error) {
		close(end)
		_ = srv.Close()
	})
	return srv, nil
}

// addSignals adds the actor that drains the node on the first SIGTERM or SIGINT and ends the group at once
// on the second.
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

// addPeers adds the actor that runs gossip and serves requests of peers, if the node has peers.
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

// addStop adds the actor that performs the graceful stop after Drain. cal is the server for callers.
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
		nod.sleep(ctx, nod.live.Get().Limits.StopDelay)
		if err := cal.Shutdown(ctx); err != nil {
			return err
		}
		nod.ledger.Close()
		return errStopped
	}, func(error) {
		cancel()
	})
}

// sleep waits for a duration or until the context ends.
func (nod *Node) sleep(ctx context.Context, dur time.Duration) {
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
		nod.options.Log.Warn("failed to close the metrics", "Error", err.Error())
	}
}
