package cli

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/inifile"
)

// Settings are the operator's settings:
//
//	[platform]
//	address = http://10.0.0.1:8500
//
//	[bundle]
//	name = kandy
//	threshold = 2
//	zones = lk-central-a, lk-central-b    ; optional: zones that every bundle must list
//
//	[key ruwan]
//	file = keys/ruwan.pub                 ; relative to the settings file
type Settings struct {
	Platform string
	Policy   bundle.Policy
	Zones    []string
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	f := inifile.Scan(file, data)
	s := &Settings{Policy: bundle.Policy{Keys: make(map[bundle.KeyID]ed25519.PublicKey)}}
	seen := make(map[string]*inifile.Section)
	for _, sec := range f.Sections {
		seen[sec.Name] = sec
		s.section(f, sec)
	}
	for _, name := range []string{"platform", "bundle"} {
		if seen[name] == nil {
			f.Fail(nil, "", "section [%s] is missing, allowed is exactly one", name)
		}
	}
	if n := len(s.Policy.Keys); seen["bundle"] != nil && s.Policy.Threshold > n {
		f.Fail(seen["bundle"], "threshold", "%d is above the number of keys, allowed is 1 to %d", s.Policy.Threshold, n)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) section(f *inifile.File, sec *inifile.Section) {
	switch {
	case sec.Name == "platform":
		f.ReadFields(sec, inifile.Field{Key: "address", Required: true, Set: func(v string) string {
			u, err := url.Parse(v)
			if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
				return "bad address " + strconv.Quote(v) + ", allowed is http://HOST:PORT or https://HOST:PORT"
			}
			s.Platform = v
			return ""
		}})
	case sec.Name == "bundle":
		f.ReadFields(sec,
			inifile.Field{Key: "name", Required: true, Set: inifile.Name(&s.Policy.Name)},
			inifile.Field{Key: "threshold", Required: true, Set: func(v string) string {
				n, err := strconv.Atoi(v)
				if err != nil || n < 1 || n > 100 {
					return "bad number " + strconv.Quote(v) + ", allowed is 1 to 100"
				}
				s.Policy.Threshold = n
				return ""
			}},
			inifile.Field{Key: "zones", Set: inifile.Names(&s.Zones)},
		)
	case len(sec.Name) > 4 && sec.Name[:4] == "key ":
		f.ReadFields(sec, inifile.Field{Key: "file", Required: true, Set: func(v string) string {
			if !filepath.IsAbs(v) {
				v = filepath.Join(filepath.Dir(f.Name), v)
			}
			key, err := ReadPublicKey(v)
			if err != nil {
				return err.Error() + ", allowed is a public key file made by keys new"
			}
			s.Policy.Keys[bundle.KeyIDOf(key)] = key
			return ""
		}})
	default:
		f.Fail(sec, "", "unknown section, allowed are [platform], [bundle], [key NAME]")
	}
}

// Types of PEM blocks in key files.
const (
	privateBlock = "PRIVATE KEY"
	publicBlock  = "PUBLIC KEY"
)

// ReadPublicKey reads an ed25519 public key in PEM (PKIX).
func ReadPublicKey(file string) (ed25519.PublicKey, error) {
	der, err := readPEM(file, publicBlock)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKIXPublicKey(der)
	if public, ok := key.(ed25519.PublicKey); err == nil && ok {
		return public, nil
	}
	return nil, errors.Errorf("%s: no ed25519 public key", file)
}

// ReadPrivateKey reads an ed25519 private key in PEM (PKCS #8).
func ReadPrivateKey(file string) (ed25519.PrivateKey, error) {
	der, err := readPEM(file, privateBlock)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(der)
	if private, ok := key.(ed25519.PrivateKey); err == nil && ok {
		return private, nil
	}
	return nil, errors.Errorf("%s: no ed25519 private key", file)
}

func readPEM(file, block string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	p, _ := pem.Decode(data)
	if p == nil || p.Type != block {
		return nil, errors.Errorf("%s: no PEM block of type %s", file, block)
	}
	return p.Bytes, nil
}
