package mesh

import (
	"net"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// usageRecord answers requests for window 7 and records what is delivered.
type usageRecord struct {
	answers []*wire.UsageAnswer
	copies  []*wire.UsageCopy
}

func (*usageRecord) Answer(req *wire.UsageRequest) *wire.UsageAnswer {
	return &wire.UsageAnswer{Id: req.GetId(), Window: req.GetWindow(), Node: "self"}
}
func (rec *usageRecord) Deliver(ans *wire.UsageAnswer) { rec.answers = append(rec.answers, ans) }
func (rec *usageRecord) Keep(cop *wire.UsageCopy)      { rec.copies = append(rec.copies, cop) }

// receiveMessage returns the next datagram of a socket.
func receiveMessage(t *testing.T, soc *net.UDPConn) (dig *wire.Digest) {
	t.Helper()
	buf := make([]byte, maxDigestBytes)
	_ = soc.SetReadDeadline(time.Now().Add(20 * time.Second))
	num, _, err := soc.ReadFromUDP(buf)
	dig = &wire.Digest{}
	if err == nil {
		err = proto.Unmarshal(buf[:num], dig)
	}
	if err != nil {
		t.Fatal(err)
	}
	return dig
}

// TestUsageMessages guards against usage messages that are lost between nodes, and against a node without usage counts that takes them.
func TestUsageMessages(t *testing.T) {
	soc, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = soc.Close() }()
	msh, _ := newMesh("self", fakes.NewRecordStore())
	msh.options.Load = emptyLoad{}
	msh.socket.Store(soc)
	from := soc.LocalAddr().(*net.UDPAddr)
	dig := &wire.Digest{Node: "peer", FailureDomain: "domain", Address: from.String(), Incarnation: 1, Sequence: 1}
	msh.acceptDigest(dig)
	msh.SendMessage("unknown", &wire.Digest{})
	msh.SendMessage("peer", &wire.Digest{UsageRequest: &wire.UsageRequest{Id: 3, Window: 7}})
	req := receiveMessage(t, soc)
	if msh.acceptMessage(soc, from, req) {
		t.Error("a node without usage counts took a request")
	}
	rec := &usageRecord{}
	msh.options.Usage = rec
	if !msh.acceptMessage(soc, from, req) {
		t.Error("a request was not taken")
	}
	ans := receiveMessage(t, soc)
	if !msh.acceptMessage(soc, from, ans) || len(rec.answers) != 1 || rec.answers[0].GetId() != 3 || rec.answers[0].GetWindow() != 7 {
		t.Errorf("answers %v", rec.answers)
	}
	if !msh.acceptMessage(soc, from, &wire.Digest{UsageCopy: &wire.UsageCopy{}}) || len(rec.copies) != 1 {
		t.Errorf("copies %v", rec.copies)
	}
	if !msh.IsLive("peer") || !msh.IsLive("self") || msh.IsLive("unknown") || !slices.Equal(msh.Members(), []string{"peer"}) {
		t.Errorf("members %v", msh.Members())
	}
}

// TestCopyHolders guards against both copies of a node's counts in one failure domain, where they are lost together with the node, and
// against copies at nodes that are not live or in another region.
func TestCopyHolders(t *testing.T) {
	cases := map[string]struct {
		domains []string
		want    []string
	}{
		"alone":                {nil, nil},
		"own and other domain": {[]string{"domain", "domain", "near", "far"}, []string{"domain", "near"}},
		"none in the domain":   {[]string{"near", "near", "far"}, []string{"near", "far"}},
		"only the own domain":  {[]string{"domain", "domain"}, []string{"domain"}},
		"only one more in all": {[]string{"far"}, []string{"far"}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			msh, tms := newMesh("self", fakes.NewRecordStore())
			msh.options.Regions = map[string]string{"domain": "one", "near": "one", "far": "two"}
			msh.options.Load = emptyLoad{}
			domains := make(map[string]string)
			for num, dom := range cas.domains {
				nam := string(rune('a' + num))
				domains[nam] = dom
				msh.acceptDigest(&wire.Digest{Node: nam, FailureDomain: dom, Address: "127.0.0.1:2", Incarnation: 1, Sequence: 1})
			}
			var got []string
			for _, nam := range msh.CopyHolders() {
				got = append(got, domains[nam])
			}
			if !slices.Equal(got, cas.want) {
				t.Errorf("copies in %v, want %v", got, cas.want)
			}
			tms.Advance(100 * minPeerTimeout)
			msh.prepareDigest(&wire.Digest{})
			if got := msh.CopyHolders(); len(got) > 0 {
				t.Errorf("copies at lost nodes %v", got)
			}
		})
	}
}
