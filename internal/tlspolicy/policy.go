// Package tlspolicy holds the decisions about connections to servers over TLS: which policy a pool member has, whether
// the chain that it shows is acceptable, what a failure was, and when a handshake may begin. It does no I/O and reads
// no clock: package secure connects, reads files and watches them.
package tlspolicy

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"path"
	"strings"
	"time"
)

// Pin is the SHA-256 of a certificate's SubjectPublicKeyInfo, as RFC 7469 has it.
type Pin [sha256.Size]byte

// ParsePin reads a pin in base64, with "sha256/" before it or not.
func ParsePin(text string) (Pin, error) {
	var p Pin
	raw, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(text, "sha256/"))
	if err != nil || len(raw) != len(p) {
		return p, fmt.Errorf("%q is not the base64 of a SHA-256", text)
	}
	copy(p[:], raw)
	return p, nil
}

// PinOf is the pin of a certificate.
func PinOf(c *x509.Certificate) Pin { return sha256.Sum256(c.RawSubjectPublicKeyInfo) }

func (p Pin) String() string { return "sha256/" + base64.StdEncoding.EncodeToString(p[:]) }

// Policy is what connections to some pool members must keep to.
type Policy struct {
	Name         string // for logs and errors
	Destinations []int  // none for any
	Hosts        string // pattern of the member's name or address, as path.Match has it; empty for any
	Plain        bool   // no TLS; nothing below counts

	ServerName       string // that the certificate must have; empty for the host of the address
	RootFiles        []string
	RootDirs         []string
	SystemRoots      bool
	MinVersion       uint16 // tls.VersionTLS12 or tls.VersionTLS13
	Pins             []Pin  // one of which a certificate of the verified chain must have; none for any
	Certificate, Key string // files of the client's pair; empty for none
	Sessions         int    // kept for resumption, over the members of a destination; 0 for none
}

// Check names the first field that makes no sense.
func (p *Policy) Check() error {
	wrong := func(format string, args ...any) error {
		return fmt.Errorf("policy %q: "+format, append([]any{p.Name}, args...)...)
	}
	if _, err := path.Match(p.Hosts, ""); err != nil {
		return wrong("hosts: %q is not a pattern", p.Hosts)
	}
	if p.Plain {
		if p.ServerName != "" || len(p.RootFiles)+len(p.RootDirs)+len(p.Pins) > 0 || p.SystemRoots || p.Certificate != "" || p.Key != "" {
			return wrong("plain connections are not verified: it must have nothing else")
		}
		return nil
	}
	switch {
	case len(p.RootFiles)+len(p.RootDirs) == 0 && !p.SystemRoots:
		return wrong("no trust roots: name root_file, root_dir or system_roots")
	case p.MinVersion != tls.VersionTLS12 && p.MinVersion != tls.VersionTLS13:
		return wrong("min_version: %#x is not TLS 1.2 or 1.3", p.MinVersion)
	case len(p.Pins) == 1:
		return wrong("pin: one alone shuts everybody out when its key is replaced; add a spare's")
	case (p.Certificate == "") != (p.Key == ""):
		return wrong("certificate and key come together")
	case p.Sessions < 0 || p.Sessions > 1<<16:
		return wrong("sessions: %d is not within 0 to 65536", p.Sessions)
	case strings.ContainsAny(p.ServerName, " /:*"):
		return wrong("server_name: %q is not a host name", p.ServerName)
	}
	seen := map[Pin]bool{}
	for _, pin := range p.Pins {
		if seen[pin] {
			return wrong("pin: %v twice is no spare", pin)
		}
		seen[pin] = true
	}
	return nil
}

// Table is a list of policies of which the first that fits counts. What none fits is plain.
type Table []Policy

// Check checks each policy.
func (t Table) Check() error {
	names := map[string]bool{}
	for i := range t {
		if err := t[i].Check(); err != nil {
			return err
		}
		if names[t[i].Name] {
			return fmt.Errorf("two policies are named %q", t[i].Name)
		}
		names[t[i].Name] = true
	}
	return nil
}

// For finds the policy of a pool member, by its destination, name and address; nil for plain.
func (t Table) For(destination int, host, dial string) *Policy {
	for i := range t {
		if p := &t[i]; p.matches(destination, host, dial) {
			if p.Plain {
				return nil
			}
			return p
		}
	}
	return nil
}

func (p *Policy) matches(destination int, host, dial string) bool {
	for i, d := range p.Destinations {
		if d == destination {
			break
		} else if i == len(p.Destinations)-1 {
			return false
		}
	}
	if p.Hosts == "" {
		return true
	}
	bare, _, err := net.SplitHostPort(dial)
	if err != nil {
		bare = dial
	}
	byName, _ := path.Match(p.Hosts, host) // the pattern was checked
	byAddr, _ := path.Match(p.Hosts, bare)
	return byName || byAddr
}

// Name is the name that the member's certificate must have.
func (p *Policy) ServerNameOf(dial string) string {
	if p.ServerName != "" {
		return p.ServerName
	}
	host, _, err := net.SplitHostPort(dial)
	if err != nil {
		return dial
	}
	return host
}

