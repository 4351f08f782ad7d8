package edge

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"
)

// addSignalHandler makes SIGTERM and SIGINT stop the node gracefully, and SIGHUP reload its
// settings.
func (nod *Node) addSignalHandler(grp *run.Group, srv *http.Server) {
	sgs := make(chan os.Signal, 2)
	signal.Notify(sgs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	interrupted := make(chan struct{})
	grp.Add(func() error {
		for {
			select {
			case sig := <-sgs:
				if sig == syscall.SIGHUP {
					nod.reload()
					continue
				}
				nod.shutDown(srv)
				return errStopped
			case <-interrupted:
				return nil
			}
		}
	}, func(error) {
		signal.Stop(sgs)
		close(interrupted)
	})
}

// reload reads the settings again. If they are invalid, the old ones stay in force.
func (nod *Node) reload() {
	set, err := nod.options.Reload()
	if err != nil {
		nod.options.Log.Error("settings not reloaded", "Error", err.Error())
		return
	}
	nod.settings.Store(&set)
	nod.options.Log.Info("settings reloaded")
}
