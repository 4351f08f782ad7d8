package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

const (
	validity    = 24 * time.Hour
	serialLimit = 1 << 62
	// AuthorityFile is the name of the file to which Authority.Write writes the authority's certificate.
	AuthorityFile = "authority.pem"
)

// Authority is a certificate authority. Its private key is kept in memory only.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	raw         []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (ath *Authority, err error) {
	defer errs.Annotate(&err, "create certificate authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tpl, err := newTemplate("hornbeamdyke authority")
	if err != nil {
		return nil, err
	}
	tpl.IsCA = true
	tpl.BasicConstraintsValid = true
	tpl.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	crt, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	return &Authority{key: key, certificate: crt, raw: raw}, nil
}

// Write writes the authority's certificate as PEM to AuthorityFile in a directory.
func (ath *Authority) Write(dir string) (err error) {
	return writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", ath.raw)
}

// Issue creates a key and a certificate, valid for the node's name and 127.0.0.1, and writes them as PEM to
// name.pem and name.key in a directory.
func (ath *Authority) Issue(dir, name string) (err error) {
	defer errs.Annotatef(&err, "issue certificate of %s", name)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	tpl, err := newTemplate(name)
	if err != nil {
		return err
	}
	tpl.DNSNames = []string{name}
	tpl.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	tpl.KeyUsage = x509.KeyUsageDigitalSignature
	tpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, tpl, ath.certificate, &key.PublicKey, ath.key)
	if err != nil {
		return err
	}
	prv, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", raw); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", prv)
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name string) (tpl *x509.Certificate, err error) {
	ser, err := rand.Int(rand.Reader, big.NewInt(serialLimit))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: ser,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(validity),
	}, nil
}

func writePEM(file, blockType string, raw []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: raw}), 0o600)
}
