package audit

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Section is a list of a manifest.
type Section string

// The values of Section.
const (
	Whole    Section = "Manifest"
	Routes   Section = "Routes"
	Services Section = "Services"
	Accounts Section = "Accounts"
	Limits   Section = "Limits"
)

// Field is a field of an entry.
type Field string

// The values of Field; the empty one stands for the whole entry.
const (
	Version     Field = "Version"
	Name        Field = "Name"
	Host        Field = "Host"
	Prefix      Field = "Prefix"
	Stream      Field = "Stream"
	Repeat      Field = "Repeat"
	Public      Field = "Public"
	Tier        Field = "Tier"
	Timeout     Field = "Timeout"
	Target      Field = "Target"
	GapTarget   Field = "GapTarget"
	Attempts    Field = "Attempts"
	Backends    Field = "Backends"
	Connections Field = "Connections"
	Engine      Field = "Engine"
	Scaling     Field = "Scaling"
	Prices      Field = "Prices"
	Keys        Field = "Keys"
	HeaderBytes Field = "HeaderBytes"
	BodyBytes   Field = "BodyBytes"
)

// Entry is a part of a manifest.
type Entry struct {
	Section Section
	// Index is the position of a route or an account in its list; services are identified by Service.
	Index   int
	Service string
	Field   Field
	// Item is the position in the field, if it is a list, or negative for the whole list; Key is the key if the field is a map.
	Item int
	Key  string
}

// Finding is a fault of a manifest.
type Finding struct {
	Entry   Entry
	Error   bool
	Message string
}

// Context is what is known outside the manifest; what is zero is not checked.
type Context struct {
	// FailureDomains are the known failure domains.
	FailureDomains []string
	// Upstreams is the number of upstreams by service.
	Upstreams map[string]int
	// MaxDeadline is the longest time that callers give a call.
	MaxDeadline time.Duration
}

// checker collects the findings of one manifest.
type checker struct {
	Context

	man *router.Manifest
	fds []Finding
}

// Check returns the findings for a manifest, in the order of its entries.
func Check(man *router.Manifest, ctx Context) (fds []Finding) {
	chk := &checker{Context: ctx, man: man}
	names := make(map[string]bool)
	for num := range man.Routes {
		chk.checkRoute(num)
		if nam := man.Routes[num].Name; nam != "" && names[nam] {
			chk.warn(Entry{Section: Routes, Index: num, Field: Name}, "another route has the name %q; logs and metrics cannot tell them apart", nam)
		}
		names[man.Routes[num].Name] = true
	}
	chk.checkServices()
	chk.checkAccounts()
	if lim := man.Limits; lim.HeaderBytes < 0 {
		chk.fail(Entry{Section: Limits, Field: HeaderBytes}, "%d is negative", lim.HeaderBytes)
	}
	if lim := man.Limits; lim.BodyBytes < 0 {
		chk.fail(Entry{Section: Limits, Field: BodyBytes}, "%d is negative", lim.BodyBytes)
	}
	return chk.fds
}

func (chk *checker) fail(ent Entry, format string, args ...any) {
	chk.fds = append(chk.fds, Finding{Entry: ent, Error: true, Message: fmt.Sprintf(format, args...)})
}

func (chk *checker) warn(ent Entry, format string, args ...any) {
	chk.fds = append(chk.fds, Finding{Entry: ent, Message: fmt.Sprintf(format, args...)})
}

// checkRoute checks one route.
func (chk *checker) checkRoute(num int) {
	rou := chk.man.Routes[num]
	ent := func(fld Field) Entry { return Entry{Section: Routes, Index: num, Field: fld} }
	chk.checkMatch(num)
	chk.checkBackends(num)
	for fld, dur := range map[Field]time.Duration{Timeout: rou.Timeout, Target: rou.Target, GapTarget: rou.GapTarget} {
		if dur < 0 {
			chk.fail(ent(fld), "%v is negative", dur)
		}
	}
	if rou.Timeout > 0 && rou.Target > rou.Timeout {
		chk.warn(ent(Target), "the target %v is above the timeout %v of the route", rou.Target, rou.Timeout)
	}
	if rou.Timeout > 0 && rou.GapTarget > rou.Timeout {
		chk.warn(ent(GapTarget), "the gap target %v is above the timeout %v of the route", rou.GapTarget, rou.Timeout)
	}
	if rou.GapTarget > 0 && !rou.Stream {
		chk.warn(ent(GapTarget), "the route has no event streams, so that the gap target has no effect")
	}
	if chk.MaxDeadline > 0 && rou.Timeout > chk.MaxDeadline {
		chk.warn(ent(Timeout), "the timeout %v is above the longest deadline of callers %v", rou.Timeout, chk.MaxDeadline)
	}
	chk.checkAttempts(num)
}

// checkMatch finds routes that never match. Longer prefixes match first, so only an earlier route with an equal prefix takes all calls
// of a route.
func (chk *checker) checkMatch(num int) {
	rou := chk.man.Routes[num]
	if rou.Host == "" {
		chk.warn(Entry{Section: Routes, Index: num, Field: Host}, "the route has no host and never matches")
	}
	if _, _, err := net.SplitHostPort(rou.Host); err == nil {
		chk.warn(Entry{Section: Routes, Index: num, Field: Host}, "the host %q has a port, which is ignored in requests: the route never matches", rou.Host)
	}
	if rou.Prefix != "" && !strings.HasPrefix(rou.Prefix, "/") {
		chk.warn(Entry{Section: Routes, Index: num, Field: Prefix}, "the prefix %q does not begin with / and never matches", rou.Prefix)
	}
	for _, oth := range chk.man.Routes[:num] {
		if oth.Host == rou.Host && oth.Prefix == rou.Prefix {
			chk.warn(Entry{Section: Routes, Index: num, Field: Prefix}, "the route never matches: the earlier route %q has the same host and prefix", oth.Name)
			return
		}
	}
}

// checkBackends checks the services to which a route leads.
func (chk *checker) checkBackends(num int) {
	rou, sum := chk.man.Routes[num], 0
	for itm, bak := range rou.Backends {
		ent := Entry{Section: Routes, Index: num, Field: Backends, Item: itm}
		if _, fnd := chk.man.Services[bak.Service]; !fnd {
			chk.fail(ent, "the service %q is not defined", bak.Service)
		}
		switch {
		case bak.Weight < 0:
			chk.fail(ent, "the weight of %q is negative", bak.Service)
		case bak.Weight == 0 && len(rou.Backends) > 1:
			chk.warn(ent, "the weight of %q is zero: it gets no calls of this route", bak.Service)
		}
		sum += max(0, bak.Weight)
	}
	if sum == 0 {
		chk.fail(Entry{Section: Routes, Index: num, Field: Backends, Item: -1}, "no service has a weight above zero: all calls of the route are refused")
	}
}

// checkAttempts compares the attempts of a route with the upstreams of its services.
func (chk *checker) checkAttempts(num int) {
	rou, most, known := chk.man.Routes[num], 0, len(chk.man.Routes[num].Backends) > 0
	for _, bak := range rou.Backends {
		ups, fnd := chk.Upstreams[bak.Service]
		if spc := chk.man.Services[bak.Service].Scaling; !fnd && spc != nil && len(chk.FailureDomains) > 0 {
			ups, fnd = spc.Max*len(chk.FailureDomains), true
		}
		most, known = max(most, ups), known && fnd
	}
	if known && rou.Attempts > most {
		chk.warn(Entry{Section: Routes, Index: num, Field: Attempts}, "%d attempts are more than the %d upstreams", rou.Attempts, most)
	}
}
