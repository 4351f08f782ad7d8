package send

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
)

// MaxCrashes is the number of crashes after which a request is quarantined. Unrelated crashes occasionally hit
// an innocent request twice, so guard.DefaultMaxCrashes would be too few.
const MaxCrashes = 3

// provenAfter is how long an upstream must go on after the first event of an answer for the call to count as harmless.
const provenAfter = 300 * time.Millisecond

// quarantineRetryAfter is the Retry-After of calls that crashed upstreams.
const quarantineRetryAfter = time.Minute

// probeTimeout limits connecting to an upstream to find out whether it is still up.
const probeTimeout = time.Second

// digest returns a hash of a request's method, host, target, credential and body. The id and the forwarded headers
// are not included.
func digest(cal *router.Call) string {
	sum := xxhash.New()
	for _, txt := range []string{cal.Method, cal.Host, cal.Target, cal.Key} {
		_, _ = sum.WriteString(strconv.Itoa(len(txt)))
		_, _ = sum.WriteString(txt)
	}
	_, _ = sum.Write(cal.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// connectionBroken reports whether an error means that the connection ended before the response did.
func connectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// showsCrash reports whether a failed connect to an upstream, right after a connection to it broke, shows that the upstream
// crashed: nothing listens at its address any more. An upstream that resets connections is full, and one that does not respond
// has a full backlog or is cut off.
func showsCrash(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// confirmCrash reports a crash if an upstream whose connection broke refuses a new connection, and was not about to stop.
// suspects holds the parts of the prompt that may have crashed it, and onAlive, if it is not nil, is called if the upstream accepts the
// connection.
func (snd *Sender) confirmCrash(cal *router.Call, digest string, ins router.Instance, suspects []uint64, onAlive func()) {
	leaving := snd.isLeaving(ins)
	err := snd.probe(cal.ID, ins)
	if err == nil && onAlive != nil {
		onAlive()
	}
	if !showsCrash(err) || leaving {
		return
	}
	snd.options.OnCrash(guard.Crash{Digest: digest, Upstream: ins.Key(), At: snd.options.Timers.Now(), Parts: suspects})
	snd.options.Log.Info("upstream crashed with request", "Request", cal.ID, "Digest", digest, "Upstream", ins.ID, "Suspects", partNames(suspects))
}

// isLeaving reports whether an upstream stops as planned: it says so, its record says so, or its record was removed. The
// record of an upstream that crashed stays for some seconds.
func (snd *Sender) isLeaving(ins router.Instance) bool {
	return snd.options.Terms.IsLeaving(ins) || !slices.ContainsFunc(snd.options.Roster.Available(ins.Service), ins.Same)
}

// sharedParts returns the hashes of the parts of a prompt that requests share: all but the last.
func sharedParts(prompt []router.PromptPart) (parts []uint64) {
	for _, prt := range prompt[:max(0, len(prompt)-1)] {
		parts = append(parts, prt.ID)
	}
	return parts
}

// partNames returns hashes of parts in hexadecimal.
func partNames(parts []uint64) (names []string) {
	for _, prt := range parts {
		names = append(names, strconv.FormatUint(prt, 16))
	}
	return names
}

// suspectParts returns the parts that may have crashed the upstream of the current attempt: none if it had answered for some
// time.
func (act *activeCall) suspectParts() (parts []uint64) {
	if act.proven || !act.begunAt.IsZero() && act.sender.options.Timers.Now().Sub(act.begunAt) >= provenAfter {
		return nil
	}
	return act.parts
}

// prove reports that the upstream of the current attempt answers without a crash.
func (act *activeCall) prove() {
	if act.proven || act.begunAt.IsZero() || len(act.parts) == 0 {
		return
	}
	act.proven = true
	act.sender.options.OnAnswer(act.parts, act.begunAt)
}

// isQuarantined reports whether the call, or a part of its prompt, crashed too many upstreams.
func (act *activeCall) isQuarantined() bool {
	grd := act.sender.options.Guard
	return grd.IsQuarantined(act.digest) || grd.HasQuarantinedPart(act.parts)
}

// probe connects to an upstream and returns the error, which is nil if it accepts connections. One that does not is ejected,
// that is, excluded from placement for a short time.
func (snd *Sender) probe(request string, ins router.Instance) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	con, err := snd.options.Pools.Pool(ins.Key(), ins.Address).Dial(ctx)
	if err == nil {
		con.Close()
		return nil
	}
	snd.options.Balancer.Eject(ins)
	if showsCrash(err) {
		snd.options.Terms.ObserveRefusal(ins)
	}
	snd.options.Log.Info("upstream not reached", "Request", request, "Upstream", ins.ID, "Error", err.Error())
	return err
}

// finishQuarantined refuses a request that crashed upstreams.
func (act *activeCall) finishQuarantined() Report {
	act.reason = "upstreams crashed with this request"
	if act.outcome() == router.Unknown {
		return act.refuse(router.RefuseUnknown(router.CodeQuarantined, "%s", act.reason))
	}
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeQuarantined, "not run: %s", act.reason)
	ref.RetryAfter = quarantineRetryAfter
	return act.refuse(ref)
}
