package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

// protocol is the ALPN name of the messages between nodes.
const protocol = "hornbeamdyke/1"

// reloadPeriod is how often the files are looked at.
const reloadPeriod = time.Second

// Keys holds a node's certificate and its authority as the files last gave them.
type Keys struct {
	files conf.TLS
	mut   sync.Mutex
	// checked is when the files were last looked at, and changed their newest time of change.
	checked     time.Time
	changed     time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadKeys reads the files, or returns an error when any cannot be used.
func LoadKeys(fls conf.TLS) (kys *Keys, err error) {
	defer fault.Annotate(&err, "load TLS keys")
	kys = &Keys{files: fls}
	return kys, kys.load()
}

// Server returns the settings of the accepting side.
func (kys *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return kys.current()
		},
		VerifyConnection: kys.verify(x509.ExtKeyUsageClientAuth),
	}
}

// Client returns the settings of the dialling side.
func (kys *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// Nodes are dialled by IP number; verify checks the chain to the authority instead of a host name.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return kys.current()
		},
		VerifyConnection: kys.verify(x509.ExtKeyUsageServerAuth),
	}
}

func (kys *Keys) verify(use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(sta tls.ConnectionState) error {
		if len(sta.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		mid := x509.NewCertPool()
		for _, crt := range sta.PeerCertificates[1:] {
			mid.AddCert(crt)
		}
		kys.mut.Lock()
		ath := kys.authority
		kys.mut.Unlock()
		_, err := sta.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         ath,
			Intermediates: mid,
			KeyUsages:     []x509.ExtKeyUsage{use},
		})
		return err
	}
}

// current returns the certificate, after a look at the files if the last one is old.
func (kys *Keys) current() (crt *tls.Certificate, err error) {
	kys.mut.Lock()
	old := time.Since(kys.checked) > reloadPeriod
	kys.mut.Unlock()
	if old {
		// Files that are half written stay unused; the next look finds them whole.
		_ = kys.load()
	}
	kys.mut.Lock()
	defer kys.mut.Unlock()
	return kys.certificate, nil
}

func (kys *Keys) load() (err error) {
	chg, err := kys.newest()
	if err != nil {
		return err
	}
	kys.mut.Lock()
	defer kys.mut.Unlock()
	kys.checked = time.Now()
	if chg.Equal(kys.changed) {
		return nil
	}
	crt, err := tls.LoadX509KeyPair(kys.files.Certificate, kys.files.Key)
	if err != nil {
		return err
	}
	txt, err := os.ReadFile(kys.files.Authority)
	if err != nil {
		return err
	}
	pol := x509.NewCertPool()
	if !pol.AppendCertsFromPEM(txt) {
		return errors.Errorf("%s holds no certificate", kys.files.Authority)
	}
	kys.certificate, kys.authority, kys.changed = &crt, pol, chg
	return nil
}

func (kys *Keys) newest() (chg time.Time, err error) {
	for _, fil := range []string{kys.files.Certificate, kys.files.Key, kys.files.Authority} {
		inf, err := os.Stat(fil)
		if err != nil {
			return time.Time{}, err
		}
		if inf.ModTime().After(chg) {
			chg = inf.ModTime()
		}
	}
	return chg, nil
}
