package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Files are the paths of PEM files.
type Files struct {
	CA   string // certificates of the accepted authorities
	Cert string // certificate chain of this instance
	Key  string // private key of this instance
}

// credentialSet is the parsed content of the files after one load. The generation
// increases with each load that found a change.
type credentialSet struct {
	generation uint64
	raw        [3][]byte
	cert       tls.Certificate
	roots      *x509.CertPool
	self       Identity
}

// Credentials hold the certificate, the key and the accepted authorities of an
// instance. They are safe for concurrent use.
type Credentials struct {
	files   Files
	mu      sync.Mutex // serialises reloads
	current atomic.Pointer[credentialSet]
}

// LoadCredentials reads and parses the files.
func LoadCredentials(files Files) (*Credentials, error) {
	c := &Credentials{files: files}
	_, err := c.Reload()
	return c, err
}

// Reload reads the files again and reports whether they have changed. On an error
// the previous credentials stay in use; for example, the key doesn't match the
// certificate while the files are being replaced.
func (c *Credentials) Reload() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &credentialSet{generation: 1}
	for i, name := range []string{c.files.CA, c.files.Cert, c.files.Key} {
		b, err := os.ReadFile(name)
		if err != nil {
			return false, errors.Wrap(err, "TLS file")
		}
		next.raw[i] = b
	}
	if old := c.current.Load(); old != nil {
		if bytes.Equal(old.raw[0], next.raw[0]) && bytes.Equal(old.raw[1], next.raw[1]) && bytes.Equal(old.raw[2], next.raw[2]) {
			return false, nil
		}
		next.generation = old.generation + 1
	}
	if err := next.parse(); err != nil {
		return false, err
	}
	c.current.Store(next)
	return true, nil
}

func (m *credentialSet) parse() error {
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(m.raw[0]) {
		return errors.New("CA file has no PEM certificate")
	}
	var err error
	if m.cert, err = tls.X509KeyPair(m.raw[1], m.raw[2]); err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	if m.self, err = identityOf(m.cert.Leaf); err != nil {
		return errors.Wrap(err, "own certificate")
	}
	return nil
}

// Self returns the identity in the instance's own certificate.
func (c *Credentials) Self() Identity { return c.current.Load().self }

// Files returns the paths of the files.
func (c *Credentials) Files() Files { return c.files }

// watch reloads the files at each interval until ctx ends, and calls report after a
// change or an error. It polls because reading three small files is cheap and works
// where file notifications don't (network mounts, renamed directories).
func (c *Credentials) watch(ctx context.Context, interval time.Duration, report func(changed bool, err error)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if changed, err := c.Reload(); changed || err != nil {
				report(changed, err)
			}
		}
	}
}

// serverTLS returns a configuration that requests a client certificate and passes
// the result of its verification to accept. The certificate is requested, not
// required, so that accept also sees and counts clients without one.
func (c *Credentials) serverTLS(accept func(Identity, error) error) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"h2"},
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true, // saves two messages per handshake; reconnections are rare
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return accept(verify(c.current.Load().roots, s.PeerCertificates))
		},
	}
}

// clientTLS returns a configuration that passes the result of verifying the server
// to accept. It doesn't check host names, because a certificate names an instance,
// not an address.
func (c *Credentials) clientTLS(accept func(Identity, error) error) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return accept(verify(c.current.Load().roots, s.PeerCertificates))
		},
	}
}
