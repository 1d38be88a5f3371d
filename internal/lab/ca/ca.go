// Package ca creates certificate authorities and certificates for tests, with several kinds of keys, any validity period, and
// cross-signing. Its certificates must not be used outside tests.
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

// Kind is the algorithm and size of a key.
type Kind string

// The supported kinds of keys.
const (
	RSA2048 Kind = "rsa2048"
	P256    Kind = "p256"
	Ed25519 Kind = "ed25519"
)

// Kinds lists all supported kinds of keys.
var Kinds = []Kind{RSA2048, P256, Ed25519}

// NewKey generates a private key.
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
	return nil, fmt.Errorf("ca: unsupported kind of key %q", kind)
}

// Pair is a certificate with its private key and its chain of issuers without the root.
type Pair struct {
	Cert  *x509.Certificate
	Key   crypto.Signer
	Chain []*x509.Certificate
}

// Leaf describes a certificate to issue. A zero NotBefore means an hour ago, a zero NotAfter a day ahead.
type Leaf struct {
	Names     []string // host names and addresses
	NotBefore time.Time
	NotAfter  time.Time
	Client    bool
	Key       crypto.Signer // nil for a new one of Kind
	Kind      Kind          // P256 if empty
}

// validity replaces zero dates by an hour ago and a day ahead.
func validity(from, to time.Time) (time.Time, time.Time) {
	if from.IsZero() {
		from = time.Now().Add(-time.Hour)
	}
	if to.IsZero() {
		to = time.Now().Add(24 * time.Hour)
	}
	return from, to
}

// serial returns a random serial number.
func serial() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // rand.Reader never fails
	return n
}

// Root creates a self-signed root authority.
func Root(name string, kind Kind) (*Pair, error) {
	key, err := NewKey(kind)
	if err != nil {
		return nil, err
	}
	return sign(authority(name), key, nil)
}

// authority returns the template of an authority certificate that is valid for a year.
func authority(name string) *x509.Certificate {
	from, to := validity(time.Time{}, time.Now().Add(365*24*time.Hour))
	return &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: from, NotAfter: to, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
}

// CrossSign returns a certificate of another authority's name and key that p has signed. Clients that trust only p then accept the
// certificates that the other authority has issued.
func (p *Pair) CrossSign(other *Pair) (*Pair, error) {
	return sign(authority(other.Cert.Subject.CommonName), other.Key, p)
}

// Intermediate creates an authority that p has signed.
func (p *Pair) Intermediate(name string, kind Kind) (*Pair, error) {
	key, err := NewKey(kind)
	if err != nil {
		return nil, err
	}
	return sign(authority(name), key, p)
}

// Issue creates a server or client certificate that p has signed.
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

// sign creates a certificate that an issuer has signed; with a nil issuer it is self-signed.
func sign(c *x509.Certificate, key crypto.Signer, issuer *Pair) (*Pair, error) {
	out := &Pair{Key: key}
	parent, signer := c, key
	if issuer != nil {
		parent, signer = issuer.Cert, issuer.Key
		if issuer.Cert.CheckSignatureFrom(issuer.Cert) != nil { // the issuer is not a root and belongs in the chain
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

// TLS returns the pair and its chain as a crypto/tls certificate.
func (p *Pair) TLS() tls.Certificate {
	c := tls.Certificate{Certificate: [][]byte{p.Cert.Raw}, PrivateKey: p.Key, Leaf: p.Cert}
	for _, issuer := range p.Chain {
		c.Certificate = append(c.Certificate, issuer.Raw)
	}
	return c
}

// PEM returns the certificate and its chain in PEM.
func (p *Pair) PEM() (text []byte) {
	for _, c := range append([]*x509.Certificate{p.Cert}, p.Chain...) {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return text
}

// KeyPEM returns the private key in PEM.
func (p *Pair) KeyPEM() ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(p.Key)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), nil
}

// Write replaces a file atomically, as certificate tools do: it writes a temporary file in the same folder and renames it.
func Write(path string, text []byte, mode os.FileMode) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temporary, text, mode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// WriteFiles writes the certificate with its chain, and the private key, in PEM.
func (p *Pair) WriteFiles(cert, key string) error {
	if err := Write(cert, p.PEM(), 0o644); err != nil {
		return err
	}
	text, err := p.KeyPEM()
	if err != nil {
		return err
	}
	return Write(key, text, 0o600)
}
