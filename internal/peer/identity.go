package peer

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
)

// uriScheme is the scheme of the SAN URI that names an instance.
const uriScheme = "guavaloom"

// Identity is the instance that a certificate names.
type Identity struct {
	Zone     string
	Instance instance.ID
}

// URI returns guavaloom://ZONE/INSTANCE, the form used in certificates.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Zone, Path: "/" + string(i.Instance)}
}

// String returns the URI as text.
func (i Identity) String() string { return i.URI().String() }

// refusal is an error that rejects a peer, with its reason label for metrics.
type refusal struct {
	reason string
	err    error
}

func (r *refusal) Error() string { return r.reason + ": " + r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

func newRefusal(reason, format string, args ...any) *refusal {
	return &refusal{reason: reason, err: errors.Errorf(format, args...)}
}

// identityOf returns the identity in a certificate. It doesn't verify the
// certificate.
func identityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		name := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == uriScheme && u.Host != "" && name != "" && !strings.Contains(name, "/") {
			found = append(found, Identity{Zone: u.Host, Instance: instance.ID(name)})
		}
	}
	if len(found) != 1 {
		return Identity{}, newRefusal("no_identity", "certificate has %d SAN URIs of the form %s://ZONE/INSTANCE, want 1", len(found), uriScheme)
	}
	return found[0], nil
}

// verify checks a certificate chain against the roots and returns the identity of
// the leaf certificate.
func verify(roots *x509.CertPool, certs []*x509.Certificate) (Identity, error) {
	if len(certs) == 0 {
		return Identity{}, newRefusal("no_certificate", "peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return Identity{}, &refusal{"expired", err}
	case errors.As(err, &x509.UnknownAuthorityError{}):
		return Identity{}, &refusal{"unknown_ca", err}
	case err != nil:
		return Identity{}, &refusal{"invalid_certificate", err}
	}
	return identityOf(certs[0])
}