// Accept says whether a connection that crypto/tls has let through may be used. A new one is verified already; of a
// resumed one the chain is verified again, for the roots may have changed since, and time has passed. Then the pins.
func (p *Policy) Accept(cs *tls.ConnectionState, name string, roots *x509.CertPool, now time.Time) error {
	if len(cs.PeerCertificates) == 0 {
		return &Failure{Cause: NoCertificate}
	}
	leaf := cs.PeerCertificates[0]
	chains := cs.VerifiedChains
	if cs.DidResume || len(chains) == 0 {
		between := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			between.AddCert(c)
		}
		var err error
		if chains, err = leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: between, DNSName: name, CurrentTime: now}); err != nil {
			return classifyX509(err, leaf)
		}
	}
	if len(p.Pins) == 0 {
		return nil
	}
	for _, chain := range chains {
		for _, c := range chain {
			for _, pin := range p.Pins {
				if PinOf(c) == pin {
					return nil
				}
			}
		}
	}
	return newFailure(PinMissing, leaf, nil)
}

// Cause is what made a handshake fail.
type Cause int

// The causes.
const (
	Other Cause = iota
	Expired
	NotYetValid
	UnknownRoot
	WrongName
	PinMissing
	NoCertificate
	Unsuitable    // the certificate is for something else, or its chain breaks a constraint
	ClientRefused // the server wants another certificate of ours, or one at all
	Versions      // no version or cipher in common
	NotTLS        // what came is no TLS
	Stalled       // nothing came in time
	Broken        // the connection ended
	causeCount
)

var causeNames = [causeCount]string{"other", "expired", "not yet valid", "unknown root", "wrong name", "pin", "no certificate",
	"unsuitable certificate", "client certificate refused", "no version in common", "not TLS", "stalled", "broken"}

func (c Cause) String() string { return causeNames[c] }

// Causes is how many causes there are.
const Causes = int(causeCount)

// Failure is a failed handshake, with what is known of the certificate that was shown.
type Failure struct {
	Cause               Cause
	Subject             string
	NotBefore, NotAfter time.Time
	Fingerprint         string // SHA-256 of the certificate, hexadecimal; empty where none was shown
	Err                 error
}

func (f *Failure) Error() string {
	text := "tls: " + f.Cause.String()
	if f.Fingerprint != "" {
		text += fmt.Sprintf(": certificate of %q, valid %s to %s, SHA-256 %s", f.Subject, f.NotBefore.UTC().Format(time.DateOnly),
			f.NotAfter.UTC().Format(time.DateTime), f.Fingerprint)
	}
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

func (f *Failure) Unwrap() error { return f.Err }

func newFailure(cause Cause, leaf *x509.Certificate, err error) *Failure {
	f := &Failure{Cause: cause, Err: err}
	if leaf != nil {
		sum := sha256.Sum256(leaf.Raw)
		f.Subject, f.NotBefore, f.NotAfter, f.Fingerprint = leaf.Subject.String(), leaf.NotBefore, leaf.NotAfter, hex.EncodeToString(sum[:])
	}
	return f
}

// Classify finds the cause behind the error of a handshake; now tells an expired certificate from one not yet valid.
func Classify(err error, now time.Time) *Failure {
	var known *Failure
	if errors.As(err, &known) {
		return known
	}
	var verify *tls.CertificateVerificationError
	if errors.As(err, &verify) {
		var leaf *x509.Certificate
		if len(verify.UnverifiedCertificates) > 0 {
			leaf = verify.UnverifiedCertificates[0]
		}
		f := classifyX509(verify.Err, leaf)
		if f.Cause == Expired && leaf != nil && now.Before(leaf.NotBefore) {
			f.Cause = NotYetValid
		}
		return f
	}
	var alert tls.AlertError
	var record tls.RecordHeaderError
	var timeout net.Error
	text := err.Error()
	switch {
	case errors.As(err, &record), strings.Contains(text, "first record does not look like a TLS handshake"),
		strings.Contains(text, "unexpected message"), strings.Contains(text, "oversized record"):
		return newFailure(NotTLS, nil, err)
	case errors.As(err, &alert):
		if cause, ok := alertCauses[uint8(alert)]; ok {
			return newFailure(cause, nil, err)
		}
	case strings.Contains(text, "remote error: tls: "): // crypto/tls tells an alert of the server by a type of its own
		for number, cause := range alertCauses {
			if strings.HasSuffix(text, tls.AlertError(number).Error()) {
				return newFailure(cause, nil, err)
			}
		}
	case strings.Contains(text, "unsupported version"), strings.Contains(text, "unsupported protocol version"),
		strings.Contains(text, "no cipher suite"):
		return newFailure(Versions, nil, err)
	}
	if errors.As(err, &timeout) && timeout.Timeout() {
		return newFailure(Stalled, nil, err)
	}
	if strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "broken pipe") || strings.Contains(text, "closed") {
		return newFailure(Broken, nil, err)
	}
	return newFailure(Other, nil, err)
}

// alertCauses are what servers say of why they end a handshake (RFC 8446, section 6.2). handshake_failure is told where nothing
// is in common, and by some where a certificate of ours is missing.
var alertCauses = map[uint8]Cause{40: Versions, 70: Versions, 71: Versions, 42: ClientRefused, 43: ClientRefused, 44: ClientRefused, 45: ClientRefused,
	46: ClientRefused, 48: ClientRefused, 49: ClientRefused, 116: ClientRefused, 112: WrongName}

// classifyX509 finds the cause behind an error of x509.
func classifyX509(err error, leaf *x509.Certificate) *Failure {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	var name x509.HostnameError
	cause := Unsuitable
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		cause = Expired
		if invalid.Cert != nil && leaf != nil && !bytes.Equal(invalid.Cert.Raw, leaf.Raw) {
			leaf = invalid.Cert // one further up has expired: it is the one to name
		}
	case errors.As(err, &unknown):
		cause = UnknownRoot
	case errors.As(err, &name):
		cause = WrongName
	}
	return newFailure(cause, leaf, err)
}
