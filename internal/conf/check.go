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

// Check validates a Config, including the references between its values. The errors have the positions
// of the values in tre, from which the Config was decoded; err is Errors.
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

// CheckNode validates a Node that was decoded from tre; err is Errors.
func CheckNode(nod Node, tre *Tree) (err error) {
	chk := &checker{tree: tre}
	chk.name("Name", nod.Name)
	chk.name("FailureDomain", nod.FailureDomain)
	if nod.Peer != "" {
		chk.name("Region", nod.Region)
	}
	chk.listeners(nod)
	if nod.Peer != "" && (nod.TLS.Certificate == "" || nod.TLS.Key == "" || nod.TLS.Authority == "") {
		chk.errorf("TLS", "needs Certificate, Key and Authority when Peer is set")
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

// checker collects validation errors.
type checker struct {
	tree   *Tree
	errors Errors
}

// namePattern excludes brackets, which delimit names in paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)

// errorf records an error at the position of the value at path. If the settings leave the value out, it uses
// the position of the nearest enclosing value that they set.
func (chk *checker) errorf(path, format string, args ...any) {
	pos := chk.tree.Position
	for pth := path; pth != ""; pth = parentPath(pth) {
		if tre := chk.tree.Find(pth); tre != nil {
			pos = tre.Position
			break
		}
	}
	chk.errors.add(pos, path, format, args...)
}

// parentPath returns the path without its last step, or "".
func parentPath(path string) string {
	idx := strings.LastIndexAny(path, ".[")
	if idx < 0 {
		return ""
	}
	return path[:idx]
}

func (chk *checker) name(path, val string) {
	switch {
	case val == "":
		chk.errorf(path, "is missing")
	case !namePattern.MatchString(val):
		chk.errorf(path, "%q is not a name; letters, digits, dot, dash, slash and underscore are allowed", val)
	}
}

// fraction requires a value from 0 to 1.
func (chk *checker) fraction(path string, val float64) {
	if val < 0 || val > 1 {
		chk.errorf(path, "%g must be from 0 to 1", val)
	}
}

func (chk *checker) positive(path string, val time.Duration) {
	if val <= 0 {
		chk.errorf(path, "must be above 0s")
	}
}

func (chk *checker) atLeastOne(path string, val int) {
	if val < 1 {
		chk.errorf(path, "%d must be at least 1", val)
	}
}

// platform validates the settings for the platform, if the node uses one.
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
		pth := elementPath("Platform.FailureDomains", dom.Name)
		chk.name(joinPath(pth, "Name"), dom.Name)
		chk.name(joinPath(pth, "Region"), dom.Region)
	}
	chk.positive("Platform.Grace", plt.Grace)
	chk.duties(plt.Duties)
	chk.fraction("Platform.RetryShare", plt.RetryShare)
	if plt.RetryReserve < 0 {
		chk.errorf("Platform.RetryReserve", "%g must not be below 0", plt.RetryReserve)
	}
}

func (chk *checker) address(path, val string) {
	if _, _, err := net.SplitHostPort(val); err != nil {
		chk.errorf(path, "%q is not an address of the form IP:port", val)
	}
}

func (chk *checker) url(path, val string) {
	adr, err := url.Parse(val)
	if err != nil || adr.Host == "" || adr.Scheme != "http" && adr.Scheme != "https" {
		chk.errorf(path, "%q is not an http or https URL", val)
	}
}

// keyDigest requires a SHA-256 digest in hexadecimal.
func (chk *checker) keyDigest(path, val string) {
	raw, err := hex.DecodeString(val)
	if err != nil || len(raw) != 32 {
		chk.errorf(path, "is not a hexadecimal SHA-256 digest of a key")
	}
}

// oneOf requires val to be one of the allowed values.
func oneOf[T ~string](chk *checker, path string, val T, alw ...T) {
	nms := make([]string, 0, len(alw))
	for _, one := range alw {
		if val == one {
			return
		}
		nms = append(nms, string(one))
	}
	chk.errorf(path, "%q not allowed; allowed are %s", val, strings.Join(nms, ", "))
}

func (chk *checker) domains(cfg Config) {
	if len(cfg.FailureDomains) == 0 {
		chk.errorf("FailureDomains", "needs at least one failure domain")
	}
	for _, dom := range cfg.FailureDomains {
		pth := elementPath("FailureDomains", dom.Name)
		chk.name(joinPath(pth, "Name"), dom.Name)
		chk.name(joinPath(pth, "Region"), dom.Region)
	}
}

func (chk *checker) classes(cfg Config) {
	if len(cfg.Classes) == 0 {
		chk.errorf("Classes", "needs at least one class")
	}
	sum := 0.0
	for _, cls := range cfg.Classes {
		pth := elementPath("Classes", cls.Name)
		chk.name(joinPath(pth, "Name"), cls.Name)
		if cls.Tier < 0 || cls.Tier > router.MaxTier {
			chk.errorf(joinPath(pth, "Tier"), "%d must be from 0 to %d", cls.Tier, router.MaxTier)
		}
		if cls.FirstToken <= 0 {
			chk.errorf(joinPath(pth, "FirstToken"), "a class needs a target above 0s")
		}
		if cls.Objective <= 0 || cls.Objective >= 1 {
			chk.errorf(joinPath(pth, "Objective"), "%g must be above 0 and below 1", cls.Objective)
		}
		if cls.MinimumShare <= 0 {
			chk.errorf(joinPath(pth, "MinimumShare"), "%g must be above 0, so that the class makes progress", cls.MinimumShare)
		}
		sum += cls.MinimumShare
	}
	if sum > 1 {
		chk.errorf("Classes", "the minimum shares add up to %g; at most 1 is allowed", sum)
	}
}

