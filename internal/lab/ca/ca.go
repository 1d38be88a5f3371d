// Package ca makes authorities and certificates for tests: keys of several kinds, any dates, cross-signing. Nothing that
// it makes is for use elsewhere.
package ca

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Kind is the kind of a key.
type Kind string

// The kinds.
const (
	RSA2048 Kind = "rsa2048"
	P256    Kind = "p256"
	Ed25519 Kind = "ed25519"
)

// Kinds are all kinds.
var Kinds = []Kind{RSA2048, P256, Ed25519}

// NewKey makes a key.
func NewKey(kind Kind) (crypto.Signer, error) {
	switch kind {
	case RSA2048:
		return rsa.GenerateKey(rand.Reader, 2048)
	case P256:
		return ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case Ed25519:
		_, key, err := ed25519.GenerateKey(rand.Reader)
		return key, err
	}
	return nil, fmt.Errorf("ca: %q is not a kind of key", kind)
}

// Pair is a certificate with its key, and the chain above it without the root.
type Pair struct {
	Cert  *x509.Certificate
	Key   crypto.Signer
	Chain []*x509.Certificate
}

// Leaf says what a certificate is to be for. Zero dates are an hour ago and a day ahead.
type Leaf struct {
	Names     []string // host names and addresses
	NotBefore time.Time
	NotAfter  time.Time
	Client    bool
	Key       crypto.Signer // nil for a new one of Kind
	Kind      Kind          // P256 if empty
}

func validity(from, to time.Time) (time.Time, time.Time) {
	if from.IsZero() {
		from = time.Now().Add(-time.Hour)
	}
	if to.IsZero() {
		to = time.Now().Add(24 * time.Hour)
	}
	return from, to
}

func serial() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // it never fails
	return n
}

// Root makes a root authority.
func Root(name string, kind Kind) (*Pair, error) {
	key, err := NewKey(kind)
	if err != nil {
		return nil, err
	}
	return sign(authority(name), key, nil)
}

func authority(name string) *x509.Certificate {
	from, to := validity(time.Time{}, time.Now().Add(365*24*time.Hour))
	return &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: from, NotAfter: to, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
}

// Cross has p certify another authority's key under the other's name: what that one has issued is then good for those
// who trust p alone.
func (p *Pair) Cross(other *Pair) (*Pair, error) {
	return sign(authority(other.Cert.Subject.CommonName), other.Key, p)
}

// Intermediate makes an authority below p.
func (p *Pair) Intermediate(name string, kind Kind) (*Pair, error) {
	key, err := NewKey(kind)
	if err != nil {
		return nil, err
	}
	return sign(authority(name), key, p)
}

// Issue makes a certificate.
func (p *Pair) Issue(l Leaf) (*Pair, error) {
	key := l.Key
	if key == nil {
		kind := l.Kind
		if kind == "" {
			kind = P256
		}
		var err error
		if key, err = NewKey(kind); err != nil {
			return nil, err
		}
	}
	from, to := validity(l.NotBefore, l.NotAfter)
	usage := x509.ExtKeyUsageServerAuth
	if l.Client {
		usage = x509.ExtKeyUsageClientAuth
	}
	c := &x509.Certificate{SerialNumber: serial(), NotBefore: from, NotAfter: to, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{usage}}
	for _, name := range l.Names {
		if ip := net.ParseIP(name); ip != nil {
			c.IPAddresses = append(c.IPAddresses, ip)
		} else {
			c.DNSNames = append(c.DNSNames, name)
		}
		c.Subject.CommonName = l.Names[0]
	}
	return sign(c, key, p)
}

// sign signs a certificate by an authority, or by itself.
func sign(c *x509.Certificate, key crypto.Signer, issuer *Pair) (*Pair, error) {
	out := &Pair{Key: key}
	parent, signer := c, key
	if issuer != nil {
		parent, signer = issuer.Cert, issuer.Key
		if issuer.Cert.CheckSignatureFrom(issuer.Cert) != nil { // not a root: it goes with the chain
			out.Chain = append([]*x509.Certificate{issuer.Cert}, issuer.Chain...)
		}
	}
	raw, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	out.Cert, err = x509.ParseCertificate(raw)
	return out, err
}

// TLS is the pair as crypto/tls has it.
func (p *Pair) TLS() tls.Certificate {
	c := tls.Certificate{Certificate: [][]byte{p.Cert.Raw}, PrivateKey: p.Key, Leaf: p.Cert}
	for _, issuer := range p.Chain {
		c.Certificate = append(c.Certificate, issuer.Raw)
	}
	return c
}

// PEM is the certificate with its chain.
func (p *Pair) PEM() (text []byte) {
	for _, c := range append([]*x509.Certificate{p.Cert}, p.Chain...) {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return text
}

// KeyPEM is the key.
func (p *Pair) KeyPEM() ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(p.Key)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), nil
}

// Write writes a file as certificate tools do: beside its place, and then by a rename.
func Write(path string, text []byte, mode os.FileMode) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temporary, text, mode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Files writes certificate and key.
func (p *Pair) Files(cert, key string) error {
	if err := Write(cert, p.PEM(), 0o644); err != nil {
		return err
	}
	text, err := p.KeyPEM()
	if err != nil {
		return err
	}
	return Write(key, text, 0o600)
}
