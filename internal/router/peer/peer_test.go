package peer

import (
	"bytes"
	"context"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/certs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// callTimeout limits each call of a test.
const callTimeout = 5 * time.Second

// issue writes a certificate of an authority to a directory and returns its files.
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

// authority returns a new certificate authority.
func authority(t *testing.T) *certs.Authority {
	t.Helper()
	ath, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return ath
}

// listen starts an endpoint that answers every probe with the sender of the probe.
func listen(t *testing.T, fls conf.TLS) (end *Endpoint, crd *Credentials) {
	t.Helper()
	crd, err := LoadCredentials(fls)
	if err != nil {
		t.Fatal(err)
	}
	end, err = Listen(Options{
		Listen: "127.0.0.1:0", Credentials: crd, Log: slog.New(slog.DiscardHandler),
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
	return end, crd
}

// echo sends a probe to another endpoint and checks the reply.
func (end *Endpoint) echo(t *testing.T, oth *Endpoint) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req := &wire.Request{Body: &wire.Request_Probe{Probe: &wire.Probe{Sender: &wire.Member{Name: "me"}}}}
	rep, err := end.Call(ctx, oth.socket.LocalAddr().String(), req)
	if err == nil && rep.GetProbe().GetSender().GetName() != "me" {
		t.Fatalf("reply %v, want the sender of the probe", rep)
	}
	return err
}

// TestOtherAuthorityIsRefused guards against answers to nodes whose certificate is of another authority.
func TestOtherAuthorityIsRefused(t *testing.T) {
	one, _ := listen(t, issue(t, authority(t), t.TempDir()))
	two, _ := listen(t, issue(t, authority(t), t.TempDir()))
	if err := one.echo(t, two); err == nil {
		t.Fatal("a node with a certificate of another authority was answered")
	}
}

// TestCertificateRotation guards against calls that fail after a node's certificate was replaced: both on
// a connection that is open already and on a new one.
func TestCertificateRotation(t *testing.T) {
	ath := authority(t)
	dir := t.TempDir()
	one, crd := listen(t, issue(t, ath, dir))
	two, _ := listen(t, issue(t, ath, t.TempDir()))
	if err := one.echo(t, two); err != nil {
		t.Fatal(err)
	}
	old := crd.certificate
	issue(t, ath, dir)
	if err := crd.load(); err != nil {
		t.Fatal(err)
	}
	if crd.certificate == old {
		t.Fatal("the new certificate was not loaded")
	}
	if err := one.echo(t, two); err != nil {
		t.Fatalf("call on the open connection: %v", err)
	}
	if err := two.echo(t, one); err != nil {
		t.Fatalf("call on a new connection: %v", err)
	}
}

// TestLargeReply guards against the begin of a reply that counts as all of it: it ends after a field, where the limit of a message is
// reached.
func TestLargeReply(t *testing.T) {
	ath := authority(t)
	one, crd := listen(t, issue(t, ath, t.TempDir()))
	for name, cas := range map[string]struct {
		size  int
		sound bool
	}{
		"at the limit":     {maxMessageBytes, true},
		"beyond the limit": {2 * maxMessageBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			two, err := Listen(Options{
				Listen: "127.0.0.1:0", Credentials: crd, Log: slog.New(slog.DiscardHandler),
				Handler: func(context.Context, *wire.Request) *wire.Reply { return largeReply(cas.size) },
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			defer func() { _ = two.Close() }()
			go func() { _ = two.Serve(ctx) }()
			_, err = one.Call(ctx, two.socket.LocalAddr().String(), &wire.Request{})
			if (err == nil) != cas.sound || ctx.Err() != nil {
				t.Errorf("error %v", err)
			}
		})
	}
}

// largeReply returns a reply of a size in bytes, in fields of 16 bytes.
func largeReply(size int) *wire.Reply {
	// Field 100 of 13 bytes: its number and type in two bytes and its length in one.
	one := append([]byte{0xa2, 0x06, 13}, make([]byte, 13)...)
	rep := &wire.Reply{}
	rep.ProtoReflect().SetUnknown(bytes.Repeat(one, size/len(one)))
	return rep
}