func (chk *checker) pools(cfg Config) {
	if len(cfg.Pools) == 0 {
		chk.errorf("Pools", "needs at least one pool")
	}
	adrs := make(map[string]string)
	nms := make(map[string]string)
	mods := make(map[string]string)
	for _, pol := range cfg.Pools {
		pth := elementPath("Pools", pol.Name)
		chk.name(joinPath(pth, "Name"), pol.Name)
		oneOf(chk, joinPath(pth, "Kind"), pol.Kind, router.Engine, router.Service)
		chk.modelsAndOperations(pth, pol)
		for _, mod := range pol.Models {
			chk.unique(elementPath(joinPath(pth, "Models"), mod), "model", mod, mods, pth)
		}
		for _, ups := range pol.Upstreams {
			upt := elementPath(joinPath(pth, "Upstreams"), ups.Name)
			chk.upstream(upt, ups, cfg)
			chk.unique(joinPath(upt, "Name"), "upstream", ups.Name, nms, upt)
			chk.unique(joinPath(upt, "Address"), "address", strings.TrimSuffix(ups.Address, "/"), adrs, upt)
		}
	}
}

// unique requires that seen, which maps values to their owners, does not contain val, and adds it.
func (chk *checker) unique(path, what, val string, seen map[string]string, owner string) {
	if old, dup := seen[val]; dup {
		chk.errorf(path, "%s %s is used by %s already", what, val, old)
		return
	}
	seen[val] = owner
}

// modelsAndOperations requires models of an Engine pool and operations of a Service pool.
func (chk *checker) modelsAndOperations(path string, pol router.Pool) {
	switch pol.Kind {
	case router.Engine:
		if len(pol.Models) == 0 {
			chk.errorf(joinPath(path, "Models"), "an Engine pool needs at least one model")
		}
		if len(pol.Operations) > 0 {
			chk.errorf(joinPath(path, "Operations"), "an Engine pool has no operations")
		}
	case router.Service:
		if len(pol.Operations) == 0 {
			chk.errorf(joinPath(path, "Operations"), "a Service pool needs at least one operation")
		}
		if len(pol.Models) > 0 {
			chk.errorf(joinPath(path, "Models"), "a Service pool has no models")
		}
	}
	for _, opn := range pol.Operations {
		opt := elementPath(joinPath(path, "Operations"), opn.Name)
		chk.name(joinPath(opt, "Name"), opn.Name)
		oneOf(chk, joinPath(opt, "Method"), opn.Method, "GET", "POST", "PUT", "PATCH", "DELETE")
		if !strings.HasPrefix(opn.Path, "/") {
			chk.errorf(joinPath(opt, "Path"), "%q must start with a slash", opn.Path)
		}
	}
}

func (chk *checker) upstream(path string, ups router.Upstream, cfg Config) {
	chk.name(joinPath(path, "Name"), ups.Name)
	chk.url(joinPath(path, "Address"), ups.Address)
	chk.atLeastOne(joinPath(path, "Slots"), ups.Slots)
	if cfg.Region(ups.FailureDomain) == "" {
		chk.errorf(joinPath(path, "FailureDomain"), "unknown failure domain %q", ups.FailureDomain)
	}
}

func (chk *checker) workspaces(cfg Config) {
	keys := make(map[string]string)
	for _, wsp := range cfg.Workspaces {
		pth := elementPath("Workspaces", wsp.Name)
		chk.name(joinPath(pth, "Name"), wsp.Name)
		if len(wsp.KeyDigests) == 0 {
			chk.errorf(joinPath(pth, "KeyDigests"), "needs at least one key digest")
		}
		for _, dig := range wsp.KeyDigests {
			chk.keyDigest(joinPath(pth, "KeyDigests"), dig)
			chk.unique(joinPath(pth, "KeyDigests"), "key digest", dig, keys, pth)
		}
		if wsp.RequestRate <= 0 {
			chk.errorf(joinPath(pth, "RequestRate"), "%g must be above 0 requests a second", wsp.RequestRate)
		}
		chk.atLeastOne(joinPath(pth, "Burst"), wsp.Burst)
		chk.atLeastOne(joinPath(pth, "InFlight"), wsp.InFlight)
		if len(wsp.Classes) == 0 {
			chk.errorf(joinPath(pth, "Classes"), "needs at least one class")
		}
		for _, nam := range wsp.Classes {
			if _, fnd := cfg.Class(nam); !fnd {
				chk.errorf(elementPath(joinPath(pth, "Classes"), nam), "unknown class %q", nam)
			}
		}
	}
}

func (chk *checker) operators(cfg Config) {
	for _, opr := range cfg.Operators {
		pth := elementPath("Operators", opr.Name)
		chk.name(joinPath(pth, "Name"), opr.Name)
		chk.keyDigest(joinPath(pth, "KeyDigest"), opr.KeyDigest)
		oneOf(chk, joinPath(pth, "Role"), opr.Role, Viewer, Editor)
	}
}

func (chk *checker) policy(pcy Policy) {
	oneOf(chk, "Policy.Queue", pcy.Queue, Tiered, Fifo)
	oneOf(chk, "Policy.Pick", pcy.Pick, Observed, LeastInFlight, Random)
	oneOf(chk, "Policy.Slots", pcy.Slots, Leased, Alone)
	chk.atLeastOne("Policy.Subset", pcy.Subset)
	chk.atLeastOne("Policy.QueueLength", pcy.QueueLength)
	chk.atLeastOne("Policy.LongTokens", pcy.LongTokens)
	chk.fraction("Policy.LongShare", pcy.LongShare)
	chk.fraction("Policy.RetryShare", pcy.RetryShare)
	chk.fraction("Policy.HedgeShare", pcy.HedgeShare)
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

// listeners requires the listen addresses of a node to be valid and distinct.
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
