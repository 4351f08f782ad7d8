package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

// protocol is the ALPN name of the protocol between nodes.
const protocol = "hornbeamdyke/1"

// reloadPeriod is the minimum time between two checks of the files for changes.
const reloadPeriod = time.Second

// Credentials holds a node's certificate and its certificate authority, and reloads them from their files.
type Credentials struct {
	files conf.TLS
	mut   sync.Mutex
	// checkedAt is when the files were last checked; modTime is the newest modification time of the
	// files that were loaded.
	checkedAt   time.Time
	modTime     time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadCredentials reads the files; it returns an error if any is missing or invalid.
func LoadCredentials(fls conf.TLS) (crd *Credentials, err error) {
	defer errs.Annotate(&err, "load TLS keys")
	crd = &Credentials{files: fls}
	return crd, crd.load()
}

// Server returns the TLS configuration of the accepting side.
func (crd *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return crd.current()
		},
		VerifyConnection: crd.verify(x509.ExtKeyUsageClientAuth),
	}
}

// Client returns the TLS configuration of the dialling side.
func (crd *Credentials) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// Nodes are dialled by IP address, so there is no host name to check; verify checks the
		// certificate chain up to the authority instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return crd.current()
		},
		VerifyConnection: crd.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a check that the certificate of a peer is issued by the authority for a usage.
func (crd *Credentials) verify(use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(sta tls.ConnectionState) error {
		if len(sta.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		mid := x509.NewCertPool()
		for _, crt := range sta.PeerCertificates[1:] {
			mid.AddCert(crt)
		}
		crd.mut.Lock()
		ath := crd.authority
		crd.mut.Unlock()
		_, err := sta.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         ath,
			Intermediates: mid,
			KeyUsages:     []x509.ExtKeyUsage{use},
		})
		return err
	}
}

// current returns the certificate, and first reloads the files if the last check is older than reloadPeriod.
func (crd *Credentials) current() (crt *tls.Certificate, err error) {
	crd.mut.Lock()
	stale := time.Since(crd.checkedAt) > reloadPeriod
	crd.mut.Unlock()
	if stale {
		// A failed reload, for example of files that are only half written, keeps the old credentials;
		// a later check reads the files again.
		_ = crd.load()
	}
	crd.mut.Lock()
	defer crd.mut.Unlock()
	return crd.certificate, nil
}

// load reads the files if any has changed since they were last loaded.
func (crd *Credentials) load() (err error) {
	mod, err := crd.newestModTime()
	if err != nil {
		return err
	}
	crd.mut.Lock()
	defer crd.mut.Unlock()
	crd.checkedAt = time.Now()
	if mod.Equal(crd.modTime) {
		return nil
	}
	crt, err := tls.LoadX509KeyPair(crd.files.Certificate, crd.files.Key)
	if err != nil {
		return err
	}
	txt, err := os.ReadFile(crd.files.Authority)
	if err != nil {
		return err
	}
	pol := x509.NewCertPool()
	if !pol.AppendCertsFromPEM(txt) {
		return errors.Errorf("%s holds no certificate", crd.files.Authority)
	}
	crd.certificate, crd.authority, crd.modTime = &crt, pol, mod
	return nil
}

// newestModTime returns the newest modification time of the files.
func (crd *Credentials) newestModTime() (mod time.Time, err error) {
	for _, fil := range []string{crd.files.Certificate, crd.files.Key, crd.files.Authority} {
		inf, err := os.Stat(fil)
		if err != nil {
			return time.Time{}, err
		}
		if inf.ModTime().After(mod) {
			mod = inf.ModTime()
		}
	}
	return mod, nil
}
