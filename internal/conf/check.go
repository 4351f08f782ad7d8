package conf

import (
	"encoding/hex"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Check judges a Config decoded from tre as a whole; err is Errors.
func Check(cfg Config, tre *Tree) (err error) {
	chk := &checker{tree: tre}
	chk.name("Deployment", cfg.Deployment)
	chk.domains(cfg)
	chk.classes(cfg)
	chk.pools(cfg)
	chk.workspaces(cfg)
	chk.operators(cfg)
	chk.policy(cfg.Policy)
	chk.limits(cfg.Limits)
	return chk.errors.orNil()
}

// CheckNode judges a Node decoded from tre; err is Errors.
func CheckNode(nod Node, tre *Tree) (err error) {
	chk := &checker{tree: tre}
	chk.name("Name", nod.Name)
	chk.name("FailureDomain", nod.FailureDomain)
	if nod.Peer != "" {
		chk.name("Region", nod.Region)
	}
	chk.listeners(nod)
	if nod.Peer != "" && (nod.TLS.Certificate == "" || nod.TLS.Key == "" || nod.TLS.Authority == "") {
		chk.fail("TLS", "needs Certificate, Key and Authority when Peer is set")
	}
	oneOf(chk, "Table.Kind", nod.Table.Kind, Memory, InPlatform)
	oneOf(chk, "Objects.Kind", nod.Objects.Kind, Memory, InPlatform)
	if nod.Table.Kind == InPlatform {
		chk.address("Table.Endpoint", nod.Table.Endpoint)
	}
	if nod.Objects.Kind == InPlatform {
		chk.address("Objects.Endpoint", nod.Objects.Endpoint)
	}
	chk.platform(nod.Platform)
	if nod.VMList.URL != "" {
		chk.url("VMList.URL", nod.VMList.URL)
	}
	chk.positive("Table.Timeout", nod.Table.Timeout)
	chk.positive("VMList.Interval", nod.VMList.Interval)
	return chk.errors.orNil()
}

type checker struct {
	tree   *Tree
	errors Errors
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)

// fail records a fault at the value's position, or at its nearest parent that was given.
func (chk *checker) fail(path, format string, args ...any) {
	pos := chk.tree.Position
	for pth := path; pth != ""; pth = parent(pth) {
		if tre := chk.tree.Find(pth); tre != nil {
			pos = tre.Position
			break
		}
	}
	chk.errors.add(pos, path, format, args...)
}

func parent(path string) string {
	idx := strings.LastIndexAny(path, ".[")
	if idx < 0 {
		return ""
	}
	return path[:idx]
}

func (chk *checker) name(path, val string) {
	switch {
	case val == "":
		chk.fail(path, "is missing")
	case !namePattern.MatchString(val):
		chk.fail(path, "%q is not a name; letters, digits, dot, dash, slash and underscore are allowed", val)
	}
}

func (chk *checker) share(path string, val float64) {
	if val < 0 || val > 1 {
		chk.fail(path, "%g must be from 0 to 1", val)
	}
}

func (chk *checker) positive(path string, val time.Duration) {
	if val <= 0 {
		chk.fail(path, "must be above 0s")
	}
}

func (chk *checker) atLeastOne(path string, val int) {
	if val < 1 {
		chk.fail(path, "%d must be at least 1", val)
	}
}

// platform judges the platform's settings, if there is one.
func (chk *checker) platform(plt Platform) {
	if plt.Store == "" {
		return
	}
	chk.address("Platform.Store", plt.Store)
	chk.address("Platform.Mesh", plt.Mesh)
	if plt.Metrics != "" {
		chk.address("Platform.Metrics", plt.Metrics)
	}
	for _, dom := range plt.FailureDomains {
		pth := element("Platform.FailureDomains", dom.Name)
		chk.name(join(pth, "Name"), dom.Name)
		chk.name(join(pth, "Region"), dom.Region)
	}
	chk.positive("Platform.Grace", plt.Grace)
	chk.share("Platform.RetryShare", plt.RetryShare)
	if plt.RetryReserve < 0 {
		chk.fail("Platform.RetryReserve", "%g must not be below 0", plt.RetryReserve)
	}
}

func (chk *checker) address(path, val string) {
	if _, _, err := net.SplitHostPort(val); err != nil {
		chk.fail(path, "%q is not an address of the form IP:port", val)
	}
}

func (chk *checker) url(path, val string) {
	adr, err := url.Parse(val)
	if err != nil || adr.Host == "" || adr.Scheme != "http" && adr.Scheme != "https" {
		chk.fail(path, "%q is not an http or https URL", val)
	}
}

func (chk *checker) digest(path, val string) {
	raw, err := hex.DecodeString(val)
	if err != nil || len(raw) != 32 {
		chk.fail(path, "is not a hexadecimal SHA-256 digest of a key")
	}
}

func oneOf[T ~string](chk *checker, path string, val T, alw ...T) {
	nms := make([]string, 0, len(alw))
	for _, one := range alw {
		if val == one {
			return
		}
		nms = append(nms, string(one))
	}
	chk.fail(path, "%q not allowed; allowed are %s", val, strings.Join(nms, ", "))
}

func (chk *checker) domains(cfg Config) {
	if len(cfg.FailureDomains) == 0 {
		chk.fail("FailureDomains", "needs at least one failure domain")
	}
	for _, dom := range cfg.FailureDomains {
		pth := element("FailureDomains", dom.Name)
		chk.name(join(pth, "Name"), dom.Name)
		chk.name(join(pth, "Region"), dom.Region)
	}
}

func (chk *checker) classes(cfg Config) {
	if len(cfg.Classes) == 0 {
		chk.fail("Classes", "needs at least one class")
	}
	sum := 0.0
	for _, cls := range cfg.Classes {
		pth := element("Classes", cls.Name)
		chk.name(join(pth, "Name"), cls.Name)
		if cls.Tier < 0 || cls.Tier > router.MaxTier {
			chk.fail(join(pth, "Tier"), "%d must be from 0 to %d", cls.Tier, router.MaxTier)
		}
		if cls.FirstToken <= 0 {
			chk.fail(join(pth, "FirstToken"), "a class needs a target above 0s")
		}
		if cls.Objective <= 0 || cls.Objective >= 1 {
			chk.fail(join(pth, "Objective"), "%g must be above 0 and below 1", cls.Objective)
		}
		if cls.MinimumShare <= 0 {
			chk.fail(join(pth, "MinimumShare"), "%g must be above 0, so that the class makes progress", cls.MinimumShare)
		}
		sum += cls.MinimumShare
	}
	if sum > 1 {
		chk.fail("Classes", "the minimum shares add up to %g; at most 1 is allowed", sum)
	}
}

func (chk *checker) pools(cfg Config) {
	if len(cfg.Pools) == 0 {
		chk.fail("Pools", "needs at least one pool")
	}
	adrs := make(map[string]string)
	nms := make(map[string]string)
	mods := make(map[string]string)
	for _, pol := range cfg.Pools {
		pth := element("Pools", pol.Name)
		chk.name(join(pth, "Name"), pol.Name)
		oneOf(chk, join(pth, "Kind"), pol.Kind, router.Engine, router.Service)
		chk.serves(pth, pol)
		for _, mod := range pol.Models {
			chk.unique(element(join(pth, "Models"), mod), "model", mod, mods, pth)
		}
		for _, ups := range pol.Upstreams {
			upt := element(join(pth, "Upstreams"), ups.Name)
			chk.upstream(upt, ups, cfg)
			chk.unique(join(upt, "Name"), "upstream", ups.Name, nms, upt)
			chk.unique(join(upt, "Address"), "address", strings.TrimSuffix(ups.Address, "/"), adrs, upt)
		}
	}
}

func (chk *checker) unique(path, what, val string, seen map[string]string, owner string) {
	if old, dup := seen[val]; dup {
		chk.fail(path, "%s %s is used by %s already", what, val, old)
		return
	}
	seen[val] = owner
}

func (chk *checker) serves(path string, pol router.Pool) {
	switch pol.Kind {
	case router.Engine:
		if len(pol.Models) == 0 {
			chk.fail(join(path, "Models"), "an Engine pool needs at least one model")
		}
		if len(pol.Operations) > 0 {
			chk.fail(join(path, "Operations"), "an Engine pool has no operations")
		}
	case router.Service:
		if len(pol.Operations) == 0 {
			chk.fail(join(path, "Operations"), "a Service pool needs at least one operation")
		}
		if len(pol.Models) > 0 {
			chk.fail(join(path, "Models"), "a Service pool has no models")
		}
	}
	for _, opn := range pol.Operations {
		opt := element(join(path, "Operations"), opn.Name)
		chk.name(join(opt, "Name"), opn.Name)
		oneOf(chk, join(opt, "Method"), opn.Method, "GET", "POST", "PUT", "PATCH", "DELETE")
		if !strings.HasPrefix(opn.Path, "/") {
			chk.fail(join(opt, "Path"), "%q must start with a slash", opn.Path)
		}
	}
}

func (chk *checker) upstream(path string, ups router.Upstream, cfg Config) {
	chk.name(join(path, "Name"), ups.Name)
	chk.url(join(path, "Address"), ups.Address)
	chk.atLeastOne(join(path, "Slots"), ups.Slots)
	if cfg.Region(ups.FailureDomain) == "" {
		chk.fail(join(path, "FailureDomain"), "unknown failure domain %q", ups.FailureDomain)
	}
}

func (chk *checker) workspaces(cfg Config) {
	keys := make(map[string]string)
	for _, wsp := range cfg.Workspaces {
		pth := element("Workspaces", wsp.Name)
		chk.name(join(pth, "Name"), wsp.Name)
		if len(wsp.KeyDigests) == 0 {
			chk.fail(join(pth, "KeyDigests"), "needs at least one key digest")
		}
		for _, dig := range wsp.KeyDigests {
			chk.digest(join(pth, "KeyDigests"), dig)
			chk.unique(join(pth, "KeyDigests"), "key digest", dig, keys, pth)
		}
		if wsp.RequestRate <= 0 {
			chk.fail(join(pth, "RequestRate"), "%g must be above 0 requests a second", wsp.RequestRate)
		}
		chk.atLeastOne(join(pth, "Burst"), wsp.Burst)
		chk.atLeastOne(join(pth, "InFlight"), wsp.InFlight)
		if len(wsp.Classes) == 0 {
			chk.fail(join(pth, "Classes"), "needs at least one class")
		}
		for _, nam := range wsp.Classes {
			if _, fnd := cfg.Class(nam); !fnd {
				chk.fail(element(join(pth, "Classes"), nam), "unknown class %q", nam)
			}
		}
	}
}

func (chk *checker) operators(cfg Config) {
	for _, opr := range cfg.Operators {
		pth := element("Operators", opr.Name)
		chk.name(join(pth, "Name"), opr.Name)
		chk.digest(join(pth, "KeyDigest"), opr.KeyDigest)
		oneOf(chk, join(pth, "Role"), opr.Role, Viewer, Editor)
	}
}

func (chk *checker) policy(pcy Policy) {
	oneOf(chk, "Policy.Queue", pcy.Queue, Tiered, Fifo)
	oneOf(chk, "Policy.Pick", pcy.Pick, Observed, LeastInFlight, Random)
	oneOf(chk, "Policy.Slots", pcy.Slots, Leased, Alone)
	chk.atLeastOne("Policy.Subset", pcy.Subset)
	chk.atLeastOne("Policy.QueueLength", pcy.QueueLength)
	chk.atLeastOne("Policy.LongTokens", pcy.LongTokens)
	chk.share("Policy.LongShare", pcy.LongShare)
	chk.share("Policy.RetryShare", pcy.RetryShare)
	chk.share("Policy.HedgeShare", pcy.HedgeShare)
	chk.positive("Policy.StallAfter", pcy.StallAfter)
	chk.positive("Policy.ConnectTimeout", pcy.ConnectTimeout)
}

func (chk *checker) limits(lim Limits) {
	chk.atLeastOne("Limits.BodyBytes", lim.BodyBytes)
	chk.atLeastOne("Limits.AnswerBytes", lim.AnswerBytes)
	chk.positive("Limits.OrderRetention", lim.OrderRetention)
	chk.positive("Limits.OrderTimeout", lim.OrderTimeout)
	chk.positive("Limits.OrderWait", lim.OrderWait)
}

func (chk *checker) listeners(nod Node) {
	seen := make(map[string]string)
	for _, lis := range []struct{ field, address string }{
		{"Listen", nod.Listen},
		{"Admin", nod.Admin},
		{"Peer", nod.Peer},
	} {
		if lis.address == "" && lis.field == "Peer" {
			continue
		}
		if _, _, err := net.SplitHostPort(lis.address); err != nil {
			chk.address(lis.field, lis.address)
			continue
		}
		chk.unique(lis.field, "address", lis.address, seen, lis.field)
	}
}
