package peer

import (
	"context"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/certs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const callTime = 5 * time.Second

// issue writes a certificate of an authority and returns its files.
func issue(t *testing.T, ath *certs.Authority, dir string) conf.TLS {
	t.Helper()
	if err := ath.Write(dir); err != nil {
		t.Fatal(err)
	}
	if err := ath.Issue(dir, "n"); err != nil {
		t.Fatal(err)
	}
	return conf.TLS{
		Certificate: filepath.Join(dir, "n.pem"),
		Key:         filepath.Join(dir, "n.key"),
		Authority:   filepath.Join(dir, certs.AuthorityFile),
	}
}

func authority(t *testing.T) *certs.Authority {
	t.Helper()
	ath, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return ath
}

// listen starts an endpoint that answers every request with the node's name.
func listen(t *testing.T, fls conf.TLS) (end *Endpoint, kys *Keys) {
	t.Helper()
	kys, err := LoadKeys(fls)
	if err != nil {
		t.Fatal(err)
	}
	end, err = Listen(Options{
		Listen: "127.0.0.1:0", Keys: kys, Log: slog.New(slog.DiscardHandler),
		Handler: func(_ context.Context, req *wire.Request) *wire.Reply {
			return &wire.Reply{Body: &wire.Reply_Probe{Probe: &wire.ProbeReply{Sender: req.GetProbe().GetSender()}}}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = end.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = end.Close()
	})
	return end, kys
}

func (end *Endpoint) ask(t *testing.T, oth *Endpoint) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req := &wire.Request{Body: &wire.Request_Probe{Probe: &wire.Probe{Sender: &wire.Member{Name: "me"}}}}
	rep, err := end.Call(ctx, oth.socket.LocalAddr().String(), req)
	if err == nil && rep.GetProbe().GetSender().GetName() != "me" {
		t.Fatalf("reply %v", rep)
	}
	return err
}

func TestStrangersAreRefused(t *testing.T) {
	one, _ := listen(t, issue(t, authority(t), t.TempDir()))
	two, _ := listen(t, issue(t, authority(t), t.TempDir()))
	if err := one.ask(t, two); err == nil {
		t.Fatal("a node of another authority was answered")
	}
}

// TestKeysRotate replaces a node's certificate while connections are open and opens new ones.
func TestKeysRotate(t *testing.T) {
	ath := authority(t)
	dir := t.TempDir()
	one, kys := listen(t, issue(t, ath, dir))
	two, _ := listen(t, issue(t, ath, t.TempDir()))
	if err := one.ask(t, two); err != nil {
		t.Fatal(err)
	}
	old := kys.certificate
	issue(t, ath, dir)
	if err := kys.load(); err != nil {
		t.Fatal(err)
	}
	if kys.certificate == old {
		t.Fatal("the new certificate was not read")
	}
	if err := one.ask(t, two); err != nil {
		t.Fatalf("on the open connection: %v", err)
	}
	if err := two.ask(t, one); err != nil {
		t.Fatalf("on a new connection: %v", err)
	}
}
