package edge

import (
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
)

// intakeGaugeInterval is how often the metrics of memory and connections of callers are updated.
const intakeGaugeInterval = time.Second

// newMemory returns the bound of what callers make the node hold.
func newMemory(opt Options, rep *intake.Reporter) *intake.Budget {
	pla := opt.Settings.Platform
	des := pla.FileDescriptors
	if des == 0 {
		des = descriptorLimit()
	}
	return intake.New(intake.Options{
		Timers: opt.Timers, MemoryBytes: int64(pla.MemoryMebibytes) << 20, Descriptors: des, OnRefuse: rep.Refuse,
	})
}

// descriptorLimit returns the limit of open descriptors of the process, or zero if it is unknown.
func descriptorLimit() int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return 0
	}
	return int(min(lim.Cur, 1<<30))
}

// listenCallers adds the HTTP server for callers to the run group.
func (nod *Node) listenCallers(grp *run.Group, address string) (srv *http.Server, err error) {
	soc, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	lis := intake.NewListener(soc, nod.memory)
	srv = nod.serve(grp, lis, nod.handler)
	srv.ConnState = lis.Observe
	srv.ConnContext = intake.Context
	nod.closers = append(nod.closers, nod.options.Timers.Every(intakeGaugeInterval, func(time.Time) {
		nod.reporter.Gauges(nod.memory, lis)
	}))
	return srv, nil
}

// serve adds an HTTP server on a listener to the run group.
func (nod *Node) serve(grp *run.Group, lis net.Listener, han http.Handler) (srv *http.Server) {
	srv = &http.Server{
		Handler:           han,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(nod.options.Log.Handler(), slog.LevelDebug),
	}
	interrupted := make(chan struct{})
	grp.Add(func() error {
		err := srv.Serve(lis)
		if errors.Is(err, http.ErrServerClosed) {
			// shutDown closed the listener. Wait for the group to end, since returning now would
			// end it before the requests in flight.
			<-interrupted
		}
		return err
	}, func(error) {
		close(interrupted)
		_ = srv.Close()
	})
	return srv
}
