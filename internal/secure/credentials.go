// Package secure connects to pool members over TLS according to the policies of package tlspolicy. It loads the certificate and
// key files that the policies name, reloads them when they change, caches sessions for resumption and performs the handshakes.
package secure

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"slatemux/internal/tlspolicy"
)

// credentials holds the contents of a policy's files as of the last successful read.
type credentials struct {
	roots    *x509.CertPool
	pair     *tls.Certificate // client certificate and key; nil if the policy has none
	rootsSum [sha256.Size]byte
	pairSum  [sha256.Size]byte
}

// maxFileBytes is the size limit of a file of certificates or keys. No valid file comes near it.
const maxFileBytes = 4 << 20

// readCredentials reads the files of a policy. If one file is invalid it returns only an error, which names the file.
func readCredentials(p *tlspolicy.Policy) (*credentials, error) {
	m := &credentials{}
	files := slices.Clone(p.RootFiles)
	for _, dir := range p.RootDirs {
		list, err := os.ReadDir(dir)
		if err != nil {
			return nil, err
		}
		for _, e := range list {
			if ext := filepath.Ext(e.Name()); !e.IsDir() && (ext == ".pem" || ext == ".crt") && !strings.HasPrefix(e.Name(), ".") {
				files = append(files, filepath.Join(dir, e.Name()))
			}
		}
	}
	if m.roots = x509.NewCertPool(); p.SystemRoots {
		system, err := x509.SystemCertPool()
		if err != nil {
			return nil, fmt.Errorf("system roots: %w", err)
		}
		m.roots = system
	} else if len(files) == 0 {
		return nil, fmt.Errorf("%s: no file of roots (.pem, .crt)", strings.Join(p.RootDirs, ", "))
	}
	sum := sha256.New()
	for _, file := range files {
		raw, err := readFile(file)
		if err != nil {
			return nil, err
		}
		certs, err := parseCertificates(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for _, c := range certs {
			m.roots.AddCert(c)
			sum.Write(c.Raw)
		}
	}
	sum.Sum(m.rootsSum[:0])
	if p.Certificate == "" {
		return m, nil
	}
	if err := checkKeyMode(p.Key); err != nil {
		return nil, err
	}
	cert, err := readFile(p.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := readFile(p.Key)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil { // a file is incomplete, or a renewal has replaced only one of the two
		return nil, fmt.Errorf("%s with %s: %w", p.Certificate, p.Key, err)
	}
	m.pair = &pair
	m.pairSum = sha256.Sum256(append(cert, key...))
	return m, nil
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: file of %d bytes is too large for certificates", path, info.Size())
	}
	return os.ReadFile(path)
}

// checkKeyMode returns an error if users other than the owner may access the key file.
func checkKeyMode(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return fmt.Errorf("%s: others may use this key (mode %04o): make it 0600", path, mode)
	}
	return nil
}

// parseCertificates parses all certificates of a PEM text. A block of any other type is an error: a private key in a file of
// roots is a mistake that must be noticed.
func parseCertificates(raw []byte) (list []*x509.Certificate, err error) {
	for len(raw) > 0 {
		var block *pem.Block
		if block, raw = pem.Decode(raw); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("contains a PEM block of type %q; only certificates are allowed", block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil, errors.New("contains no certificate")
	}
	return list, nil
}
