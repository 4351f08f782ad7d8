package send

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

// CrashStrikes is the number of crashes after which a request is refused: crashes that come by themselves hit an innocent request twice now and then.
const CrashStrikes = 3

// crashTimeout limits the attempt to reach an upstream whose connection broke.
const crashTimeout = time.Second

// digest identifies a request by all that an upstream sees of it but its id.
func digest(cal *router.Call) string {
	sum := xxhash.New()
	for _, txt := range []string{cal.Method, cal.Host, cal.Target, cal.Key} {
		_, _ = sum.WriteString(strconv.Itoa(len(txt)))
		_, _ = sum.WriteString(txt)
	}
	_, _ = sum.Write(cal.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// broke reports whether a connection ended where an answer was due.
func broke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// confirmCrash records a strike if an upstream whose connection broke cannot be reached.
func (snd *Sender) confirmCrash(request, digest string, ins router.Instance) {
	if snd.reach(request, ins) {
		return
	}
	snd.options.Strike(guard.Strike{Digest: digest, Upstream: place.InstanceKey(ins), At: snd.options.Timers.Now()})
	snd.options.Log.Info("upstream crashed with request", "Request", request, "Digest", digest, "Upstream", ins.ID)
}

// reach reports whether an upstream accepts connections; one that does not is left alone for a moment.
func (snd *Sender) reach(request string, ins router.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	con, err := snd.options.Links.Pool(place.InstanceKey(ins), ins.Address).Dial(ctx)
	if err == nil {
		con.Close()
		return true
	}
	snd.options.Balancer.Eject(ins)
	snd.options.Log.Info("upstream not reached", "Request", request, "Upstream", ins.ID, "Error", err.Error())
	return false
}

// quarantine refuses a request that crashed upstreams.
func (cou *course) quarantine() Report {
	cou.reason = "upstreams crashed with this request"
	if cou.outcome() == router.Unknown {
		return cou.refuse(router.RefuseUnknown(router.CodeQuarantined, "%s", cou.reason))
	}
	return cou.refuse(router.Refuse(http.StatusServiceUnavailable, router.CodeQuarantined, "not run: %s", cou.reason))
}
