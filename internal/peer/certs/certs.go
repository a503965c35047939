package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/peer"
)

// clockSkewAllowance is how long before its creation a certificate becomes valid,
// to tolerate clock differences between instances.
const clockSkewAllowance = 5 * time.Minute

// Authority signs instance certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority whose certificate is valid for the given time.
func NewAuthority(name string, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	tmpl := certTemplate(name, valid)
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

// LoadAuthority parses the PEM output of CertPEM and KeyPEM, so that an existing
// authority can issue certificates for further instances.
func LoadAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate and key")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.New("not a CA certificate with an ECDSA key")
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

func certTemplate(name string, valid time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetInt64(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(valid),
	}
}

// Write issues a certificate for the identity and writes ca.pem, cert.pem and
// key.pem (readable by the owner only) to the directory, which it creates if
// needed.
func (a *Authority) Write(dir string, id peer.Identity, valid time.Duration) (peer.Files, error) {
	certPEM, keyPEM, err := a.issue(id, valid)
	if err != nil {
		return peer.Files{}, err
	}
	files := peer.Files{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return files, errors.Wrap(err, "create directory")
	}
	for _, f := range []struct {
		name string
		data []byte
	}{{files.CA, a.CertPEM()}, {files.Cert, certPEM}, {files.Key, keyPEM}} {
		if err := os.WriteFile(f.name, f.data, 0o600); err != nil {
			return files, errors.Wrap(err, "write TLS file")
		}
	}
	return files, nil
}

func (a *Authority) issue(id peer.Identity, valid time.Duration) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
	}
	tmpl := certTemplate(string(id.Instance), valid)
	tmpl.URIs = append(tmpl.URIs, id.URI())
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, private.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode key")
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
}

// CertPEM returns the authority's certificate in PEM form.
func (a *Authority) CertPEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

// KeyPEM returns the authority's private key in PEM form (PKCS #8).
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, errors.Wrap(err, "encode CA key")
	}
	return encodePEM("PRIVATE KEY", der), nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
